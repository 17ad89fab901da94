package engineserver

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"
)

// maxLoadTime is the time for which a failing load is retried.
const maxLoadTime = 2 * time.Minute

// weightLoader simulates loads of weights: each waits for the response of the
// weight store or, without one, for a fixed time.
type weightLoader struct {
	options Options
	client  *http.Client
}

func newWeightLoader(options Options) *weightLoader {
	return &weightLoader{options: options, client: &http.Client{}}
}

// load waits for a load of the named weights, with retries, and reports whether
// it succeeded.
func (w *weightLoader) load(ctx context.Context, name string, bytes int64, adapter bool) bool {
	if w.options.WeightsURL == "" {
		if adapter {
			return sleep(ctx, w.options.AdapterLoadTime) == nil
		}
		return sleep(ctx, w.options.LoadTime) == nil
	}
	policy := backoff.NewExponentialBackOff(backoff.WithMaxElapsedTime(maxLoadTime))
	fetch := func() error { return w.fetch(ctx, name, bytes, adapter) }
	return backoff.Retry(fetch, backoff.WithContext(policy, ctx)) == nil
}

func (w *weightLoader) fetch(ctx context.Context, name string, bytes int64, adapter bool) error {
	query := url.Values{"bytes": {strconv.FormatInt(bytes, 10)}}
	if adapter {
		query.Set("adapter", "true")
	}
	target := w.options.WeightsURL + "/v1/weights/" + url.PathEscape(name) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return backoff.Permanent(errors.Wrap(err, "create weight store request; check the weight store's URL"))
	}
	req.Header.Set("Authorization", "Bearer "+w.options.WeightsToken)
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("weight store responded with status %s", resp.Status)
	}
	return nil
}

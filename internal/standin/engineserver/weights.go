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

// maxLoadTime is how long a load is tried.
const maxLoadTime = 2 * time.Minute

// weights fetches weights from the weight store, or takes a fixed time.
type weights struct {
	options Options
	client  *http.Client
}

func newWeights(options Options) *weights {
	return &weights{options: options, client: &http.Client{}}
}

// load reports whether the weights were loaded.
func (w *weights) load(ctx context.Context, name string, bytes int64, adapter bool) bool {
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

func (w *weights) fetch(ctx context.Context, name string, bytes int64, adapter bool) error {
	query := url.Values{"bytes": {strconv.FormatInt(bytes, 10)}}
	if adapter {
		query.Set("adapter", "true")
	}
	target := w.options.WeightsURL + "/v1/weights/" + url.PathEscape(name) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return backoff.Permanent(errors.Wrap(err, "check the weight store's URL"))
	}
	req.Header.Set("Authorization", "Bearer "+w.options.WeightsToken)
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("weight store answered %s", resp.Status)
	}
	return nil
}

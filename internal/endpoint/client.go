package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/boundedhttp"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/netmeter"
	"bilberryslip.example/bilberryslip/internal/responsehead"
	"bilberryslip.example/bilberryslip/internal/socket"
)

const (
	maxIdlePerEndpoint = 64
	idleTimeout        = 30 * time.Second
	maxControlBytes    = 4 << 20
)

// client manages the connections to one endpoint. It must be created with
// newClient.
type client struct {
	name string
	url  string
	// pooled reuses connections; dedicated opens one for each request.
	pooled    *responsehead.Transport
	dedicated *responsehead.Transport
	// control carries polls and orders, on connections separate from those of
	// callers' requests.
	control *responsehead.Transport
}

func newClient(name, url string, dialTimeout time.Duration) *client {
	return &client{
		name:      name,
		url:       url,
		pooled:    newTransport(dialTimeout, false),
		dedicated: newTransport(dialTimeout, true),
		control:   newTransport(dialTimeout, false),
	}
}

func newTransport(dialTimeout time.Duration, dedicated bool) *responsehead.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return responsehead.NewTransport(&http.Transport{
		DialContext:            netmeter.Dial(netmeter.Endpoints, socket.DialRequests(dialer.DialContext)),
		DisableKeepAlives:      dedicated,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
	})
}

func (c *client) transport(dedicated bool) *responsehead.Transport {
	if dedicated {
		return c.dedicated
	}
	return c.pooled
}

// closeIdleConnections closes idle connections, so that the next attempt dials
// a new one.
func (c *client) closeIdleConnections() { c.pooled.CloseIdleConnections() }

func (c *client) close() {
	c.pooled.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Paths of the load reports of engines and of plain services.
const (
	engineReportPath  = "/engine/report"
	serviceReportPath = "/service/report"
)

func (c *client) report(ctx context.Context, path string) (engineapi.Report, error) {
	var report engineapi.Report
	err := c.controlCall(ctx, http.MethodGet, path, nil, &report)
	return report, err
}

func (c *client) events(ctx context.Context, after int64) (engineapi.CacheEvents, error) {
	var events engineapi.CacheEvents
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	err := c.controlCall(ctx, http.MethodGet, "/engine/events?"+query.Encode(), nil, &events)
	return events, err
}

func (c *client) order(ctx context.Context, order engineapi.Order) (engineapi.OrderResult, error) {
	var result engineapi.OrderResult
	err := c.controlCall(ctx, http.MethodPost, "/engine/orders", order, &result)
	return result, err
}

func (c *client) cancel(ctx context.Context, attempt string) error {
	return c.controlCall(ctx, http.MethodPost, "/engine/cancel", engineapi.CancelRequest{Attempt: attempt}, nil)
}

// controlCall makes a call with a JSON response. After an error it closes the
// idle connections, so that an unresponsive one is not reused.
func (c *client) controlCall(ctx context.Context, method, path string, in, out any) (err error) {
	defer func() {
		if err != nil {
			c.control.CloseIdleConnections()
		}
	}()
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		body = unrewindableBody{bytes.NewReader(encoded)}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return errors.Wrap(err, "build control call for endpoint URL")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.control.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "call %s of endpoint %s", path, c.name)
	}
	defer resp.Body.Close()
	return decodeControl(resp, out)
}

func decodeControl(resp *http.Response, out any) error {
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return errors.Wrap(err, "read control call response")
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(content, out), "decode control call response")
}

package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headerWriteID carries the write's identifier (Object.WriteID).
	headerWriteID = "X-Write-Id"
	// headerNotApplied marks a 503 response to a call that had no effect.
	headerNotApplied = "X-Not-Applied"
	// maxResponseBytes bounds the response to one call.
	maxResponseBytes = 64 << 20
	// maxErrorBytes bounds how much of an error response's text is kept.
	maxErrorBytes = 512
)

// The names of calls in metrics.
const (
	callGet    = "get"
	callList   = "list"
	callCreate = "create"
	callUpdate = "update"
	callDelete = "delete"
	callWatch  = "watch"
	callHosts  = "hosts"
)

// call is one call of the object API, which may take several attempts.
type call struct {
	name        string
	method      string
	path        string
	kind        Kind
	object      string
	writeID     string
	ifNoneMatch bool
	// ifMatch is the version that a conditional write requires. Zero means
	// that the call has no such condition.
	ifMatch Version
	body    json.RawMessage
}

func (c call) isWrite() bool { return c.method != http.MethodGet }

// RejectedError reports a call that the platform rejected as invalid or
// unauthorized. The call had no effect.
type RejectedError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform rejected the call with status %d: %s; check the platform token and the size of the value (at most 1 MiB)", e.Status, e.Message)
}

func objectPath(kind Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func listPath(kind Kind, prefix string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "?prefix=" + url.QueryEscape(prefix)
}

// do makes a call, trying the addresses in turn while that is safe: a read until
// an address responds, a write only while no attempt can have had an effect.
func (c *Client) do(ctx context.Context, cl call, result any) error {
	started := c.config.Clock()
	err := c.tryAddresses(ctx, cl, result)
	c.metrics.Observe(cl.name, cl.kind, err, c.config.Clock().Sub(started))
	return err
}

// tryAddresses makes at most one attempt per address, beginning with the
// preferred one. An address that fails makes the next one preferred. A
// Retry-After in the response ends the call.
func (c *Client) tryAddresses(ctx context.Context, cl call, result any) error {
	err := error(&UnavailableError{Outcome: OutcomeNotSent, Cause: errors.New("no platform address is set")})
	for range c.config.Addresses {
		index := c.preferred.Load()
		address := c.config.Addresses[int(index)%len(c.config.Addresses)]
		err = c.tryAddress(ctx, address, cl, result)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			c.recordResponse()
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		c.available.Store(false)
		c.preferred.CompareAndSwap(index, index+1)
		if unavailable.RetryAfter > 0 || cl.isWrite() && unavailable.Outcome != OutcomeNotSent {
			return err
		}
	}
	return err
}

// recordResponse records that the platform has just responded.
func (c *Client) recordResponse() {
	now := c.config.Clock()
	c.lastResponse.Store(&now)
	c.available.Store(true)
}

// tryAddress makes one attempt at one address. If it gets no response or times
// out, tryAddress closes all idle connections.
func (c *Client) tryAddress(ctx context.Context, address string, cl call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	var connected atomic.Bool
	req, err := c.newRequest(traceConnection(ctx, &connected), address, cl)
	if err != nil {
		return &UnavailableError{Outcome: OutcomeNotSent, Cause: err}
	}
	resp, err := c.calls.Do(req)
	if err != nil {
		// The fault may affect the other idle connections too.
		c.transport.CloseIdleConnections()
		return &UnavailableError{Outcome: outcomeOf(&connected), Cause: err}
	}
	defer closeBody(resp)
	err = c.decodeResponse(resp, cl, result)
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
	return err
}

// traceConnection returns a context that sets connected once the call has a
// connection. From then on bytes of the call may have been sent.
func traceConnection(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

// outcomeOf returns the outcome of an attempt that got no response.
func outcomeOf(connected *atomic.Bool) WriteOutcome {
	if connected.Load() {
		return OutcomeUnknown
	}
	return OutcomeNotSent
}

// newRequest builds a request that net/http does not retry by itself, because the
// body of a write can't be rewound.
func (c *Client) newRequest(ctx context.Context, address string, cl call) (*http.Request, error) {
	var body io.Reader
	if cl.body != nil {
		body = io.NopCloser(bytes.NewReader(cl.body))
	}
	req, err := http.NewRequestWithContext(ctx, cl.method, strings.TrimSuffix(address, "/")+cl.path, body)
	if err != nil {
		return nil, err
	}
	if cl.body != nil {
		req.ContentLength = int64(len(cl.body))
		req.Header.Set("Content-Type", "application/json")
	}
	if c.config.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	if cl.writeID != "" {
		req.Header.Set(headerWriteID, cl.writeID)
	}
	if cl.ifNoneMatch {
		req.Header.Set("If-None-Match", "*")
	}
	if cl.ifMatch != 0 {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(cl.ifMatch), 10)))
	}
	return req, nil
}

// decodeResponse decodes a successful response into result and returns an error
// that describes any other.
func (c *Client) decodeResponse(resp *http.Response, cl call, result any) error {
	switch {
	case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusOK && result == nil:
		return nil
	case resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated:
		return c.decodeBody(resp, cl.kind, result)
	case resp.StatusCode == http.StatusNotFound:
		return &NotFoundError{Kind: cl.kind, Name: cl.object}
	case resp.StatusCode == http.StatusPreconditionFailed:
		var current Object
		if err := c.decodeBody(resp, cl.kind, &current); err != nil {
			return err
		}
		return &ConflictError{Current: current}
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode >= http.StatusInternalServerError:
		return unavailableStatus(resp)
	default:
		return &RejectedError{Status: resp.StatusCode, Message: errorText(resp)}
	}
}

func (c *Client) decodeBody(resp *http.Response, kind Kind, result any) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil {
		err = c.decodeText(text, kind, result)
	}
	if err != nil {
		return &UnavailableError{Outcome: OutcomeUnknown, Cause: errors.Wrap(err, "decoding the platform's answer")}
	}
	return nil
}

// closeBody drains a short remainder of the body before closing it, so that the
// connection can be reused.
func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
}

// unavailableStatus returns the error for a 429 or 5xx response. The call had no
// effect if the status is 429, or 503 with headerNotApplied.
func unavailableStatus(resp *http.Response) error {
	outcome := OutcomeUnknown
	notApplied := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotApplied) == "true"
	if resp.StatusCode == http.StatusTooManyRequests || notApplied {
		outcome = OutcomeNotSent
	}
	return &UnavailableError{
		Outcome:    outcome,
		RetryAfter: retryAfter(resp),
		Cause:      errors.Newf("status %d: %s", resp.StatusCode, errorText(resp)),
	}
}

// retryAfter returns the Retry-After header, in seconds. It returns zero if the
// header is missing, invalid, negative or over an hour.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func errorText(resp *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return strings.TrimSpace(string(text))
}

package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// HeaderRequest is the header that carries the request identifier to an
// endpoint.
const HeaderRequest = "X-Request-Id"

// Phase is a phase of waiting for a response, each with its own time limit.
type Phase string

// The phases of waiting for a response.
const (
	PhaseHeader    Phase = "header"
	PhaseFirstByte Phase = "first byte"
	PhaseProgress  Phase = "further byte"
)

// ProgressLimits bounds the time that an attempt may go without progress. A
// zero duration means no limit.
type ProgressLimits struct {
	// Header is the maximum time from sending the request to receiving the
	// response header.
	Header time.Duration
	// ReusedHeader replaces Header on a reused connection, which may have
	// become unresponsive since its last request. Zero means Header.
	ReusedHeader time.Duration
	// FirstByte is the maximum time from the response header to the first
	// byte of the body.
	FirstByte time.Duration
	// BetweenReads is the maximum time between two reads of the response body.
	BetweenReads time.Duration
}

// Call describes one attempt to send a request to an endpoint. Only these
// fields are sent; the caller's own headers are not forwarded.
type Call struct {
	// AttemptID is the attempt identifier, which the response header must echo.
	AttemptID string
	// RequestID is the request identifier, the same for all attempts.
	RequestID string
	Method    string
	Path      string
	RawQuery  string
	// EmptyQuery sends a question mark though RawQuery is empty.
	EmptyQuery  bool
	ContentType string
	Accept      string
	// Priority is "interactive" or "batch". It applies to engines only.
	Priority string
	// Resume is the ATTEMPT/OFFSET at which to resume an interrupted stream.
	// Empty starts a new generation.
	Resume string
	Body   []byte
	// Dedicated sends the request on a new connection, which is not reused.
	Dedicated bool
	Limits    ProgressLimits
}

// Response is an endpoint's response whose header echoed the attempt identifier.
type Response struct {
	Status int
	Header http.Header
	// Framed reports whether the response has a Content-Length or is chunked.
	// Without framing, a truncated body can't be detected.
	Framed bool
	// Body returns a ProgressTimeoutError from Read when a progress limit
	// expires. The caller must close it.
	Body io.ReadCloser
}

// unrewindableBody is a request body that net/http can't rewind, which keeps it
// from retrying the request on its own.
type unrewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (unrewindableBody) Close() error { return nil }

// Send makes one attempt. A NotSentError means that no byte was sent; after any
// other error it is unknown whether the endpoint ran the request.
func (c *client) Send(ctx context.Context, call Call) (*Response, error) {
	watch := newWatchdog(ctx, c.name)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if info.Reused && call.Limits.ReusedHeader > 0 {
			watch.start(PhaseHeader, call.Limits.ReusedHeader)
		}
	}}
	req, err := c.newRequest(httptrace.WithClientTrace(watch.ctx, trace), call)
	if err != nil {
		watch.stop()
		return nil, &NotSentError{Endpoint: c.name, Cause: err}
	}
	watch.start(PhaseHeader, call.Limits.Header)
	resp, err := c.transport(call.Dedicated).RoundTrip(req)
	if err != nil {
		return nil, c.sendError(watch, call, connected.Load(), err)
	}
	body := &watchedBody{body: resp.Body, watch: watch, limit: call.Limits.BetweenReads}
	watch.start(PhaseFirstByte, call.Limits.FirstByte)
	if got := resp.Header.Get(engineapi.HeaderAttempt); got != call.AttemptID {
		body.abort()
		c.closeIdleConnections()
		return nil, &MismatchError{Endpoint: c.name, Attempt: call.AttemptID, Got: got}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Framed: framed(resp), Body: body}, nil
}

// framed reports whether the end of the body is marked by a Content-Length or
// chunked encoding rather than only by the end of the connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func (c *client) sendError(watch *watchdog, call Call, connected bool, err error) error {
	cause := watch.cause(err)
	watch.stop()
	c.closeIdleConnections()
	if !connected {
		return &NotSentError{Endpoint: c.name, Cause: cause}
	}
	var timeout *ProgressTimeoutError
	if errors.As(cause, &timeout) {
		return timeout
	}
	return &IncompleteResponseError{Endpoint: c.name, Attempt: call.AttemptID, Cause: cause}
}

func (c *client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request for endpoint URL")
	}
	// An opaque target is sent as it is, unless it begins with two slashes.
	req.URL.Opaque = req.URL.EscapedPath() + call.Path
	if strings.HasPrefix(req.URL.Opaque, "//") {
		return nil, errors.Newf("path %q begins with two slashes", req.URL.Opaque)
	}
	req.URL.RawQuery, req.URL.ForceQuery = call.RawQuery, call.EmptyQuery
	if len(call.Body) > 0 {
		req.Body = unrewindableBody{bytes.NewReader(call.Body)}
		req.ContentLength = int64(len(call.Body))
	}
	setHeader(req, engineapi.HeaderAttempt, call.AttemptID)
	setHeader(req, HeaderRequest, call.RequestID)
	setHeader(req, engineapi.HeaderPriority, call.Priority)
	setHeader(req, engineapi.HeaderResume, call.Resume)
	setHeader(req, "Content-Type", call.ContentType)
	setHeader(req, "Accept", call.Accept)
	req.Header.Set("User-Agent", "bilberryslip")
	return req, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// watchdog cancels an attempt that makes no progress within a time limit.
type watchdog struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	endpoint string
	timer    *time.Timer
}

func newWatchdog(ctx context.Context, endpoint string) *watchdog {
	ctx, cancel := context.WithCancelCause(ctx)
	return &watchdog{ctx: ctx, cancel: cancel, endpoint: endpoint}
}

// start replaces the current limit and restarts the timer. A limit of zero
// disables it.
func (w *watchdog) start(phase Phase, limit time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if limit <= 0 {
		return
	}
	w.timer = time.AfterFunc(limit, func() {
		w.cancel(&ProgressTimeoutError{Endpoint: w.endpoint, Phase: phase, Limit: limit})
	})
}

// extend restarts the timer for the current phase.
func (w *watchdog) extend(limit time.Duration) {
	if w.timer != nil && limit > 0 {
		w.timer.Reset(limit)
	}
}

// cause returns the cause of the cancellation, or err if the attempt was not
// cancelled.
func (w *watchdog) cause(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return err
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(context.Canceled)
}

// watchedBody is a response body whose reads are bounded by a watchdog.
type watchedBody struct {
	body    io.ReadCloser
	watch   *watchdog
	limit   time.Duration
	started bool
	ended   bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil {
		b.progress()
		return n, nil
	}
	if err == io.EOF {
		b.ended = true
		return n, io.EOF
	}
	return n, b.watch.cause(err)
}

func (b *watchedBody) progress() {
	if b.started {
		b.watch.extend(b.limit)
		return
	}
	b.started = true
	b.watch.start(PhaseProgress, b.limit)
}

// Close returns the connection to the pool if the body was read to its end, and
// otherwise closes the connection.
func (b *watchedBody) Close() error {
	if !b.ended {
		b.abort()
		return nil
	}
	err := b.body.Close()
	b.watch.stop()
	return err
}

// abort closes the connection.
func (b *watchedBody) abort() {
	b.watch.stop()
	_ = b.body.Close()
}

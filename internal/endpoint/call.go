package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// HeaderRequest carries the request identifier to an endpoint.
const HeaderRequest = "X-Request-Id"

// Phase names the part of an answer that a progress limit bounds.
type Phase string

// The phases of an answer.
const (
	PhaseHeader    Phase = "header"
	PhaseFirstByte Phase = "first byte"
	PhaseProgress  Phase = "further byte"
)

// ProgressLimits bounds the time without progress. A zero limit is none.
type ProgressLimits struct {
	// Header bounds the time from the send to the answer's header.
	Header time.Duration
	// ReusedHeader takes the place of Header on a connection that carried
	// requests before and may have gone silent since. Zero means Header.
	ReusedHeader time.Duration
	// FirstByte bounds the time from the header to the body's first byte.
	FirstByte time.Duration
	// Between bounds the time between two reads of the answer's body.
	Between time.Duration
}

// Call is one attempt at an endpoint. Only what is named here is sent: no
// header of the caller passes.
type Call struct {
	// Attempt is the identifier that the answer must echo.
	Attempt string
	// Request identifies the request over all its attempts.
	Request     string
	Method      string
	Path        string
	RawQuery    string
	ContentType string
	Accept      string
	// Priority is "interactive" or "batch", engines only.
	Priority string
	// Resume is ATTEMPT/OFFSET of a cut stream. Empty means a new generation.
	Resume string
	Body   []byte
	// Fresh dials a new connection that is used for this attempt alone.
	Fresh  bool
	Limits ProgressLimits
}

// Answer is an endpoint's answer whose header echoed the attempt.
type Answer struct {
	Status int
	Header http.Header
	// Framed is false where the end of the body can't be told from a cut.
	Framed bool
	// Body fails with a SilentError when it misses its progress limit. It
	// must be closed.
	Body io.ReadCloser
}

// onceBody is a request body that net/http can't rewind, so that it can't
// send the request again by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Send makes one attempt. Its error is a NotSentError only where nothing was
// sent; after any other error the outcome is unknown.
func (c *client) Send(ctx context.Context, call Call) (*Answer, error) {
	watch := newWatchdog(ctx, c.name)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if info.Reused && call.Limits.ReusedHeader > 0 {
			watch.expect(PhaseHeader, call.Limits.ReusedHeader)
		}
	}}
	req, err := c.request(httptrace.WithClientTrace(watch.ctx, trace), call)
	if err != nil {
		watch.stop()
		return nil, &NotSentError{Endpoint: c.name, Cause: err}
	}
	watch.expect(PhaseHeader, call.Limits.Header)
	resp, err := c.transport(call.Fresh).RoundTrip(req)
	if err != nil {
		return nil, c.sendFailed(watch, call, connected.Load(), err)
	}
	body := &watchedBody{body: resp.Body, watch: watch, limit: call.Limits.Between}
	watch.expect(PhaseFirstByte, call.Limits.FirstByte)
	if got := resp.Header.Get(engineapi.HeaderAttempt); got != call.Attempt {
		body.abandon()
		c.dropConnections()
		return nil, &MismatchError{Endpoint: c.name, Attempt: call.Attempt, Got: got}
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Framed: framed(resp), Body: body}, nil
}

// framed reports whether the answer's length is told by its header or by
// chunks, and not by the connection's end alone.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func (c *client) sendFailed(watch *watchdog, call Call, connected bool, err error) error {
	cause := watch.cause(err)
	watch.stop()
	c.dropConnections()
	if !connected {
		return &NotSentError{Endpoint: c.name, Cause: cause}
	}
	var silent *SilentError
	if errors.As(cause, &silent) {
		return silent
	}
	return &CutError{Endpoint: c.name, Attempt: call.Attempt, Cause: cause}
}

func (c *client) request(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.url+call.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint url")
	}
	req.URL.RawQuery = call.RawQuery
	if len(call.Body) > 0 {
		req.Body = onceBody{bytes.NewReader(call.Body)}
		req.ContentLength = int64(len(call.Body))
	}
	setHeader(req, engineapi.HeaderAttempt, call.Attempt)
	setHeader(req, HeaderRequest, call.Request)
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

// watchdog cancels an attempt that makes no progress.
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

// expect replaces the limit in force. A limit of zero is none.
func (w *watchdog) expect(phase Phase, limit time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if limit <= 0 {
		return
	}
	w.timer = time.AfterFunc(limit, func() {
		w.cancel(&SilentError{Endpoint: w.endpoint, Phase: phase, Limit: limit})
	})
}

func (w *watchdog) renew(limit time.Duration) {
	if w.timer != nil && limit > 0 {
		w.timer.Reset(limit)
	}
}

// cause returns the reason of the cancellation, or err where there is none.
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

// watchedBody is an answer's body under a progress limit.
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
		b.watch.renew(b.limit)
		return
	}
	b.started = true
	b.watch.expect(PhaseProgress, b.limit)
}

// Close returns the connection to the pool only after a whole answer.
func (b *watchedBody) Close() error {
	if !b.ended {
		b.abandon()
		return nil
	}
	err := b.body.Close()
	b.watch.stop()
	return err
}

// abandon closes the connection.
func (b *watchedBody) abandon() {
	b.watch.stop()
	_ = b.body.Close()
}

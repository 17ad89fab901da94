package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// watchBuffer is the number of events buffered for a slow consumer.
const watchBuffer = 256

// maxEventBytes bounds an event of a watch, which holds one object.
const maxEventBytes = 8 << 20

// eventReader reads the events of a watch. It fails once more than maxEventBytes arrive without
// a whole event: a decoder keeps all of an event until its end.
type eventReader struct {
	io.Reader
	left int
}

var errEventTooLarge = errors.Newf("an event of the watch exceeds %d bytes; check what the platform's address answers", maxEventBytes)

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errEventTooLarge
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// WatchTimeoutError reports a watch that was closed because it received neither
// event nor bookmark within the watch timeout.
type WatchTimeoutError struct {
	Kind  Kind
	After time.Duration
}

// Error implements error.
func (e *WatchTimeoutError) Error() string {
	return fmt.Sprintf("watch of %s received no event or bookmark for %v and was closed; open a new watch from the last version", e.Kind, e.After)
}

// Watch implements Store. Each watch has its own connection, which is closed when
// the watch ends. A watch that receives neither event nor bookmark within the
// watch timeout ends with a *WatchTimeoutError as the cause.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Watch, error) {
	started := c.config.Clock()
	w, err := c.openWatch(ctx, kind, after)
	c.metrics.Observe(callWatch, kind, err, c.config.Clock().Sub(started))
	if err != nil {
		return nil, err
	}
	return w, nil
}

// openWatch opens a watch at the first address that responds, beginning with the
// preferred one.
func (c *Client) openWatch(ctx context.Context, kind Kind, after Version) (*clientWatch, error) {
	err := error(&UnavailableError{Outcome: OutcomeNotSent, Cause: errors.New("no platform address is set")})
	for range c.config.Addresses {
		index := c.preferred.Load()
		var w *clientWatch
		w, err = c.openWatchAt(ctx, c.config.Addresses[int(index)%len(c.config.Addresses)], kind, after)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			c.recordResponse()
			return w, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		c.available.Store(false)
		c.preferred.CompareAndSwap(index, index+1)
	}
	return nil, err
}

func (c *Client) openWatchAt(parent context.Context, address string, kind Kind, after Version) (*clientWatch, error) {
	ctx, cancel := context.WithCancelCause(parent)
	progress := time.AfterFunc(c.config.WatchTimeout, func() {
		cancel(&WatchTimeoutError{Kind: kind, After: c.config.WatchTimeout})
	})
	fail := func(err error) (*clientWatch, error) {
		progress.Stop()
		cancel(nil)
		return nil, err
	}
	var connected atomic.Bool
	path := "/v1/watch/" + string(kind) + "?after=" + strconv.FormatInt(int64(after), 10)
	req, err := c.newRequest(traceConnection(ctx, &connected), address, call{name: callWatch, method: http.MethodGet, path: path})
	if err != nil {
		return fail(&UnavailableError{Outcome: OutcomeNotSent, Cause: err})
	}
	resp, err := c.watches.Do(req)
	if err != nil {
		return fail(&UnavailableError{Outcome: outcomeOf(&connected), Cause: err})
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return fail(c.watchError(resp, kind))
	}
	w := &clientWatch{
		kind: kind, events: make(chan Event, watchBuffer), ctx: ctx, cancel: cancel,
		progress: progress, timeout: c.config.WatchTimeout, client: c,
	}
	c.metrics.watches.Inc()
	go w.read(resp)
	return w, nil
}

// watchError returns the error for a response other than 200 to a watch.
func (c *Client) watchError(resp *http.Response, kind Kind) error {
	if resp.StatusCode != http.StatusGone {
		err := c.decodeResponse(resp, call{kind: kind}, &struct{}{})
		if err == nil {
			err = &RejectedError{Status: resp.StatusCode, Message: "unexpected response status to a watch"}
		}
		return err
	}
	var body struct {
		Oldest Version `json:"oldest"`
	}
	if err := c.decodeBody(resp, kind, &body); err != nil {
		return err
	}
	return &CompactedError{Oldest: body.Oldest}
}

// clientWatch implements Watch over one connection.
type clientWatch struct {
	kind   Kind
	client *Client
	events chan Event
	ctx    context.Context
	cancel context.CancelCauseFunc
	// progress ends the watch when it expires; deliver resets it.
	progress *time.Timer
	timeout  time.Duration

	mu  sync.Mutex
	err error
}

// Events implements Watch.
func (w *clientWatch) Events() <-chan Event { return w.events }

// Err implements Watch.
func (w *clientWatch) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Stop implements Watch.
func (w *clientWatch) Stop() { w.cancel(nil) }

func (w *clientWatch) read(resp *http.Response) {
	defer close(w.events)
	defer w.cancel(nil)
	defer w.progress.Stop()
	defer resp.Body.Close()
	defer w.client.metrics.watches.Dec()
	events := &eventReader{Reader: resp.Body}
	decoder := json.NewDecoder(events)
	for {
		var ev Event
		events.left = maxEventBytes
		if err := decoder.Decode(&ev); err != nil {
			w.end(err)
			return
		}
		w.client.recordResponse()
		if !w.deliver(ev) {
			w.end(w.ctx.Err())
			return
		}
	}
}

// deliver sends an event to the consumer and reports whether the watch still runs.
// The watch timeout does not run meanwhile, since a slow consumer is not a stalled
// connection.
func (w *clientWatch) deliver(ev Event) bool {
	w.progress.Stop()
	defer w.progress.Reset(w.timeout)
	select {
	case w.events <- ev:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// end records the cause of the watch's end: a watch timeout, or err otherwise.
func (w *clientWatch) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var timedOut *WatchTimeoutError
	if errors.As(context.Cause(w.ctx), &timedOut) {
		err = timedOut
	}
	w.err = &UnavailableError{Outcome: OutcomeUnknown, Cause: err}
}

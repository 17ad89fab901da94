// Package upstream is an HTTP client for endpoints. It sends one request at a
// time over each persistent connection, never retries a request, and never
// mistakes bytes of another response for the expected one: no connection carries
// two requests with the same identifier, and none on which a response to another
// request was seen is used again.
package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/socket"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// doesn't send its keep-alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is how much earlier than the endpoint this side closes an idle
	// connection, so that no request is sent while the endpoint closes it.
	idleMargin = 500 * time.Millisecond
	// maxIdleSeconds bounds the keep-alive timeout that an endpoint sends.
	maxIdleSeconds = 600
	// maxIdle limits the idle connections to one endpoint.
	maxIdle = 8
	// maxStrayResponses is how many responses to other requests are skipped on
	// one connection before it is closed.
	maxStrayResponses = 3
	readBuffer        = 4 << 10
)

// Message is a request to an endpoint.
type Message struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	// Host is the value of the Host field.
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in its response. A connection carries no two requests with
	// the same one, since an endpoint may repeat an earlier response. Empty for requests
	// without one.
	ID string
	// ResponseID, unless nil, returns the identifier in the header of a response. One that
	// names an earlier request of the connection is skipped. It serves requests without an ID.
	ResponseID func(http.Header) string
	// Dedicated makes Send dial a connection for this request alone.
	Dedicated bool
	// EncodeHeader, unless nil, returns the header in place of Header once the connection
	// stands, for fields that depend on the time.
	EncodeHeader func() http.Header
	// Check, unless nil, is called once the connection stands, before anything is sent. If
	// it returns an error, nothing is sent.
	Check func() error
	// Dial, unless nil, opens the connection, which is then used for this request alone.
	Dial func(ctx context.Context) (net.Conn, error)
}

// dedicated reports whether the request has a connection of its own. One with HEAD does,
// since a late response to it would be read as if it had a body.
func (m Message) dedicated() bool { return m.Dedicated || m.Dial != nil || m.Method == http.MethodHead }

// NotSentError means that no byte of a request was sent, so that the endpoint
// can't have run it.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint at %s was not reached and nothing was sent (%v); check that it runs and that the path to it is open", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError means that a request may have been sent but no response header
// was received, so that the endpoint may have run the request.
type NoResponseError struct {
	Address string
	// Unacknowledged is the number of bytes of the request that the endpoint's host had not
	// acknowledged when the connection was closed; -1 if it isn't known.
	Unacknowledged int
	Cause          error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no response header received from endpoint at %s (%v); check whether it was restarted", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// Exchange is a request whose response header has arrived. The caller reads
// Response.Body, calls MarkBodyRead if it read all of it, and must then call Close.
type Exchange struct {
	Response *http.Response
	// Reused is set if the connection had carried requests before.
	Reused bool

	pool    *Pool
	address string
	conn    *conn
	// dedicated is set if the connection must not carry other requests.
	dedicated bool
	stop      func() bool
	written   chan error
	bodyRead  bool
	// unacknowledged is the number of bytes of the request that were not acknowledged when
	// the connection was closed because the context had ended.
	unacknowledged atomic.Int64
}

// Send sends a message and waits for the response header. belongs reports whether
// a response with the header belongs to this request; others are skipped. The
// error is a *NotSentError if nothing was sent, and else a *NoResponseError. The
// end of ctx closes the connection, also while the response body is read.
func (p *Pool) Send(ctx context.Context, address string, m Message, belongs func(http.Header) bool) (*Exchange, error) {
	if err := m.check(); err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	c, reused, err := p.connect(ctx, address, m)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	if err := m.checkSend(ctx); err != nil {
		p.giveBack(address, c, reused)
		return nil, &NotSentError{Address: address, Cause: err}
	}
	if m.EncodeHeader != nil {
		m.Header = m.EncodeHeader()
	}
	if m.ResponseID != nil {
		belongs = c.exceptEarlier(belongs, m.ResponseID)
	}
	c.recordRequest(m.ID)
	x := &Exchange{pool: p, address: address, conn: c, dedicated: m.dedicated(), Reused: reused, written: make(chan error, 1)}
	x.unacknowledged.Store(int64(unknownQueue))
	x.stop = context.AfterFunc(ctx, x.onContextEnd)
	x.write(m)
	if err := x.readHeader(&http.Request{Method: m.Method}, belongs); err != nil {
		unacknowledged := socket.Unacknowledged(c.Conn)
		if unacknowledged == unknownQueue {
			unacknowledged = int(x.unacknowledged.Load())
		}
		x.Abort()
		return nil, &NoResponseError{Address: address, Unacknowledged: unacknowledged, Cause: errors.CombineErrors(context.Cause(ctx), err)}
	}
	return x, nil
}

// unknownQueue is the length of a queue of a closed connection.
const unknownQueue = -1

// onContextEnd closes the connection.
func (x *Exchange) onContextEnd() {
	x.unacknowledged.Store(int64(socket.Unacknowledged(x.conn.Conn)))
	_ = x.conn.Close()
}

// checkSend returns an error if nothing must be sent any more: the connection may have taken a
// while, and a kept one is there even if the context has ended.
func (m Message) checkSend(ctx context.Context) error {
	if m.Check != nil {
		if err := m.Check(); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

func (p *Pool) connect(ctx context.Context, address string, m Message) (*conn, bool, error) {
	if !m.dedicated() {
		if c := p.takeIdle(address, m.ID); c != nil {
			return c, true, nil
		}
	}
	dial := m.Dial
	if dial == nil {
		dial = func(ctx context.Context) (net.Conn, error) { return DialEndpoint(ctx, address) }
	}
	raw, err := dial(ctx)
	if err != nil {
		return nil, false, err
	}
	return newConn(raw), false, nil
}

// maxInlineBody is the largest body, in bytes, that is written before the response
// is read. A larger one may fill the connection's send window while the endpoint
// already responds.
const maxInlineBody = 32 << 10

// write sends the request. It does so concurrently with reading the response if
// the body is large, since an endpoint may respond before it has read all of it.
func (x *Exchange) write(m Message) {
	send := func() { x.written <- m.write(x.conn) }
	if len(m.Body) > maxInlineBody {
		go send()
		return
	}
	send()
}

// readHeader reads the head of the response, and skips informational responses and
// responses to other requests before it.
func (x *Exchange) readHeader(request *http.Request, belongs func(http.Header) bool) error {
	informational := 0
	for strays := 0; strays < maxStrayResponses; {
		response, err := x.conn.readHead(request)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return errors.Newf("more than %d informational responses; check what the endpoint sends", maxInformational)
			}
			continue
		}
		if belongs(response.Header) {
			x.conn.left = unbounded
			x.Response = response
			return nil
		}
		strays++
		x.conn.tainted = true
		x.conn.bound(PartStray, maxStrayBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return errors.Newf("%d consecutive responses belonged to other requests", maxStrayResponses)
}

// MarkBodyRead records that the whole response body was read.
func (x *Exchange) MarkBodyRead() { x.bodyRead = true }

// Framing is how the end of a response body is marked.
type Framing string

// Framings of response bodies.
const (
	// FramingLength marks the end by a Content-Length, or by a status without a body.
	FramingLength Framing = "length"
	// FramingChunked marks the end by the last chunk.
	FramingChunked Framing = "chunked"
	// FramingClose marks the end only by the end of the connection.
	FramingClose Framing = "close"
)

// Framing returns how the end of the response body is marked.
func (x *Exchange) Framing() Framing {
	switch {
	case len(x.Response.TransferEncoding) > 0:
		return FramingChunked
	case x.Response.ContentLength >= 0:
		return FramingLength
	default:
		return FramingClose
	}
}

// Close ends the exchange. The connection returns to the pool if the whole request
// was sent, the whole response was read and no response to another request was seen.
func (x *Exchange) Close() {
	if !x.stop() || !x.reusable() {
		_ = x.conn.Close()
		return
	}
	x.pool.putIdle(x.address, x.conn, idleTimeout(x.Response.Header))
}

func (x *Exchange) reusable() bool {
	if !x.bodyRead || x.dedicated || x.conn.tainted || x.Response.Close || x.Framing() == FramingClose || x.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// Abort ends the exchange and closes the connection.
func (x *Exchange) Abort() {
	x.stop()
	_ = x.conn.Close()
}

// idleTimeout returns how long to keep an idle connection: idleMargin less than the
// timeout in the endpoint's Keep-Alive header, or defaultIdleTimeout without one.
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(min(seconds, maxIdleSeconds))*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// Package upstream sends one request at a time over kept connections to
// endpoints. It sends nothing twice, and never takes bytes of another answer
// for the one awaited.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// idleLimit closes a kept connection of an endpoint that doesn't say how
	// long it keeps connections.
	idleLimit = 3 * time.Second
	// idleMargin is by how much earlier than the endpoint a connection is
	// given up, so that no request crosses its close.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the kept connections of one endpoint.
	maxIdle = 8
	// maxForeign is how many answers to other requests are skipped on one
	// connection before it is given up.
	maxForeign = 3
	readBuffer = 4 << 10
)

// Message is a request to an endpoint.
type Message struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh dials a connection for this request alone.
	Fresh bool
}

// NotSentError reports a request of which no byte was sent.
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

// CutError reports a connection that ended before the answer was whole.
type CutError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("endpoint at %s cut the answer (%v); check whether it was restarted", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// conn is one connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when a kept connection is to be closed.
	until time.Time
}

// Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	now  func() time.Time
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn), now: time.Now} }

// Forget closes the kept connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle[address]) > 0 {
		last := len(p.idle[address]) - 1
		c := p.idle[address][last]
		p.idle[address] = p.idle[address][:last]
		if now.Before(c.until) && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *Pool) put(address string, c *conn, keep time.Duration) {
	c.until = p.now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Exchange is a request whose answer's header has arrived.
type Exchange struct {
	Response *http.Response
	// Reused tells that the connection had carried requests before.
	Reused bool

	pool    *Pool
	address string
	conn    *conn
	fresh   bool
	stop    func() bool
	written chan error
	whole   bool
}

// Send sends a message and waits for the header of its answer. Belongs tells
// whether an answer is the one to this request; others are skipped. The error
// is a *NotSentError only where nothing was sent. The end of ctx closes the
// connection, also while the answer's body is read.
func (p *Pool) Send(ctx context.Context, address string, m Message, belongs func(http.Header) bool) (*Exchange, error) {
	c, reused, err := p.connect(ctx, address, m.Fresh)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	x := &Exchange{pool: p, address: address, conn: c, fresh: m.Fresh, Reused: reused, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	request := newRequest(address, m)
	x.write(request)
	if err := x.readHeader(request, belongs); err != nil {
		x.Abort()
		return nil, &CutError{Address: address, Cause: errors.CombineErrors(context.Cause(ctx), err)}
	}
	return x, nil
}

func (p *Pool) connect(ctx context.Context, address string, fresh bool) (*conn, bool, error) {
	if !fresh {
		if c := p.take(address); c != nil {
			return c, true, nil
		}
	}
	raw, err := Dial(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, false, nil
}

func newRequest(address string, m Message) *http.Request {
	path, query, _ := strings.Cut(m.Target, "?")
	request := &http.Request{
		Method: m.Method,
		URL:    &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(m.Target, "?")},
		Host:   m.Host,
		Header: m.Header,
	}
	if len(m.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(m.Body))
		request.ContentLength = int64(len(m.Body))
	}
	return request
}

// inlineBody is up to which size a body is written before the answer is
// awaited; more may fill the connection's window while the endpoint answers.
const inlineBody = 32 << 10

// write sends the request, beside the reading of the answer where its body
// is long, since an endpoint may answer before it has read all of it.
func (x *Exchange) write(request *http.Request) {
	send := func() { x.written <- request.Write(x.conn) }
	if request.ContentLength > inlineBody {
		go send()
		return
	}
	send()
}

func (x *Exchange) readHeader(request *http.Request, belongs func(http.Header) bool) error {
	for range maxForeign {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return err
		}
		if belongs(response.Header) {
			x.Response = response
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return errors.Newf("%d answers in a row belonged to other requests", maxForeign)
}

// Finished notes that the whole body of the answer was read.
func (x *Exchange) Finished() { x.whole = true }

// Framed reports whether the answer's end is told by a length or by chunks
// and not by the connection's end alone.
func (x *Exchange) Framed() bool {
	return x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0
}

// Close ends the exchange. The connection is kept where the whole request was
// sent and the whole answer read.
func (x *Exchange) Close() {
	if !x.stop() || !x.reusable() {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.address, x.conn, keepFor(x.Response.Header))
}

func (x *Exchange) reusable() bool {
	if !x.whole || x.fresh || x.Response.Close || !x.Framed() || x.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection.
func (x *Exchange) Abort() {
	x.stop()
	_ = x.conn.Close()
}

// keepFor reads how long an endpoint keeps an idle connection.
func keepFor(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleLimit
}

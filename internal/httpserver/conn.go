package httpserver

import (
	"errors" // that of cockroachdb is slow, and net/http's reads often end with an error
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bilberryslip.example/bilberryslip/internal/socket"
)

// trackingListener accepts connections as trackedConns.
type trackingListener struct {
	net.Listener
	server *Server
	// onClosed is called each time when no connection is accepted because the listener is
	// closed.
	onClosed func()
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		if errors.Is(err, net.ErrClosed) && l.onClosed != nil {
			l.onClosed()
		}
		return nil, err
	}
	return newTrackedConn(l.server, accepted), nil
}

// expiredDeadline makes reads return at once.
var expiredDeadline = time.Unix(1, 0)

// acceptQueueLength returns how many established connections wait to be accepted, or -1 if it
// isn't known.
func acceptQueueLength(listener net.Listener) int {
	for {
		wrapper, ok := listener.(interface{ Unwrap() net.Listener })
		if !ok {
			break
		}
		listener = wrapper.Unwrap()
	}
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return -1
	}
	length := -1
	err = raw.Control(func(fd uintptr) {
		// For a listening socket, Linux reports the queue's length as unacked segments.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			length = int(info.Unacked)
		}
	})
	if err != nil {
		return -1
	}
	return length
}

// trackedConn is an accepted connection that follows which requests were received.
type trackedConn struct {
	net.Conn
	server *Server
	// tcp is nil if the connection is not over TCP.
	tcp        *net.TCPConn
	acceptedAt time.Time
	// opaque is set if what is received can't be followed: for TLS, and once a handler has
	// taken the connection over.
	opaque atomic.Bool
	// hijacked is set once a handler has taken the connection over.
	hijacked atomic.Bool

	mu sync.Mutex
	// framing is that of what net/http has read.
	framing framing
	// receivedAt holds, for each request that has begun and not ended, when the kernel had
	// received its first bytes; zero if that isn't known.
	receivedAt []time.Time
	// readDeadline is the last that net/http has set.
	readDeadline time.Time
	// closing is set once reads end because the connection is quiet.
	closing bool
	// idleSince is when the connection became idle, or zero if it isn't.
	idleSince time.Time

	// handled is the number of requests whose handler was called, ended that of those whose
	// handler has returned or panicked, answered that of those whose handler has returned.
	handled, ended, answered atomic.Int64
	// saidClose is set once a response says that the connection closes.
	saidClose atomic.Bool
	// wrote is set if anything was written since the connection was idle.
	wrote atomic.Bool
	// callerGone is set once the caller is known to have closed the connection or its
	// sending half, or the connection has failed.
	callerGone atomic.Bool
	// endsByClose is set while a response is written whose end is that of the connection.
	endsByClose atomic.Bool
	closed      atomic.Bool
	// untakenReported is set once it is reported that the caller has not taken the answer.
	untakenReported atomic.Bool

	// lingersSince is when the connection began to wait for its caller. It is set before the
	// connection is added to the lingerers.
	lingersSince time.Time

	// reading is held by Read, and once the connection is closed by linger.
	reading sync.Mutex
}

func newTrackedConn(server *Server, accepted net.Conn) *trackedConn {
	c := &trackedConn{Conn: accepted, server: server, acceptedAt: time.Now()}
	c.opaque.Store(server.config.TLS != nil)
	c.tcp, _ = socket.Innermost(accepted).(*net.TCPConn)
	return c
}

// tracked returns the trackedConn of a connection, or nil if the server did not accept it.
func tracked(conn net.Conn) *trackedConn {
	if c, ok := conn.(*trackedConn); ok {
		return c
	}
	if wrapper, ok := conn.(socket.Wrapper); ok {
		c, _ := wrapper.NetConn().(*trackedConn)
		return c
	}
	return nil
}

// Read implements net.Conn. On a connection that closeIfQuiet closes it returns io.EOF, which
// makes net/http close it.
func (c *trackedConn) Read(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	for {
		n, err := c.Conn.Read(b)
		c.mu.Lock()
		if c.closed.Load() {
			c.mu.Unlock()
			return 0, net.ErrClosed
		}
		if n > 0 {
			c.keepOpen()
			c.follow(b[:n])
			c.mu.Unlock()
			return n, err
		}
		expired := errors.Is(err, os.ErrDeadlineExceeded)
		closing := c.closing
		// net/http ends its reads after each request by a deadline long ago.
		timedOut := expired && c.readDeadline.After(expiredDeadline)
		again := expired && (closing || timedOut && c.quiet()) && c.unread() > 0
		if again {
			c.keepOpen()
			c.awaitHead()
		}
		c.mu.Unlock()
		switch {
		case again:
			continue
		case expired && closing:
			return 0, io.EOF
		case err != nil && !expired:
			c.callerGone.Store(true)
		}
		return n, err
	}
}

// closeIfQuiet closes the connection and returns true, or returns false if any byte of a
// request without an answer was received. The goroutine that reads from the connection closes
// it, and keeps it open if bytes arrive before, so that none that net/http has read is lost.
// It must not be called for TLS.
func (c *trackedConn) closeIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.quiet() || c.unread() > 0 {
		return false
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(expiredDeadline)
	return true
}

// quiet reports whether no byte was read of a request without an answer. It must be called
// with the mutex held.
func (c *trackedConn) quiet() bool {
	return !c.opaque.Load() && !c.framing.lost && int64(c.framing.begun) <= c.ended.Load()
}

// follow adds what was read. net/http's timeout for the first head runs from the time the
// connection was accepted, which may be long before; it is set again when the head begins. It
// must be called with the mutex held.
func (c *trackedConn) follow(data []byte) {
	if c.opaque.Load() {
		return
	}
	before := c.framing.begun
	first := before == 0
	c.framing.add(data)
	if begun := c.framing.begun - before; begun > 0 {
		c.recordReceived(begun)
	}
	if first && c.framing.whole == 0 {
		c.awaitHead()
	}
}

// recordReceived records when the kernel received requests that have just begun to be read. It
// received the first bytes of each no later than the last data that it has. It must be called
// with the mutex held.
func (c *trackedConn) recordReceived(requests int) {
	var at time.Time
	if state, ok := socket.StateOf(c.Conn); ok {
		at = time.Now().Add(-state.SinceReceived)
		unreadSeconds.WithLabelValues(c.server.config.Name).Observe(state.SinceReceived.Seconds())
	}
	for range requests {
		c.receivedAt = append(c.receivedAt, at)
	}
}

// requestReceivedAt returns when the kernel received the request that is handled, or zero.
func (c *trackedConn) requestReceivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.receivedAt) == 0 {
		return time.Time{}
	}
	return c.receivedAt[0]
}

// endRequest records that the handler of a request has ended.
func (c *trackedConn) endRequest() {
	c.ended.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.receivedAt) > 0 {
		c.receivedAt = c.receivedAt[1:]
	}
}

// awaitHead gives the head of a request that has begun to arrive readHeaderTimeout. It must be
// called with the mutex held.
func (c *trackedConn) awaitHead() {
	if deadline := time.Now().Add(readHeaderTimeout); !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
		c.readDeadline = deadline
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// keepOpen reverts closeIfQuiet. It must be called with the mutex held.
func (c *trackedConn) keepOpen() {
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.closing || c.closed.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *trackedConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.wrote.Store(true)
	n, err := c.Conn.Write(b)
	if err != nil && !c.closed.Load() {
		c.callerGone.Store(true)
	}
	return n, err
}

// Close implements net.Conn. Unless the caller can't lose an answer by it, the connection
// closes in the background, as linger describes.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	if c.closed.Swap(true) {
		c.mu.Unlock()
		return net.ErrClosed
	}
	_ = c.Conn.SetReadDeadline(expiredDeadline) // ends a Read
	c.mu.Unlock()
	if c.hijacked.Load() {
		return c.Conn.Close() // the handler decides how it ends
	}
	c.reportUnanswered()
	switch {
	case c.tcp == nil:
	case c.endsByClose.Load():
		// Without a reset the answer would look complete.
		_ = c.tcp.SetLinger(0)
	case c.mayLoseAnswer() && c.server.lingerers.add(c):
		_ = c.tcp.CloseWrite()
		go c.linger()
		return nil
	}
	return c.Conn.Close()
}

// hijack stops following the connection, which a handler has taken over.
func (c *trackedConn) hijack() {
	c.opaque.Store(true)
	c.hijacked.Store(true)
}

var errNotTCP = errors.New("not a TCP connection")

// CloseWrite shuts down the sending half, as net/http does after some errors.
func (c *trackedConn) CloseWrite() error {
	if c.tcp == nil {
		return errNotTCP
	}
	return c.tcp.CloseWrite()
}

// SetLinger is that of net.TCPConn, for handlers that take the connection over.
func (c *trackedConn) SetLinger(seconds int) error {
	if c.tcp == nil {
		return errNotTCP
	}
	return c.tcp.SetLinger(seconds)
}

// SyscallConn implements syscall.Conn, for handlers that take the connection over.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	if c.tcp == nil {
		return nil, errNotTCP
	}
	return c.tcp.SyscallConn()
}

// setIdle records whether the connection is idle.
func (c *trackedConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if idle {
		c.idleSince = time.Now()
		c.wrote.Store(false)
	}
}

// received returns the numbers of requests that have begun to arrive and that have arrived
// to their last byte. For TLS they are 0.
func (c *trackedConn) received() (begun, whole int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.framing.begun), int64(c.framing.whole)
}

// furtherBegun reports whether any byte has been received of a request after the one that is
// handled. If it can't be told where that one ends, it returns true. For TLS it returns
// false.
func (c *trackedConn) furtherBegun() bool {
	if c.opaque.Load() {
		return false
	}
	c.mu.Lock()
	handled := int(c.handled.Load())
	further, ended := c.framing.lost || c.framing.begun > handled, c.framing.whole >= handled
	c.mu.Unlock()
	return further || ended && c.unread() > 0
}

// hasReceived reports whether any byte of a request was received. For TLS it returns false,
// since what was received may be no more than the handshake.
func (c *trackedConn) hasReceived() bool {
	begun, _ := c.received()
	return begun > 0
}

// unread returns the number of received bytes that were not read, or -1 if it isn't known.
func (c *trackedConn) unread() int { return socket.Unread(c.Conn) }

package httpserver

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// trackingListener accepts connections as trackedConns.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newTrackedConn(l.server, accepted), nil
}

// trackedConn is an accepted connection that follows which requests were received.
type trackedConn struct {
	net.Conn
	server *Server
	// tcp is nil if the connection is not over TCP.
	tcp        *net.TCPConn
	acceptedAt time.Time
	// encrypted is set if what is received can't be read here.
	encrypted bool

	mu sync.Mutex
	// framing is that of what net/http has read.
	framing framing

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
	closed     atomic.Bool
}

func newTrackedConn(server *Server, accepted net.Conn) *trackedConn {
	c := &trackedConn{Conn: accepted, server: server, acceptedAt: time.Now(), encrypted: server.config.TLS != nil}
	c.tcp, _ = innermost(accepted).(*net.TCPConn)
	return c
}

// netConner is implemented by connections that wrap another, as tls.Conn.
type netConner interface{ NetConn() net.Conn }

// innermost returns the connection that all others wrap.
func innermost(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(netConner)
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}

// tracked returns the trackedConn of a connection, or nil if the server did not accept it.
func tracked(conn net.Conn) *trackedConn {
	if wrapper, ok := conn.(netConner); ok {
		conn = wrapper.NetConn()
	}
	c, _ := conn.(*trackedConn)
	return c
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.encrypted {
		c.mu.Lock()
		c.framing.add(b[:n])
		c.mu.Unlock()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !c.closed.Load() {
		c.callerGone.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	n, err := c.Conn.Write(b)
	if err != nil && !c.closed.Load() {
		c.callerGone.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.reportUnanswered()
	return c.Conn.Close()
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
	if c.encrypted {
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
func (c *trackedConn) unread() int { return c.queue(unix.SIOCINQ) }

// queue returns the length of a queue of the socket, or -1 if it isn't known.
func (c *trackedConn) queue(request uint) int {
	if c.tcp == nil {
		return -1
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return -1
	}
	length := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
			length = n
		}
	})
	if err != nil {
		return -1
	}
	return length
}

package httpserver

import (
	"net"
	"sync/atomic"
)

// receiptListener accepts connections that record whether anything was received.
type receiptListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l receiptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &receiptConn{TCPConn: tcp}, nil
	}
	return conn, err
}

// receiptConn is a connection that records whether anything was received. net/http takes a
// connection for new until the whole head of its first request was read.
type receiptConn struct {
	*net.TCPConn
	received atomic.Bool
}

// Read implements net.Conn.
func (c *receiptConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// hasReceived reports whether anything was received on an accepted connection. For TLS it
// returns false, since what was received may be no more than the handshake.
func hasReceived(conn net.Conn) bool {
	c, ok := conn.(*receiptConn)
	return ok && c.received.Load()
}

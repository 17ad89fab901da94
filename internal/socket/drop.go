package socket

import (
	"context"
	"net"
)

// DialFunc opens a connection, like DialContext of http.Transport.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// DialRequests returns a DialFunc for connections that carry requests.
//
// If one of its TCP connections is closed, or the process is killed, while written bytes are
// not acknowledged, the kernel drops them and resets the connection. After an orderly close it
// would go on delivering them for as long as the path stalls, and the other side would run a
// request that was given up.
//
// Reads from it end with io.EOF only if the other side ended the connection in order, which
// may complete a response, and with an EndError otherwise.
func DialRequests(next DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if err := tcp.SetLinger(0); err != nil {
			_ = tcp.Close()
			return nil, err
		}
		return &requestConn{Conn: tcp, tcp: tcp}, nil
	}
}

// requestConn is a connection of DialRequests. Unless Close reverts it, its end is a reset.
// It has no ReadFrom and WriteTo of its own, which would bypass Read and Write.
type requestConn struct {
	net.Conn
	tcp    *net.TCPConn
	writes writeErrors
}

// Close implements net.Conn.
func (c *requestConn) Close() error {
	if Unacknowledged(c.tcp) == 0 {
		_ = c.tcp.SetLinger(-1) // nothing to drop; fails only if the connection is closed
	}
	return c.tcp.Close()
}

// NetConn returns the TCP connection.
func (c *requestConn) NetConn() net.Conn { return c.tcp }

// Package netmeter counts the bytes that this process sends and receives, by
// the kind of the remote side, so that the network cost of control traffic can
// be monitored.
package netmeter

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Link is the kind of the remote side of a connection. It is a label of the
// metric.
type Link string

// The kinds of remote sides.
const (
	Platform  Link = "platform"
	Peers     Link = "peers"
	Endpoints Link = "endpoints"
	Callers   Link = "callers"
)

var bytesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "bilberryslip_network_bytes_total",
	Help: "Bytes exchanged over TCP, by kind of counterpart and direction.",
}, []string{"link", "direction"})

// Collector returns the metric, for registration.
func Collector() prometheus.Collector { return bytesTotal }

// DialFunc opens a connection, like DialContext of http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that opens connections with next and counts their
// bytes under link.
func Dial(link Link, next DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(link, conn), nil
	}
}

// Listen returns a listener that accepts connections from next and counts their
// bytes under link.
func Listen(link Link, next net.Listener) net.Listener {
	return &listener{Listener: next, link: link}
}

type listener struct {
	net.Listener
	link Link
}

// Unwrap returns the listener whose connections are counted.
func (l *listener) Unwrap() net.Listener { return l.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(l.link, conn), nil
}

// conn counts the bytes read from and written to a connection.
type conn struct {
	net.Conn
	received, sent prometheus.Counter
}

func newConn(link Link, next net.Conn) *conn {
	return &conn{
		Conn:     next,
		received: bytesTotal.WithLabelValues(string(link), "received"),
		sent:     bytesTotal.WithLabelValues(string(link), "sent"),
	}
}

// NetConn returns the connection whose bytes are counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

package responsehead

import (
	"bufio"
	"net"
	"net/http"
	"sync"
)

// Conn is a connection on which the heads of responses are checked. Reads end with a
// MalformedError before the end of a head that is malformed.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	checker checker
}

// NewConn returns a Conn that checks nothing until Expect is called. allowUpgrade is set for
// requests that ask for another protocol.
func NewConn(conn net.Conn, allowUpgrade bool) *Conn {
	return &Conn{Conn: conn, checker: checker{allowUpgrade: allowUpgrade}}
}

// Expect makes the next bytes be checked as the head of a response, beginning with those that
// were read from the connection and not used yet.
func (c *Conn) Expect(unused []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.expect()
	_, err := c.checker.feed(unused)
	return err
}

// Checked reports whether the head that was expected last has arrived and is well-formed.
func (c *Conn) Checked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.err == nil && c.checker.complete()
}

// ReadResponse reads a response to a request from reader, which reads from the Conn.
func (c *Conn) ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	unused, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.Expect(unused); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(reader, request)
	if malformed := c.Malformed(); malformed != nil {
		return nil, malformed
	}
	return response, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	before, malformed := c.checker.feed(p[:n])
	switch {
	case malformed == nil:
		return n, err
	case before > 0: // the next read fails; net/http may repeat a request if the first one does
		return before, nil
	default:
		return 0, malformed
	}
}

// Malformed returns the MalformedError of a head that arrived; nil if there was none. Readers
// of heads may return another error for it, since they see a part of the head.
func (c *Conn) Malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.err
}

// NetConn returns the connection that the Conn wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

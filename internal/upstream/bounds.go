package upstream

import (
	"fmt"
	"net"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 32 << 10
	// maxStrayBytes bounds the body of a response to another request, which is skipped.
	maxStrayBytes = 64 << 10
	// maxInformational is the number of informational responses (status 1xx) that are
	// skipped before the response.
	maxInformational = 5
	// unbounded lifts the bound of a boundedConn.
	unbounded = -1
)

// TooLargeError means that an endpoint sent more bytes than are read of a part of its
// response.
type TooLargeError struct {
	// Part is the part of the response, Limit its bound in bytes.
	Part  string
	Limit int
}

// Parts of responses in a TooLargeError.
const (
	PartHead  = "head"
	PartStray = "stray response"
	PartBody  = "body"
	PartEvent = "event"
)

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s of the response exceeds %d bytes; check what the endpoint sends", e.Part, e.Limit)
}

// boundedConn is a connection of which a bounded number of bytes is read.
type boundedConn struct {
	net.Conn
	// left is the number of bytes that may still be read, or unbounded. exceeded is the
	// error once none is left.
	left     int
	exceeded *TooLargeError
}

// bound allows limit further bytes for a part of a response.
func (c *boundedConn) bound(part string, limit int) {
	c.left, c.exceeded = limit, &TooLargeError{Part: part, Limit: limit}
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left == unbounded {
		return c.Conn.Read(p)
	}
	if c.left == 0 {
		return 0, c.exceeded
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

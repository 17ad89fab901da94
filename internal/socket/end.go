package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// EndError means that a connection seemed to have ended in order while it was read, but failed.
type EndError struct {
	// Cause is the error of the write that was under way.
	Cause error
}

// Error implements error.
func (e *EndError) Error() string {
	return fmt.Sprintf("the connection failed while it was written to (%v), so that what was received may be incomplete; check whether the other side was restarted", e.Cause)
}

// Unwrap returns the cause.
func (e *EndError) Unwrap() error { return e.Cause }

// writeErrors keeps the first error that the kernel returned for a write to a connection. The
// kernel returns the error of a connection that failed, such as a reset, once: if a write
// takes it, reads end as after an orderly close.
type writeErrors struct {
	// writing is held during a write; first is only accessed while it is.
	writing sync.Mutex
	first   error
}

func (w *writeErrors) write(to io.Writer, p []byte) (int, error) {
	w.writing.Lock()
	defer w.writing.Unlock()
	n, err := to.Write(p)
	var code syscall.Errno
	if w.first == nil && errors.As(err, &code) {
		w.first = err
	}
	return n, err
}

// failure returns the error by which the connection has failed; nil if its end was in order.
// It waits for a write that is under way.
func (w *writeErrors) failure() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	// If a connection fails whose other side had ended its half in order, its error is EPIPE,
	// as it is for writes after the one that took another error.
	if w.first == nil || errors.Is(w.first, syscall.EPIPE) {
		return nil
	}
	return w.first
}

// Read implements net.Conn.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) || endedInOrder(c.tcp) {
		return n, err
	}
	if failure := c.writes.failure(); failure != nil {
		return n, &EndError{Cause: failure}
	}
	return n, err
}

// Write implements net.Conn.
func (c *requestConn) Write(p []byte) (int, error) { return c.writes.write(c.Conn, p) }

// endedInOrder reports whether the other side has ended its half of a connection that hasn't
// failed since. Writes may go on for long.
func endedInOrder(conn *net.TCPConn) bool {
	inOrder := false
	control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return inOrder
}

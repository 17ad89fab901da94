package socket

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// TestEndBehindUnreadData guards against an end of the other side that shows only once all
// that it sent before has been read.
func TestEndBehindUnreadData(t *testing.T) {
	for name, linger := range map[string]int{"close": -1, "reset": 0} {
		near, far := pair(t)
		if _, err := far.Write([]byte("unread")); err != nil {
			t.Fatal(err)
		}
		waitFor(t, name+": the data arrives", func() bool { return Unread(near) == len("unread") })
		if state, ok := StateOf(near); !ok || state.Ended {
			t.Errorf("%s: state before the end: %+v, known: %v", name, state, ok)
		}
		_ = far.(*net.TCPConn).SetLinger(linger)
		_ = far.Close()
		waitFor(t, name+": the end is seen", func() bool { state, ok := StateOf(near); return ok && state.Ended })
	}
}

// TestTimeSinceReceived guards against unread data that seems to have been received when it
// is read.
func TestTimeSinceReceived(t *testing.T) {
	near, far := pair(t)
	if _, err := far.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	const wait = 100 * time.Millisecond
	time.Sleep(wait)
	const resolution = 10 * time.Millisecond // of the kernel's clock
	if state, ok := StateOf(near); !ok || state.SinceReceived < wait-resolution {
		t.Errorf("state %v after the data was sent: %+v, known: %v", wait, state, ok)
	}
}

// TestResetOfWrappedConnection guards against a connection that ends like one that was closed
// in order. The servers of package httpserver wrap the connections they accept.
func TestResetOfWrappedConnection(t *testing.T) {
	near, far := pair(t)
	if err := Reset(struct{ *net.TCPConn }{near.(*net.TCPConn)}); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read: %v; want a reset", err)
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 2 s: %s", what)
		}
	}
}

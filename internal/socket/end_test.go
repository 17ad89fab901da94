package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

const (
	// uploadBytes outgrows the buffers of a connection, so that it is still being written when
	// the response ends.
	uploadBytes = 12 << 20
	partOfBody  = "a part of the response"
	// slowRead is the time that a reader that waits for its own caller leaves between two reads.
	slowRead = 5 * time.Millisecond
)

// answerEarly accepts a connection, reads a part of what is sent there, writes partOfBody, and
// calls end.
func answerEarly(t *testing.T, listener net.Listener, end func(conn *net.TCPConn)) {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.ReadFull(conn, make([]byte, 1<<10))
	_, _ = io.WriteString(conn, partOfBody)
	end(conn.(*net.TCPConn))
}

// upload sends more than the other side reads, and returns what it receives until the end.
func upload(t *testing.T, listener net.Listener, pause time.Duration) (string, error) {
	t.Helper()
	conn := dialDropping(t, listener.Addr().String())
	defer conn.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = conn.Write(make([]byte, uploadBytes))
	}()
	first := make([]byte, len(partOfBody))
	_, err := io.ReadFull(conn, first)
	var rest []byte
	if err == nil {
		time.Sleep(pause)
		rest, err = io.ReadAll(conn)
	}
	_ = conn.Close()
	<-written
	return string(first) + string(rest), err
}

// TestResetDuringUpload guards against a connection that seems to have ended in order, since
// the write that was under way took the error of its reset: a part of a response would pass
// for the whole.
func TestResetDuringUpload(t *testing.T) {
	listener := stalledListener(t)
	const runs = 100
	for _, pause := range []time.Duration{0, slowRead} {
		orderly := 0
		for range runs {
			go answerEarly(t, listener, func(conn *net.TCPConn) {
				_ = conn.SetLinger(0)
				_ = conn.Close()
			})
			if _, err := upload(t, listener, pause); err == nil {
				orderly++
			}
		}
		if orderly > 0 {
			t.Errorf("read after %v: %d of %d connections that were reset seemed to end in order", pause, orderly, runs)
		}
	}
}

// TestEndDuringUpload guards against a whole response that is lost because the other side,
// which has ended its half in order, doesn't read the rest of the request, or resets the
// connection later for it.
func TestEndDuringUpload(t *testing.T) {
	listener := stalledListener(t)
	const runs = 20
	for _, reset := range []bool{false, true} {
		for range runs {
			done := make(chan struct{})
			go answerEarly(t, listener, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				if !reset {
					<-done
				}
				_ = conn.Close() // with unread data, which resets the connection
			})
			got, err := upload(t, listener, slowRead)
			close(done)
			if got != partOfBody || err != nil {
				t.Fatalf("reset later: %v: received %q, then: %v", reset, got, err)
			}
		}
	}
}

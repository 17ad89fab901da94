package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// lateRead is how long callers that read late wait.
const lateRead = 300 * time.Millisecond

// TestAnswerSurvivesClose guards against answers that a reset destroys, if the connection is
// closed before they are delivered: unread bytes, and bytes that arrive later, cause one.
func TestAnswerSurvivesClose(t *testing.T) {
	large := strings.Repeat("x", largeAnswer)
	answer := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }
	for _, c := range []struct {
		name, sent, sentLater string
		handler               http.HandlerFunc
		idle                  time.Duration
		during                func(*Server)
		status                int
	}{
		{name: "bytes behind the last request", sent: "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n" + strings.Repeat("y", 20<<10), handler: answer},
		{name: "request that crosses the close", sent: "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n", sentLater: plainGet, handler: answer},
		{name: "request that crosses the idle timeout", sent: plainGet, sentLater: plainGet, handler: answer, idle: 10 * time.Millisecond},
		{name: "request that crosses the stop", sent: plainGet, sentLater: plainGet, handler: answer, during: func(server *Server) { go server.stop(context.Background()) }},
		{
			name: "rest of a body", sent: "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("y", 20<<10),
			sentLater: strings.Repeat("y", 20<<10), handler: func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				_ = http.NewResponseController(w).EnableFullDuplex()
				_ = http.NewResponseController(w).SetReadDeadline(time.Now())
				answer(w, r)
			},
		},
		{
			name: "refused by net/http", sent: "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nHost: test\r\n\r\n" + strings.Repeat("y", 20<<10), sentLater: plainGet,
			status: http.StatusNotImplemented,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var idle func() time.Duration
			if c.idle > 0 {
				idle = func() time.Duration { return c.idle }
			}
			server, conn := start(t, c.handler, idle)
			write(t, conn, c.sent)
			time.Sleep(lateRead / 2)
			if c.during != nil {
				c.during(server)
			}
			time.Sleep(lateRead / 2)
			_, _ = io.WriteString(conn, c.sentLater) // fails if the connection was reset
			time.Sleep(lateRead)
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatalf("read %d bytes of the answer: %v", len(body), err)
			}
			if c.status != 0 && response.StatusCode != c.status || c.status == 0 && len(body) != largeAnswer {
				t.Fatalf("status %d, %d bytes", response.StatusCode, len(body))
			}
			if rest, err := conn.Read(make([]byte, 1)); rest != 0 || err != io.EOF {
				t.Errorf("read %d bytes after the answer, error %v; want EOF", rest, err)
			}
		})
	}
}

// TestAbortedAnswerIsBroken guards against an answer that looks complete to its caller though
// its handler has ended the connection in the middle.
func TestAbortedAnswerIsBroken(t *testing.T) {
	for _, c := range []struct {
		name, request, length string
		want                  error
	}{
		{"chunks", plainGet, "", io.ErrUnexpectedEOF},
		{"length", plainGet, "100", io.ErrUnexpectedEOF},
		{"unread bytes", plainGet + strings.Repeat("y", 20<<10), "", io.ErrUnexpectedEOF},
		{"HTTP/1.0 with length", "GET / HTTP/1.0\r\n\r\n", "100", io.ErrUnexpectedEOF},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "", syscall.ECONNRESET},
	} {
		_, conn := start(t, func(w http.ResponseWriter, _ *http.Request) {
			if c.length != "" {
				w.Header().Set("Content-Length", c.length)
			}
			_, _ = io.WriteString(w, "begin")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, nil)
		write(t, conn, c.request)
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", c.name, err)
			continue
		}
		defer response.Body.Close()
		if body, err := io.ReadAll(response.Body); string(body) != "begin" || !errors.Is(err, c.want) {
			t.Errorf("%s: read %q, error %v; want %v", c.name, body, err, c.want)
		}
	}
}

// TestStopAwaitsDelivery guards against a process that exits before its callers have taken
// their answers, and against a stop that waits for callers without end, or for those that
// have closed.
func TestStopAwaitsDelivery(t *testing.T) {
	for _, c := range []struct {
		name string
		// closes is when the caller closes its connection, or negative for never.
		closes   time.Duration
		limit    time.Duration
		min, max time.Duration
	}{
		{"caller that closes", 500 * time.Millisecond, time.Minute, 400 * time.Millisecond, 1500 * time.Millisecond},
		{"caller that never closes", -1, time.Minute, lingerTimeout - 100*time.Millisecond, lingerTimeout + newConnGrace},
		{"limit of the stop", -1, 500 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond},
		{"caller that has closed", 0, time.Minute, 0, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, conn := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }, nil)
			write(t, conn, plainGet)
			expectBodies(t, conn, "whole")
			if c.closes >= 0 {
				time.AfterFunc(c.closes, func() { _ = conn.Close() })
			}
			if c.closes == 0 {
				time.Sleep(50 * time.Millisecond)
			}
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), c.limit)
			defer cancel()
			server.stop(ctx)
			if took := time.Since(began); took < c.min || took > c.max {
				t.Errorf("the stop took %v, want %v to %v", took, c.min, c.max)
			}
		})
	}
}

// TestLingerersAreBounded guards against descriptors held without limit for callers that don't
// close.
func TestLingerersAreBounded(t *testing.T) {
	server, conn := start(t, func(http.ResponseWriter, *http.Request) {}, nil)
	for range maxLingerers {
		if !server.lingerers.add(&trackedConn{}) {
			t.Fatal("too few may linger")
		}
	}
	write(t, conn, "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	if got := len(server.lingerers.all()); got != maxLingerers {
		t.Fatalf("%d connections linger, want %d", got, maxLingerers)
	}
	waitFor(t, "the connection is closed at once", func() bool { _, err := io.WriteString(conn, plainGet); return err != nil })
}

// TestHijackedConnectionIsTheHandlers guards against a server that hides the socket from a
// handler that takes its connection over, overrides how it ends, or follows what it carries as
// requests.
func TestHijackedConnectionIsTheHandlers(t *testing.T) {
	server, conn := start(t, func(w http.ResponseWriter, _ *http.Request) {
		hijacked, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		buffer := make([]byte, len(plainGet))
		if _, err := io.ReadFull(hijacked, buffer); err != nil {
			t.Error(err)
		}
		if socket, ok := hijacked.(interface {
			SetLinger(seconds int) error
			CloseWrite() error
			syscall.Conn
		}); !ok || socket.SetLinger(0) != nil {
			t.Error("the socket can't be controlled")
		}
		_ = hijacked.Close()
	}, nil)
	write(t, conn, plainGet)
	time.Sleep(20 * time.Millisecond)
	write(t, conn, plainGet)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read error %v, want a reset", err)
	}
	for _, cause := range []string{causeAborted, causeRunning, causeSaidClose, causeNotHandled} {
		if got := countOf(t, unansweredTotal.WithLabelValues(server.config.Name, cause)); got != 0 {
			t.Errorf("%v connections closed for %s, want none", got, cause)
		}
	}
}

// TestLingerLeavesFurtherRequestUnread guards against a request that crosses the close of an
// idle connection, and is read and dropped: its caller may send one that is not idempotent
// again only if it was not read.
func TestLingerLeavesFurtherRequestUnread(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }
	server, conn := start(t, answer, func() time.Duration { return time.Minute })
	write(t, conn, plainGet)
	expectBodies(t, conn, "whole")
	go server.stop(context.Background())
	waitFor(t, "the connection lingers", func() bool { return len(server.lingerers.all()) == 1 })
	lingering := server.lingerers.all()[0]
	write(t, conn, post) // as one that left its caller before the close arrived
	time.Sleep(crossingTime / 2)
	if got := lingering.unread(); got != len(post) {
		t.Errorf("%d of %d bytes of the request are unread, want all", got, len(post))
	}
}

// TestStopIsNotHeldUpByFewBytes guards against a stop that lasts to its limit for an idle
// connection that carries no request.
func TestStopIsNotHeldUpByFewBytes(t *testing.T) {
	for _, c := range []struct{ name, request, after string }{
		{"line break behind an answered GET", plainGet, "\r\n"},
		{"one byte behind an answered POST", post, "G"},
		{"folded field in an answered request", "GET / HTTP/1.1\r\nHost: test\r\nX-Note: a\r\n b\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, conn := start(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "whole")
			}, func() time.Duration { return time.Minute })
			write(t, conn, c.request)
			expectBodies(t, conn, "whole")
			write(t, conn, c.after)
			time.Sleep(50 * time.Millisecond)
			_ = conn.SetReadDeadline(time.Time{})
			go func() { _, _ = io.Copy(io.Discard, conn); _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			began := time.Now()
			server.stop(ctx)
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("the stop took %v", took)
			}
		})
	}
}

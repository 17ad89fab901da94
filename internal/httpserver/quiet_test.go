package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestArrivingRequestIsNotIdle guards against connections that are closed as idle, or as
// unused, while the head of a request arrives: net/http calls them idle, or new, until it has
// read the whole head.
func TestArrivingRequestIsNotIdle(t *testing.T) {
	stop := func(server *Server) { go server.stop(context.Background()) }
	for _, c := range []struct {
		name string
		// idle is the idle timeout, or 0 for none that expires.
		idle time.Duration
		// earlier is a request that is answered before the one that arrives in parts.
		earlier string
		head    []string
		during  func(*Server)
	}{
		{"stop", 0, plainGet, []string{"GET /a HTTP/1.1\r\nHo", "st: test\r\n\r\n"}, stop},
		{"stop, few bytes", 0, plainGet, []string{"GE", "T /a HTTP/1.1\r\nHost: test\r\n\r\n"}, stop},
		{"stop, line breaks", 0, post, []string{"\r\nG", "ET /a HTTP/1.1\r\nHost: test\r\n\r\n"}, stop},
		{"stop, first request", 0, "", []string{"GET /a HTTP/1.1\r\nHo", "st: test\r\n\r\n"}, stop},
		{"idle timeout", 100 * time.Millisecond, plainGet, []string{"GET /a HTTP/1.1\r\nHo", "st: test\r\n\r\n"}, func(*Server) {}},
		{"end of the service", 0, plainGet, []string{"GET /a HTTP/1.1\r\nHo", "st: test\r\n\r\n"}, func(server *Server) { go server.Close(time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			idle := c.idle
			if idle == 0 {
				idle = time.Minute
			}
			server, conn := start(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "whole")
			}, func() time.Duration { return idle })
			reader := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			if c.earlier != "" {
				write(t, conn, c.earlier)
				expectBody(t, reader, "whole")
			}
			write(t, conn, c.head[0])
			time.Sleep(20 * time.Millisecond) // until the part was read
			c.during(server)
			time.Sleep(300 * time.Millisecond) // longer than the idle timeout
			write(t, conn, c.head[1])
			expectBody(t, reader, "whole")
		})
	}
}

// TestCloseIfQuiet guards against the loss of bytes that are received before, or while, the
// server decides that a connection is quiet.
func TestCloseIfQuiet(t *testing.T) {
	for _, c := range []struct {
		name, before, between string
		closing               bool
	}{
		{"nothing received", "", "", true},
		{"received before", "GET", "", false},
		{"received after the decision and before the read", "", "GET", true},
	} {
		caller, conn := acceptOne(t)
		sent := 0
		receive := func(text string) {
			write(t, caller, text)
			sent += len(text)
			waitFor(t, "the bytes are received", func() bool { return conn.unread() == sent })
		}
		receive(c.before)
		if got := conn.closeIfQuiet(); got != c.closing {
			t.Errorf("%s: closes: %t, want %t", c.name, got, c.closing)
		}
		receive(c.between)
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute)) // as net/http does in between
		buffer := make([]byte, 10)
		n, err := conn.Read(buffer)
		if want := c.before + c.between; string(buffer[:n]) != want || (err == io.EOF) != (want == "") {
			t.Errorf("%s: read %q, error %v; want %q", c.name, buffer[:n], err, want)
		}
	}
}

func expectBody(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != want {
		t.Fatalf("answer %q, error %v; want %q", body, err, want)
	}
}

// TestReadDeadlineSparesArrivingRequest guards against timeouts of net/http that end a
// connection although a request has begun to arrive before them: that for the first head
// runs from the time the connection was accepted, and an expired deadline hides what was
// received.
func TestReadDeadlineSparesArrivingRequest(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		firstLate           bool
	}{
		{"received before the deadline, read after it", "GET", "", true},
		{"in two parts around the deadline", "GE", "T", false},
	} {
		caller, conn := acceptOne(t)
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		write(t, caller, c.first)
		if c.firstLate {
			time.Sleep(100 * time.Millisecond)
		}
		buffer := make([]byte, 10)
		if n, err := conn.Read(buffer); string(buffer[:n]) != c.first {
			t.Errorf("%s: read %q, error %v; want %q", c.name, buffer[:n], err, c.first)
		}
		if c.second != "" {
			time.Sleep(100 * time.Millisecond)
			write(t, caller, c.second)
			if n, err := conn.Read(buffer); string(buffer[:n]) != c.second {
				t.Errorf("%s: read %q, error %v; want %q", c.name, buffer[:n], err, c.second)
			}
		}
	}
}

// acceptOne returns both ends of a connection.
func acceptOne(t *testing.T) (net.Conn, *trackedConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := trackingListener{Listener: listener, server: New(Config{})}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return caller, tracked(accepted)
}

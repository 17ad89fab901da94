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

// waitFor polls a condition and fails the test if it is not met within 5 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not within 5 s", what)
}

// TestStopServesRequestWhoseHeaderIsArriving checks that a request is served
// whose header is still incomplete when the listener closes.
func TestStopServesRequestWhoseHeaderIsArriving(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server := New(Config{Name: "test", Listener: listener, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	})})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection is accepted", func() bool { return server.acceptedAny() })
	go server.stop(ctx)
	waitFor(t, "the listener is closed", func() bool {
		other, err := net.Dial("tcp", address)
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	})
	if _, err := io.WriteString(conn, "\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer response.Body.Close()
	if body, _ := io.ReadAll(response.Body); string(body) != "whole" || !response.Close {
		t.Fatalf("got %q, connection closes: %t; want the complete response and a closing connection", body, response.Close)
	}
}

// acceptedAny reports whether the server has accepted a connection that is still open.
func (s *Server) acceptedAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy) > 0
}

// TestStopServesHeaderThatIsCompleteLate guards against a connection that is closed, or not
// waited for, because its first request has not been read completely.
func TestStopServesHeaderThatIsCompleteLate(t *testing.T) {
	server, conn, stopped := startStopping(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") },
		"GET / HTTP/1.1\r\nHost: test\r\n")
	time.Sleep(newConnGrace + 100*time.Millisecond)
	if _, err := io.WriteString(conn, "\r\n"); err != nil {
		t.Fatal(err)
	}
	expectBodies(t, conn, "whole")
	<-stopped
	if server.acceptedAny() {
		t.Fatal("connections are open after the stop")
	}
}

// TestStopAnswersRequestBehindResponse guards against a connection that is closed without
// an answer to a request that was read behind one whose response began before the stop.
func TestStopAnswersRequestBehindResponse(t *testing.T) {
	proceed := make(chan struct{})
	server, conn, stopped := startStopping(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/first" {
			<-proceed
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}, "GET /first HTTP/1.1\r\nHost: test\r\n\r\nGET /second HTTP/1.1\r\nHost: test\r\n\r\n")
	waitFor(t, "idle connections are closed", func() bool {
		return server.ending.Load()
	})
	close(proceed)
	expectBodies(t, conn, "/first", "/second")
	<-stopped
}

// TestStopClosesUnusedConnections guards against a stop that waits for connections on which
// nothing is sent.
func TestStopClosesUnusedConnections(t *testing.T) {
	_, conn, stopped := startStopping(t, func(http.ResponseWriter, *http.Request) {}, "")
	select {
	case <-stopped:
	case <-time.After(newConnGrace + time.Second):
		t.Fatal("the server waits for an unused connection")
	}
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Fatalf("read %d bytes, error %v; want EOF", n, err)
	}
}

// startStopping starts a server, opens a connection to it, writes text, and begins to stop
// the server. stopped is closed once the server has stopped.
func startStopping(t *testing.T, handler http.HandlerFunc, text string) (server *Server, conn net.Conn, stopped chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = New(Config{Name: "test", Listener: listener, Handler: handler})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	if conn, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection is accepted", server.acceptedAny)
	time.Sleep(50 * time.Millisecond) // until the server has read the text
	stopped = make(chan struct{})
	go func() {
		defer close(stopped)
		server.stop(ctx)
	}()
	return server, conn, stopped
}

// expectBodies reads one response for each body.
func expectBodies(t *testing.T, conn net.Conn, bodies ...string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	reader := bufio.NewReader(conn)
	for _, want := range bodies {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no response with body %q: %v", want, err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(body) != want {
			t.Fatalf("got %q, error %v; want %q", body, err, want)
		}
	}
}

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

// TestStopClosesConnectionAfterResponseThatStartedBefore checks that a
// connection is closed after a response whose header was sent without
// "Connection: close" before the server began to stop.
func TestStopClosesConnectionAfterResponseThatStartedBefore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	finishResponse := make(chan struct{})
	server := New(Config{Name: "test", Listener: listener, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begin")
		_ = http.NewResponseController(w).Flush()
		<-finishResponse
	})})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	go server.stop(ctx)
	waitFor(t, "the server is stopping", func() bool {
		return server.ending.Load()
	})
	close(finishResponse)
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "begin" {
		t.Fatalf("response %q, error %v; want the complete response", body, err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("connection is still open: %v", err)
	}
}

// TestIdleConnectionIsClosedAfterIdleTimeout checks the timeout that Config.Idle
// returns.
func TestIdleConnectionIsClosedAfterIdleTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(Config{
		Name: "test", Listener: listener, Idle: func() time.Duration { return 50 * time.Millisecond },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if got, err := io.ReadAll(conn); err != nil || len(got) == 0 {
		t.Fatalf("read %q, error %v; want a response and EOF", got, err)
	}
}

// TestRequestReadAfterCloseIsNotHandled simulates a request that is read from an
// idle connection at the moment when the server closes it.
func TestRequestReadAfterCloseIsNotHandled(t *testing.T) {
	handled := false
	server := New(Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true })})
	server.idle, server.closed = make(map[net.Conn]*time.Timer), make(map[net.Conn]bool)
	serverConn, clientConn := net.Pipe()
	defer clientConn.Close()
	server.idle[serverConn] = nil
	server.CloseQuiet()
	request, err := http.NewRequestWithContext(context.WithValue(context.Background(), connKey{}, &connection{Conn: serverConn}), http.MethodPost, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if recover() != http.ErrAbortHandler || handled {
			t.Fatalf("handled: %t; want the request dropped without a response", handled)
		}
	}()
	server.withConnectionClose(server.config.Handler).ServeHTTP(nil, request)
}

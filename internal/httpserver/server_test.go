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
	waitFor(t, "the connection is accepted", func() bool { return server.hasActiveConn(true) })
	go server.StopAccepting(ctx)
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

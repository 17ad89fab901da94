package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// heldListener accepts no connection until released is closed.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// TestStopServesConnectionsThatAreNotAccepted guards against requests on connections that the
// kernel has established, but that a busy process has not accepted when it closes the listener.
func TestStopServesConnectionsThatAreNotAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := heldListener{listener.(*net.TCPListener), make(chan struct{})}
	server := New(Config{Name: t.Name(), Listener: held, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	})})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	waitFor(t, "the server runs", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.activeListener != nil
	})
	conns := make([]net.Conn, 3)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
		write(t, conns[i], plainGet)
	}
	time.AfterFunc(50*time.Millisecond, func() { close(held.released) })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.stop(ctx)
	}()
	for _, conn := range conns {
		expectBodies(t, conn, "whole")
		_ = conn.Close()
	}
	<-stopped
}

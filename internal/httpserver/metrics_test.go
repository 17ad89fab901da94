package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/prometheus/client_golang/prometheus"
)

func countOf(t *testing.T, counter prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := counter.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// start starts a server whose name is unique, so that its counters are, with one connection
// to it. idle is its Config.Idle.
func start(t *testing.T, handler http.HandlerFunc, idle func() time.Duration) (*Server, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(Config{Name: t.Name() + listener.Addr().String(), Listener: bufferingListener{listener}, Handler: handler, Idle: idle})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	waitFor(t, "the connection is accepted", server.acceptedAny)
	return server, conn.(*net.TCPConn)
}

// bufferingListener accepts connections whose send buffer takes an answer of largeAnswer bytes.
type bufferingListener struct{ net.Listener }

const largeAnswer = 200 << 10

func (l bufferingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(largeAnswer)
	}
	return conn, err
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// TestUnansweredIsReported guards against requests whose loss leaves no trace, and against
// reports of requests that were answered.
func TestUnansweredIsReported(t *testing.T) {
	hook := logtest.NewLocal(logrus.StandardLogger())
	release := make(chan struct{})
	defer close(release)
	for _, c := range []struct {
		name, text, cause string
		handler           http.HandlerFunc
	}{
		{"answered", plainGet + post, "", func(http.ResponseWriter, *http.Request) {}},
		{"open with a part of a request", plainGet + "GET /a", "", func(http.ResponseWriter, *http.Request) {}},
		{"refused by net/http", "GET / HTTP/1.1\r\n\r\n", "", nil},
		{"aborted", plainGet, causeAborted, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"second behind close", plainGet + plainGet, causeSaidClose, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }},
		{"running", plainGet, causeRunning, func(http.ResponseWriter, *http.Request) { <-release }},
		{"caller gone", plainGet, causeCallerGone, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); panic(http.ErrAbortHandler) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			hook.Reset()
			server, conn := start(t, c.handler, nil)
			write(t, conn, c.text)
			time.Sleep(50 * time.Millisecond) // until the text was read
			if c.cause == causeCallerGone {
				_ = conn.Close()
				time.Sleep(50 * time.Millisecond)
			}
			server.Close(10 * time.Millisecond)
			open := 0.0
			for _, cause := range []string{causeCallerGone, causeSaidClose, causeAborted, causeRunning, causeNotHandled} {
				want := 0.0
				if cause == c.cause {
					want = 1
				}
				if got := countOf(t, unansweredTotal.WithLabelValues(server.config.Name, cause)); got != want {
					t.Errorf("%v connections closed for %s, want %v", got, cause, want)
				}
			}
			var lines []string
			for _, entry := range hook.AllEntries() {
				if entry.Data["server"] == server.config.Name {
					lines = append(lines, entry.Message)
				}
			}
			wantLines := 0
			if c.cause == causeRunning || strings.HasPrefix(c.name, "open") {
				open, wantLines = 1, 1
			}
			if c.cause != "" && c.cause != causeCallerGone {
				wantLines++
			}
			if got := countOf(t, openAtLimitTotal.WithLabelValues(server.config.Name)); got != open {
				t.Errorf("%v connections open at the limit, want %v", got, open)
			}
			if len(lines) != wantLines {
				t.Errorf("logged %s, want %d lines", strings.Join(lines, "; "), wantLines)
			}
		})
	}
}

package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestCloseIsSaidWithLastAnswer guards against "Connection: close" in an answer behind which a
// further request has begun to arrive, and against requests that are handled though they
// began after it was said.
func TestCloseIsSaidWithLastAnswer(t *testing.T) {
	const (
		first  = "POST /first HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nhello"
		second = "POST /second HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	)
	for _, c := range []struct {
		name string
		// before is sent before the first answer begins, during while it is sent, after once
		// it was received.
		before, during, after string
		want                  []string
	}{
		{"whole", first + second, "", "", []string{"/first", "/second"}},
		{"in part", first + second[:30], "", second[30:], []string{"/first", "/second"}},
		{"one byte", first + second[:1], second[1:], "", []string{"/first", "/second"}},
		{"two behind", first + second + second, "", "", []string{"/first", "/second", "/second"}},
		{"begun after the head", first, second, "", []string{"/first"}},
		{"none", first, "", "", []string{"/first"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin, end := make(chan struct{}), make(chan struct{})
			var handled atomic.Int64
			server, conn := start(t, func(w http.ResponseWriter, r *http.Request) {
				handled.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/first" {
					<-begin
					w.WriteHeader(http.StatusOK)
					_ = http.NewResponseController(w).Flush()
					<-end
				}
				_, _ = io.WriteString(w, r.URL.Path)
			}, nil)
			write(t, conn, c.before)
			waitFor(t, "the first request is handled", func() bool { return handled.Load() == 1 })
			time.Sleep(20 * time.Millisecond) // until what follows was received
			server.ending.Store(true)
			close(begin)
			reader := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, err := reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			write(t, conn, c.during)
			close(end)
			for i, want := range c.want {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("no answer to %s: %v", want, err)
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if last := i == len(c.want)-1; err != nil || string(body) != want || response.Close != last {
					t.Errorf("answer %q, says close: %t, error %v; want %q, %t", body, response.Close, err, want, last)
				}
				if i == 0 && c.after != "" {
					write(t, conn, c.after)
				}
			}
			_ = conn.CloseWrite()
			if rest, _ := io.ReadAll(reader); len(rest) != 0 {
				t.Errorf("read %q after the last answer", rest)
			}
			if got := handled.Load(); got != int64(len(c.want)) {
				t.Errorf("%d requests handled, want %d", got, len(c.want))
			}
		})
	}
}

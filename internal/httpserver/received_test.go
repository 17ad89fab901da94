package httpserver

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// TestRequestReceivedBehindAnother guards against requests that count as received when they
// are read, or when the request before them was.
func TestRequestReceivedBehindAnother(t *testing.T) {
	const service, gap, resolution = 150 * time.Millisecond, 50 * time.Millisecond, 15 * time.Millisecond
	unread := make(chan time.Duration, 2)
	_, conn := start(t, func(_ http.ResponseWriter, r *http.Request) {
		c, ok := ConnectionOf(r.Context())
		if !ok || c.ReceivedAt.IsZero() {
			t.Error("it isn't known when the request was received")
		}
		unread <- time.Since(c.ReceivedAt)
		time.Sleep(service)
	}, nil)
	for range 2 {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(gap)
	}
	if first := <-unread; first > gap {
		t.Errorf("the first request counts as received %v before its handler began", first)
	}
	if second, due := <-unread, service-gap; second < due-resolution || second > due+gap {
		t.Errorf("the second request counts as received %v before its handler began, due: %v", second, due)
	}
}

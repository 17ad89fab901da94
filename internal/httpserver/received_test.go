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
	const (
		service, gap = 150 * time.Millisecond, 50 * time.Millisecond
		resolution   = 15 * time.Millisecond // of the kernel's clock
	)
	received := make(chan time.Time, 2)
	_, conn := start(t, func(_ http.ResponseWriter, r *http.Request) {
		c, ok := ConnectionOf(r.Context())
		if !ok {
			t.Error("the connection isn't known")
		}
		received <- c.ReceivedAt
		time.Sleep(service)
	}, nil)
	type span struct{ from, until time.Time }
	var sent []span
	for range 2 {
		from := time.Now()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		sent = append(sent, span{from, time.Now()})
		time.Sleep(gap)
	}
	for i, s := range sent {
		if at := <-received; at.Before(s.from.Add(-resolution)) || at.After(s.until.Add(resolution)) {
			t.Errorf("request %d counts as received %v after it was sent", i+1, at.Sub(s.from))
		}
	}
}

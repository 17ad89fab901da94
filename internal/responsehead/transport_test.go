package responsehead

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// startServer starts a server that responds to the requests of each connection in turn, and
// returns its URL and the number of requests that it has received.
func startServer(t *testing.T, responses ...string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, response := range responses {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					received.Add(1)
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), received
}

func newTestTransport() *Transport {
	return NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
}

func get(t *testing.T, transport http.RoundTripper, url string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const (
	sound    = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
	soundGot = "sound"
)

// TestTransportRejectsMalformedHeads guards against answers of the store, of peers and of
// endpoints that are read by senseless heads, on new and on kept connections.
func TestTransportRejectsMalformedHeads(t *testing.T) {
	for name, head := range malformedHeads {
		for _, kept := range []bool{false, true} {
			responses := []string{head + "body", sound}
			if kept {
				responses = []string{sound, head + "body", sound}
			}
			url, received := startServer(t, responses...)
			transport := newTestTransport()
			if kept {
				if body, err := get(t, transport, url); body != soundGot || err != nil {
					t.Fatalf("%s: before it: %q, %v", name, body, err)
				}
			}
			body, err := get(t, transport, url)
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("%s, kept connection: %v: body %q, error %v", name, kept, body, err)
			}
			if n := received.Load(); int(n) != len(responses)-1 {
				t.Errorf("%s, kept connection: %v: sent %d times in all", name, kept, n)
			}
			transport.CloseIdleConnections()
		}
	}
}

func TestTransportKeepsConnections(t *testing.T) {
	url, _ := startServer(t, sound, "HTTP/1.1 100 Continue\r\n\r\n"+sound, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n", sound)
	transport := newTestTransport()
	dials := 0
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return dial(ctx, network, address)
	}
	for range 4 {
		if body, err := get(t, transport, url); body != soundGot || err != nil {
			t.Errorf("body %q, error %v", body, err)
		}
	}
	if dials != 1 {
		t.Errorf("%d connections for 4 requests", dials)
	}
}

// TestTransportOverTLS guards against heads that are checked in their encrypted form, or not.
func TestTransportOverTLS(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == http.StatusOK {
			_, _ = io.WriteString(w, soundGot)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, malformedHeads["status 000"])
			_ = conn.Close()
		}
	}))
	defer server.Close()
	base := &http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig}
	transport := NewTransport(base)
	if body, err := get(t, transport, server.URL); body != soundGot || err != nil {
		t.Errorf("body %q, error %v", body, err)
	}
	status = 0
	var malformed *MalformedError
	if _, err := get(t, transport, server.URL); !errors.As(err, &malformed) {
		t.Errorf("error %v", err)
	}
	transport.CloseIdleConnections()
	base.TLSClientConfig = nil
	if _, err := get(t, transport, server.URL); err == nil {
		t.Error("a certificate of an unknown authority was accepted")
	}
}

// Package boundedhttp bounds what HTTP clients read of a response.
package boundedhttp

import (
	"fmt"
	"io"
	"net/http"
)

// MaxHeadBytes is the value of http.Transport.MaxResponseHeaderBytes for this system's
// clients. The default of net/http is 10 MiB for each connection.
const MaxHeadBytes = 64 << 10

// TooLargeError means that the body of a response exceeds the bound of the client.
type TooLargeError struct {
	// Host is the host and port that sent the response, Limit the bound in bytes.
	Host  string
	Limit int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body of the response from %s exceeds %d bytes; check what listens there", e.Host, e.Limit)
}

// Transport is a RoundTripper whose response bodies end with a TooLargeError after
// Limit bytes.
type Transport struct {
	Base  http.RoundTripper
	Limit int64
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: t.Limit, exceeded: &TooLargeError{Host: request.URL.Host, Limit: t.Limit}}
	return response, nil
}

// boundedBody is a body of which a bounded number of bytes is read.
type boundedBody struct {
	io.ReadCloser
	left     int64
	exceeded error
}

// Read implements io.Reader. At the bound it reads one byte more, to tell a body of
// that length from a longer one.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, b.exceeded
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if b.left -= int64(n); b.left < 0 {
		return n - 1, b.exceeded
	}
	return n, err
}

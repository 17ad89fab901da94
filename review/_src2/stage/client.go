package stage

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Status  int
	Header  http.Header
	Body    string
	Err     error
	Elapsed time.Duration
}

// Send sends one request on a new connection and reads its whole answer.
func Send(address, host, method, path string, header map[string]string, body []byte, limit time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err, Elapsed: time.Since(began)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err, Elapsed: time.Since(began)}
}

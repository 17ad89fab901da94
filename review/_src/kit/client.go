package kit

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client received for one attempt.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if there was no complete response.
	Err error
}

// Attempt is one attempt of a client.
type Attempt struct {
	ID, Method, Target, Body string
	// Deadline is how long the client waits.
	Deadline time.Duration
	// Header holds further headers.
	Header map[string]string
}

// Send sends an attempt to a daemon on a new connection.
func (e *Edge) Send(a Attempt) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+e.Callers, strings.NewReader(a.Body))
	if err != nil {
		return Answer{Err: err}
	}
	// The target goes out as it is.
	path, query, _ := strings.Cut(a.Target, "?")
	request.URL.Path, request.URL.RawPath, request.URL.RawQuery = path, path, query
	request.Host = HostName
	request.Header.Set(Wire.RequestID, a.ID)
	request.Header.Set(Wire.Key, APIKey)
	request.Header.Set(Wire.Deadline, milliseconds(a.Deadline))
	for name, value := range a.Header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

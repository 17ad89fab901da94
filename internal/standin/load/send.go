package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Range of the latency histograms in microseconds, and their precision in
// significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// completion is the body of a completion request.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// errorResponse is the body of an error response of the callers' API.
type errorResponse struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// sender sends requests and records their outcomes and latencies.
type sender struct {
	options Options
	client  *http.Client

	mu        sync.Mutex
	outcomes  map[string]int
	firstByte *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
}

func newSender(options Options) *sender {
	return &sender{
		options:   options,
		client:    &http.Client{Transport: newTransport(), Timeout: options.Timeout},
		outcomes:  make(map[string]int),
		firstByte: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		total:     hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
	}
}

// send sends one request, reads the response to its end and counts the outcome.
func (s *sender) send(ctx context.Context, c call) {
	request, err := s.request(ctx, c)
	if err != nil {
		s.count("bad_request_in_load_tool")
		return
	}
	started := time.Now()
	response, err := s.client.Do(request)
	if err != nil {
		s.count("transport_error")
		return
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		s.count(errorCode(response))
		return
	}
	first, complete := readResponse(response.Body, c.stream && !c.service)
	if !complete {
		s.count("cut")
		return
	}
	s.count("ok")
	s.record(first.Sub(started), time.Since(started))
}

func (s *sender) request(ctx context.Context, c call) (*http.Request, error) {
	path := "/v1/completions"
	number := strconv.FormatUint(c.number, 16)
	body := any(completion{Model: c.model, Prompt: "piece " + number, MaxTokens: s.options.MaxTokens, Stream: c.stream})
	if c.service {
		path = s.options.Service
		body = struct {
			Request string `json:"request"`
		}{number}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.target+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	if c.service {
		request.Header.Set("Idempotency-Key", number)
	}
	return request, nil
}

// readResponse reads a response body and returns the time at which its first byte
// was read and whether the body is complete.
func readResponse(body io.Reader, stream bool) (first time.Time, complete bool) {
	reader := bufio.NewReader(body)
	_, err := reader.Peek(1)
	first = time.Now()
	if err != nil {
		return first, false
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		return first, false
	}
	return first, !stream || strings.Contains(string(data), engineapi.DoneMarker)
}

func errorCode(response *http.Response) string {
	var body errorResponse
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return "status_" + strconv.Itoa(response.StatusCode)
	}
	return body.Error.Code
}

func (s *sender) count(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
}

func (s *sender) record(first, total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.firstByte.RecordValue(first.Microseconds())
	_ = s.total.RecordValue(total.Microseconds())
}

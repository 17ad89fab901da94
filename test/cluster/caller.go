package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
)

// callTimeout is the time limit for one caller request, including its body.
const callTimeout = 30 * time.Second

// idleTimeout is the time after which a caller closes an idle connection.
const idleTimeout = 30 * time.Second

// Caller is an API client that sends requests to hosts over its own connection
// pool. Key is sent as the bearer token unless it is empty.
type Caller struct {
	Key    string
	client *http.Client
}

// NewCaller returns a caller that authenticates with the key, or sends no key if
// it is empty.
func NewCaller(key string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: idleTimeout}
	return &Caller{Key: key, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Response is a response as the caller received it.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if the connection failed or the body ended early.
	Err error
	// Error is the API error in the body. It is empty for a success.
	Error ErrorBody
}

// ErrorBody is the error object of the callers' API. Run says whether the
// request ran: "not run", "ran" or "unknown".
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

// OK reports whether the response arrived completely with status 200.
func (r *Response) OK() bool { return r.Err == nil && r.Status == http.StatusOK }

// NotRun reports whether the response is an error that states that the request
// was not run.
func (r *Response) NotRun() bool { return r.Err == nil && r.Error.Run == "not run" }

// CompletionRequest is the body of a completion request.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// Generation returns what the stand-in engines generate for the request. Tests
// compare the response with it.
func (r CompletionRequest) Generation() engineserver.Generation {
	generation := engineserver.Generation{Model: Model, Version: Version, Prompt: r.Prompt, Tokens: r.MaxTokens}
	if r.Model != Model {
		generation.Adapter = r.Model
	}
	return generation
}

// Complete sends a completion request to a host.
func (c *Caller) Complete(h *Host, request CompletionRequest) *Response {
	body, err := json.Marshal(request)
	if err != nil {
		return &Response{Err: err}
	}
	return c.Send(context.Background(), h, http.MethodPost, "/v1/completions", string(body), nil)
}

// RequestCertificate sends a non-repeatable call to the plain service through a
// host. The request text goes into the body, where Cluster.Runs finds it.
func (c *Caller) RequestCertificate(h *Host, idempotencyKey, request string) *Response {
	header := http.Header{"Idempotency-Key": {idempotencyKey}}
	return c.Send(context.Background(), h, http.MethodPost, Certificates, `{"request":"`+request+`"}`, header)
}

// Send sends a request to a host and reads the whole response body.
func (c *Caller) Send(ctx context.Context, h *Host, method, path, body string, header http.Header) *Response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.Addresses.Callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return &Response{Err: err}
	}
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody, net/http does not retry the request on another connection.
	req.GetBody = nil
	if c.Key != "" && req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return &Response{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
	var envelope struct {
		Error ErrorBody `json:"error"`
	}
	if json.Unmarshal(data, &envelope) == nil {
		response.Error = envelope.Error
	}
	return response
}

// chunk holds the fields that tests read from a completion or from one event of
// a streamed completion.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Text returns the generated text of a completion, streamed or not.
func (r *Response) Text() string {
	if !strings.Contains(r.Header.Get("Content-Type"), "event-stream") {
		return chunkText(r.Body)
	}
	var text strings.Builder
	for line := range strings.Lines(r.Body) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			text.WriteString(chunkText(data))
		}
	}
	return text.String()
}

func chunkText(data string) string {
	var decoded chunk
	if json.Unmarshal([]byte(data), &decoded) != nil || len(decoded.Choices) == 0 {
		return ""
	}
	return decoded.Choices[0].Text
}

// IsComplete reports whether the response is the complete and correct response
// to the request: the whole expected text and, for a stream, the end marker.
func (r *Response) IsComplete(request CompletionRequest) bool {
	ended := !request.Stream || strings.HasSuffix(strings.TrimSpace(r.Body), "data: [DONE]")
	return r.OK() && ended && r.Text() == request.Generation().Text()
}

// ExpectServes waits until a host serves a completion, and fails the test after
// 30 s.
func (c *Caller) ExpectServes(h *Host) {
	ginkgo.GinkgoHelper()
	request := CompletionRequest{Model: Model, Prompt: "ready?", MaxTokens: 1}
	gomega.Eventually(func() string {
		response := c.Complete(h, request)
		if response.IsComplete(request) {
			return "served"
		}
		return response.Body
	}, "30s", "50ms").Should(gomega.Equal("served"))
}

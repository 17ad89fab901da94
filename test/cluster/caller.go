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

// callTimeout is the limit of a caller's request.
const callTimeout = 30 * time.Second

// idleTimeout closes a caller's idle connections.
const idleTimeout = 30 * time.Second

// Caller sends callers' requests to hosts over connections of its own.
type Caller struct {
	Key    string
	client *http.Client
}

// NewCaller returns a caller with a key, which may be empty.
func NewCaller(key string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: idleTimeout}
	return &Caller{Key: key, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Response is a caller's view of an answer.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Err is set where the connection failed or the body ended early.
	Err error
	// Error is the API's error, which is empty for a success.
	Error ErrorBody
}

// ErrorBody is the error of the callers' API.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

// OK reports whether the answer is a success.
func (a *Response) OK() bool { return a.Err == nil && a.Status == http.StatusOK }

// NotRun reports whether the answer is a refusal that says "not run".
func (a *Response) NotRun() bool { return a.Err == nil && a.Error.Run == "not run" }

// CompletionRequest is the body of a completion request.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// Generation is what the engines generate for the request.
func (r CompletionRequest) Generation() engineserver.Generation {
	generation := engineserver.Generation{Model: Model, Version: Version, Prompt: r.Prompt, Tokens: r.MaxTokens}
	if r.Model != Model {
		generation.Adapter = r.Model
	}
	return generation
}

// Complete asks a host for a completion.
func (c *Caller) Complete(h *Host, request CompletionRequest) *Response {
	body, err := json.Marshal(request)
	if err != nil {
		return &Response{Err: err}
	}
	return c.Send(context.Background(), h, http.MethodPost, "/v1/completions", string(body), nil)
}

// RequestCertificate asks a host for a call that may not be repeated. The request text is
// what the services count their runs by.
func (c *Caller) RequestCertificate(h *Host, idempotencyKey, request string) *Response {
	header := http.Header{"Idempotency-Key": {idempotencyKey}}
	return c.Send(context.Background(), h, http.MethodPost, Certificates, `{"request":"`+request+`"}`, header)
}

// Send sends any request and reads the whole answer.
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
	// Without GetBody, net/http does not send the request a second time.
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
	answer := &Response{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
	var refusal struct {
		Error ErrorBody `json:"error"`
	}
	if json.Unmarshal(data, &refusal) == nil {
		answer.Error = refusal.Error
	}
	return answer
}

// chunk is the part of a completion, or of an event of one, that tests read.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Text returns the text of a completion, plain or streamed.
func (a *Response) Text() string {
	if !strings.Contains(a.Header.Get("Content-Type"), "event-stream") {
		return chunkText(a.Body)
	}
	var text strings.Builder
	for line := range strings.Lines(a.Body) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			text.WriteString(chunkText(data))
		}
	}
	return text.String()
}

func chunkText(data string) string {
	var one chunk
	if json.Unmarshal([]byte(data), &one) != nil || len(one.Choices) == 0 {
		return ""
	}
	return one.Choices[0].Text
}

// IsComplete reports whether the answer is the whole answer to the request: its
// text, and the end marker of a stream.
func (a *Response) IsComplete(request CompletionRequest) bool {
	ended := !request.Stream || strings.HasSuffix(strings.TrimSpace(a.Body), "data: [DONE]")
	return a.OK() && ended && a.Text() == request.Generation().Text()
}

// ExpectServes waits until a host answers a completion.
func (c *Caller) ExpectServes(h *Host) {
	ginkgo.GinkgoHelper()
	request := CompletionRequest{Model: Model, Prompt: "ready?", MaxTokens: 1}
	gomega.Eventually(func() string {
		answer := c.Complete(h, request)
		if answer.IsComplete(request) {
			return "served"
		}
		return answer.Body
	}, "30s", "50ms").Should(gomega.Equal("served"))
}

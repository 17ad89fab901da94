package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// sink receives the events of a response and writes them to the caller.
type sink interface {
	// writeEvent handles the data of the next event.
	writeEvent(data []byte) error
	// started reports whether any part of the response was sent to the caller.
	started() bool
	// reset discards all events. It must not be called once started
	// reports true.
	reset()
	// finish ends a complete response.
	finish() error
	// abort ends a response that can't be completed with an error.
	abort(failure *Error) error
}

// streamSink forwards events to the caller as they arrive.
type streamSink struct {
	request       *request
	headerWritten bool
	control       *http.ResponseController
	buffer        []byte
}

func newStreamSink(gen *generation) *streamSink {
	return &streamSink{request: gen.request, control: http.NewResponseController(gen.request.echo.Response())}
}

func (s *streamSink) writeEvent(data []byte) error {
	if !s.headerWritten {
		s.headerWritten = true
		header := s.request.echo.Response().Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		s.request.echo.Response().WriteHeader(http.StatusOK)
	}
	return s.writeSSE(data)
}

// writeSSE writes and flushes one SSE event.
func (s *streamSink) writeSSE(data []byte) error {
	s.buffer = append(s.buffer[:0], "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	// The error is ignored: only response writers of tests don't support
	// deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.request.gateway.config.WriteTimeout))
	if _, err := s.request.echo.Response().Write(s.buffer); err != nil {
		return &finalError{errors.Wrap(err, "write to the caller")}
	}
	if err := s.control.Flush(); err != nil {
		return &finalError{errors.Wrap(err, "write to the caller")}
	}
	return nil
}

func (s *streamSink) started() bool { return s.headerWritten }

func (s *streamSink) reset() {}

func (s *streamSink) finish() error {
	if err := s.writeEvent([]byte(engineapi.DoneMarker)); err != nil {
		return s.abort(errAnswerCut())
	}
	return nil
}

// abort sends the error as the last event of the stream and closes the
// connection, so that the caller does not mistake the response for a complete
// one.
func (s *streamSink) abort(failure *Error) error {
	r := s.request
	id := r.recordDecision(apiv1.DecisionKind_DECISION_KIND_STOP, string(failure.Code), r.lastEndpoint, r.refusalInputs(failure))
	r.gateway.metrics.refused(failure)
	r.logEnd("cut", failure)
	if data, err := json.Marshal(r.errorBody(failure, id)); err == nil {
		_ = s.writeSSE(data) // the caller may have disconnected
	}
	abortConnection()
	return nil
}

// bufferedSink assembles the events into one JSON response.
type bufferedSink struct {
	request      *request
	chat         bool
	model        string
	promptTokens int64
	text         strings.Builder
	firstChunk   engineChunk
	finishReason string
	usage        *tokenUsage
	eventCount   int64
}

// tokenUsage is the usage object of the OpenAI API.
type tokenUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// engineChunk is the data of one event of an engine's response stream.
type engineChunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
}

// responseMessage is the message of a non-streamed chat response.
type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// responseChoice is the single choice of a non-streamed response.
type responseChoice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

// completionResponse is a non-streamed response in the format of the OpenAI
// API.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   tokenUsage       `json:"usage"`
}

func newBufferedSink(gen *generation) *bufferedSink {
	return &bufferedSink{request: gen.request, chat: gen.completion.chat, model: gen.completion.model, promptTokens: gen.completion.promptTokens()}
}

func (s *bufferedSink) writeEvent(data []byte) error {
	var chunk engineChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Wrap(err, "decode engine event")
	}
	if s.eventCount == 0 {
		s.firstChunk = chunk
	}
	s.eventCount++
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		s.text.WriteString(choice.Text)
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			s.finishReason = choice.FinishReason
		}
	}
	return nil
}

func (s *bufferedSink) started() bool { return false }

func (s *bufferedSink) reset() {
	s.text.Reset()
	s.firstChunk, s.finishReason, s.usage, s.eventCount = engineChunk{}, "", nil, 0
}

func (s *bufferedSink) finish() error {
	text := s.text.String()
	choice := responseChoice{FinishReason: s.finishReason}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	usage := tokenUsage{PromptTokens: s.promptTokens, CompletionTokens: s.eventCount, TotalTokens: s.promptTokens + s.eventCount}
	if s.usage != nil {
		usage = *s.usage
	}
	return s.request.echo.JSON(http.StatusOK, completionResponse{
		ID: s.firstChunk.ID, Object: object, Created: s.firstChunk.Created, Model: s.model,
		Choices: []responseChoice{choice}, Usage: usage,
	})
}

func (s *bufferedSink) abort(failure *Error) error { return failure }

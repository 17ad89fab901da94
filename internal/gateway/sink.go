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

// sink takes the events of an answer on their way to the caller.
type sink interface {
	// event takes the next event's data.
	event(data []byte) error
	// started reports whether anything reached the caller.
	started() bool
	// reset forgets all events; nothing must have reached the caller.
	reset()
	// finish ends a whole answer.
	finish() error
	// abort ends an answer that has started and can't be made whole.
	abort(failure *Error) error
}

// streamSink passes events on as they come.
type streamSink struct {
	request *request
	begun   bool
	control *http.ResponseController
	buffer  []byte
}

func newStreamSink(gen *generation) *streamSink {
	return &streamSink{request: gen.request, control: http.NewResponseController(gen.request.echo.Response())}
}

func (s *streamSink) event(data []byte) error {
	if !s.begun {
		s.begun = true
		header := s.request.echo.Response().Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		s.request.echo.Response().WriteHeader(http.StatusOK)
	}
	return s.write(data)
}

func (s *streamSink) write(data []byte) error {
	s.buffer = append(s.buffer[:0], "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	// A writer without deadlines is a test's; the server's has them.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.request.gateway.config.WriteTimeout))
	if _, err := s.request.echo.Response().Write(s.buffer); err != nil {
		return &finalError{errors.Wrap(err, "write to the caller")}
	}
	if err := s.control.Flush(); err != nil {
		return &finalError{errors.Wrap(err, "write to the caller")}
	}
	return nil
}

func (s *streamSink) started() bool { return s.begun }

func (s *streamSink) reset() {}

func (s *streamSink) finish() error {
	if err := s.event([]byte(engineapi.DoneMarker)); err != nil {
		return s.abort(errAnswerCut())
	}
	return nil
}

// abort sends the error as the stream's last event and closes the
// connection, so that no caller takes the answer for a whole one.
func (s *streamSink) abort(failure *Error) error {
	r := s.request
	id := r.record(apiv1.DecisionKind_DECISION_KIND_STOP, string(failure.Code), r.lastEndpoint, r.refusalInputs(failure))
	r.gateway.metrics.refused(failure)
	r.log("cut", failure)
	if data, err := json.Marshal(r.errorBody(failure, id)); err == nil {
		_ = s.write(data) // the caller may be gone
	}
	abortConnection()
	return nil
}

// plainSink puts the events together to one JSON answer.
type plainSink struct {
	request      *request
	chat         bool
	model        string
	prompt       int64
	text         strings.Builder
	first        engineChunk
	finishReason string
	usage        *tokenUsage
	count        int64
}

// tokenUsage is the OpenAI account of an answer's tokens.
type tokenUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// engineChunk is the data of one event of an engine.
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

// answerMessage is the message of a plain chat answer.
type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answerChoice is the one choice of a plain answer.
type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

// plainAnswer is a plain answer in the OpenAI form.
type plainAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   tokenUsage     `json:"usage"`
}

func newPlainSink(gen *generation) *plainSink {
	return &plainSink{request: gen.request, chat: gen.asked.chat, model: gen.asked.model, prompt: gen.asked.promptTokens()}
}

func (s *plainSink) event(data []byte) error {
	var chunk engineChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Wrap(err, "engine event")
	}
	if s.count == 0 {
		s.first = chunk
	}
	s.count++
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

func (s *plainSink) started() bool { return false }

func (s *plainSink) reset() {
	s.text.Reset()
	s.first, s.finishReason, s.usage, s.count = engineChunk{}, "", nil, 0
}

func (s *plainSink) finish() error {
	text := s.text.String()
	choice := answerChoice{FinishReason: s.finishReason}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	usage := tokenUsage{PromptTokens: s.prompt, CompletionTokens: s.count, TotalTokens: s.prompt + s.count}
	if s.usage != nil {
		usage = *s.usage
	}
	return s.request.echo.JSON(http.StatusOK, plainAnswer{
		ID: s.first.ID, Object: object, Created: s.first.Created, Model: s.model,
		Choices: []answerChoice{choice}, Usage: usage,
	})
}

func (s *plainSink) abort(failure *Error) error { return failure }

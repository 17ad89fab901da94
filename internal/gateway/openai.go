package gateway

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"

	"github.com/cockroachdb/errors"
)

// bytesPerToken is the assumed average number of bytes per token, for
// estimating the tokens of a prompt.
const bytesPerToken = 4

// defaultModelMaxTokens is the token limit of a model that configures none.
const defaultModelMaxTokens = 4096

// options are the sampling parameters that are passed to the engine unchanged.
type options struct {
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	ResponseFormat   json.RawMessage `json:"response_format,omitempty"`
	Tools            json.RawMessage `json:"tools,omitempty"`
	ToolChoice       json.RawMessage `json:"tool_choice,omitempty"`
}

// message is one message of a chat.
type message struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content"`
	Name       string          `json:"name,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// completionRequest is the body of a caller's request. Fields not listed here
// are ignored.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *float64        `json:"max_tokens"`
	MaxCompletionTokens *float64        `json:"max_completion_tokens"`
	N                   *float64        `json:"n"`
	Stream              bool            `json:"stream"`
	options
}

// engineRequest is the body of a request to an engine. The response is always
// streamed, so that stalls are detected and a truncated response is recognised.
type engineRequest struct {
	// Model is the name of the adapter, if any, otherwise of the base model.
	Model     string    `json:"model"`
	Base      string    `json:"base_model"`
	Version   string    `json:"version"`
	Adapter   string    `json:"adapter,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	Prompt    *string   `json:"prompt,omitempty"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	options
}

// completion is a validated completion request.
type completion struct {
	chat      bool
	stream    bool
	model     string
	messages  []message
	prompt    string
	maxTokens int64
	options   options
}

// parseCompletion parses and validates the body of a completion request. The
// model's token limit is checked later, by limit.
func parseCompletion(body []byte, chat bool) (*completion, *Error) {
	var req completionRequest
	if err := decodeOne(body, &req); err != nil {
		return nil, errBodyInvalid(err)
	}
	c := &completion{chat: chat, stream: req.Stream, model: req.Model, messages: req.Messages, options: req.options}
	if c.model == "" {
		return nil, errParameterInvalid("model", "model is missing: name a model or an adapter")
	}
	if err := c.setPrompt(&req); err != nil {
		return nil, err
	}
	if err := c.setMaxTokens(&req); err != nil {
		return nil, err
	}
	if req.N != nil && *req.N != 1 {
		return nil, errParameterInvalid("n", "n must be 1: send a request for each answer")
	}
	if !c.stream && len(c.options.Tools) > 0 {
		return nil, errParameterInvalid("tools", "tools need stream: true")
	}
	return c, nil
}

// decodeOne decodes a body that must consist of exactly one JSON value.
func decodeOne(body []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(out); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("something follows the JSON value")
	}
	return nil
}

func (c *completion) setPrompt(req *completionRequest) *Error {
	if c.chat {
		return c.setMessages(req.Messages)
	}
	c.messages = nil
	if json.Unmarshal(req.Prompt, &c.prompt) == nil && string(req.Prompt) != "null" {
		return nil
	}
	var list []string
	if json.Unmarshal(req.Prompt, &list) == nil && len(list) == 1 {
		c.prompt = list[0]
		return nil
	}
	return errParameterInvalid("prompt", "prompt must be one string: send a request for each prompt")
}

func (c *completion) setMessages(messages []message) *Error {
	if len(messages) == 0 {
		return errParameterInvalid("messages", "messages is missing: send at least one")
	}
	contents := make([]string, len(messages))
	for i := range messages {
		if messages[i].Role == "" {
			return errParameterInvalid("messages", "messages[%d].role is missing: name the role", i)
		}
		content, ok := contentText(messages[i].Content)
		if !ok {
			return errParameterInvalid("messages", "messages[%d].content must be a string or a list of text parts", i)
		}
		contents[i] = content
	}
	c.prompt = strings.Join(contents, "\n")
	return nil
}

// contentText returns the text of a message's content, which is a string, a
// list of text parts, or null if the message has only tool calls. It returns
// false for any other content.
func contentText(content json.RawMessage) (string, bool) {
	if len(content) == 0 || string(content) == "null" {
		return "", true
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(content, &parts) != nil {
		return "", false
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", false
		}
		text += part.Text
	}
	return text, true
}

func (c *completion) setMaxTokens(req *completionRequest) *Error {
	param, value := "max_tokens", req.MaxTokens
	if value == nil {
		param, value = "max_completion_tokens", req.MaxCompletionTokens
	}
	if value == nil {
		return nil // limit sets the default
	}
	if *value != math.Trunc(*value) || *value < 1 || *value > math.MaxInt32 {
		return errParameterInvalid(param, "%s must be a whole number from 1 to the model's limit", param)
	}
	c.maxTokens = int64(*value)
	return nil
}

// promptTokens returns the estimated number of tokens of the prompt, including
// tools and tool calls.
func (c *completion) promptTokens() int64 {
	size := len(c.prompt)
	for i := range c.messages {
		size += len(c.messages[i].ToolCalls)
	}
	size += len(c.options.Tools)
	return int64(size+bytesPerToken-1) / bytesPerToken
}

// limit sets maxTokens if the caller set none and checks that prompt and
// response fit within the model's token limit.
func (c *completion) limit(modelMax, defaultMaxTokens int64) *Error {
	if modelMax <= 0 {
		modelMax = defaultModelMaxTokens
	}
	room := modelMax - c.promptTokens()
	if room < 1 {
		return errParameterInvalid("prompt", "the prompt of about %d tokens leaves no room in the model's limit of %d: shorten it", c.promptTokens(), modelMax)
	}
	if c.maxTokens == 0 {
		c.maxTokens = min(defaultMaxTokens, room)
	}
	if c.maxTokens > room {
		return errParameterInvalid("max_tokens", "max_tokens is over the %d that the model's limit leaves after the prompt: ask for fewer", room)
	}
	return nil
}

// tokens returns the number of tokens that the request may use at most.
func (c *completion) tokens() int64 { return c.promptTokens() + c.maxTokens }

// engineBody returns the body of the request to an engine. It is built from the
// validated fields; nothing else of the caller's body is forwarded.
func (c *completion) engineBody(t target) ([]byte, error) {
	req := engineRequest{
		Model:     t.name(),
		Base:      t.model.GetName(),
		Version:   t.model.GetServingVersion(),
		Adapter:   t.adapter.GetName(),
		MaxTokens: c.maxTokens,
		Stream:    true,
		options:   c.options,
	}
	if c.chat {
		req.Messages = c.messages
	} else {
		req.Prompt = &c.prompt
	}
	body, err := json.Marshal(req)
	return body, errors.Wrap(err, "encode the engine's request")
}

func (c *completion) path() string {
	if c.chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

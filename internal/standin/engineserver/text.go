package engineserver

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// bytesPerToken is the length of a prompt token, in bytes.
	bytesPerToken = 4
	// defaultMaxTokens is the number of generated tokens for a request without
	// max_tokens.
	defaultMaxTokens = 16
	// wordBase is the number base of the generated words.
	wordBase = 36
)

// Generation holds everything that determines the generated text.
type Generation struct {
	Model   string
	Version string
	Adapter string
	Prompt  string
	// Tokens is the number of generated tokens.
	Tokens int
}

// Token returns the text of the token at an index, a hash of the index and all
// fields but Tokens.
func (g Generation) Token(index int) string {
	digest := xxhash.New()
	for _, part := range []string{g.Model, g.Version, g.Adapter, g.Prompt, strconv.Itoa(index)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	return strconv.FormatUint(digest.Sum64(), wordBase) + " "
}

// Text returns the complete generated text.
func (g Generation) Text() string {
	var text strings.Builder
	for i := range g.Tokens {
		text.WriteString(g.Token(i))
	}
	return text.String()
}

// ID returns the response identifier, which does not depend on Tokens and is the
// same for equal generations.
func (g Generation) ID() string {
	return "cmpl-" + strings.TrimSpace(g.Token(-1))
}

// PromptTokens returns the number of tokens in the prompt.
func (g Generation) PromptTokens() int {
	return (len(g.Prompt) + bytesPerToken - 1) / bytesPerToken
}

func (g Generation) usage() *usage {
	prompt := g.PromptTokens()
	return &usage{PromptTokens: prompt, CompletionTokens: g.Tokens, TotalTokens: prompt + g.Tokens}
}

// request holds the fields of an OpenAI request that the stand-in supports.
type request struct {
	Model string `json:"model"`
	// Version selects one of the model's versions. Empty selects the one that
	// became ready last.
	Version   string          `json:"version"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (r *request) tokens() int {
	if r.MaxTokens == nil {
		return defaultMaxTokens
	}
	return *r.MaxTokens
}

// prompt returns the prompt, or the messages' contents joined by newlines.
func (r *request) prompt() string {
	if r.Messages == nil {
		return plainText(r.Prompt)
	}
	contents := make([]string, len(r.Messages))
	for i, message := range r.Messages {
		contents[i] = plainText(message.Content)
	}
	return strings.Join(contents, "\n")
}

// plainText returns the value of a JSON string, and other JSON unchanged.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

func parseRequest(body []byte) (*request, error) {
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrap(err, "send a JSON object")
	}
	if req.tokens() < 1 {
		return nil, errors.New("send max_tokens of at least 1")
	}
	return &req, nil
}

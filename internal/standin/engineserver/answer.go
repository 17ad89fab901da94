package engineserver

// usage, choice and answer are the OpenAI answer types.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

type errorAnswer struct {
	Error errorDetail `json:"error"`
}

// finishLength is the finish reason of every answer.
const finishLength = "length"

func (r *run) envelope(object string, choices ...choice) *answer {
	name := r.generation.Model
	if r.generation.Adapter != "" {
		name = r.generation.Adapter
	}
	return &answer{ID: r.generation.ID(), Object: object, Model: name, Choices: choices}
}

// plain returns the whole answer.
func (r *run) plain() *answer {
	reason, text := finishLength, r.generation.Text()
	one := choice{FinishReason: &reason}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		one.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	whole := r.envelope(object, one)
	whole.Usage = r.generation.usage()
	return whole
}

// chunk returns the event at an offset: a token, or after the last token the
// usage.
func (r *run) chunk(offset int) *answer {
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
	}
	text := ""
	if offset < r.generation.Tokens {
		text = r.generation.Token(offset)
	}
	one := choice{Text: &text}
	if r.chat {
		one = choice{Delta: &chatMessage{Content: text}}
	}
	if offset < r.generation.Tokens {
		return r.envelope(object, one)
	}
	reason := finishLength
	one.FinishReason = &reason
	last := r.envelope(object, one)
	last.Usage = r.generation.usage()
	return last
}

package engineserver

// usage is the token usage in a response. The types of this file follow the
// OpenAI response schema.
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

type completionResponse struct {
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

type errorResponse struct {
	Error errorDetail `json:"error"`
}

// finishLength is the finish reason of every response: each generation has
// exactly the requested number of tokens.
const finishLength = "length"

func (r *run) newResponse(object string, choices ...choice) *completionResponse {
	name := r.generation.Model
	if r.generation.Adapter != "" {
		name = r.generation.Adapter
	}
	return &completionResponse{ID: r.generation.ID(), Object: object, Model: name, Choices: choices}
}

// fullResponse returns the response to a request without streaming.
func (r *run) fullResponse() *completionResponse {
	reason, text := finishLength, r.generation.Text()
	result := choice{FinishReason: &reason}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		result.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		result.Text = &text
	}
	response := r.newResponse(object, result)
	response.Usage = r.generation.usage()
	return response
}

// chunk returns the data of the streamed event at an offset: one token or, after
// the last token, the usage.
func (r *run) chunk(offset int) *completionResponse {
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
	}
	text := ""
	if offset < r.generation.Tokens {
		text = r.generation.Token(offset)
	}
	result := choice{Text: &text}
	if r.chat {
		result = choice{Delta: &chatMessage{Content: text}}
	}
	if offset < r.generation.Tokens {
		return r.newResponse(object, result)
	}
	reason := finishLength
	result.FinishReason = &reason
	last := r.newResponse(object, result)
	last.Usage = r.generation.usage()
	return last
}

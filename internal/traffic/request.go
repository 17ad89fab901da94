package traffic

import "time"

// Part is one piece of a prompt, which requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a caller declares of a request.
type Request struct {
	// ID is that of this attempt of the caller.
	ID   string
	Host string
	Path string
	Key  string
	// Arrived is when the whole request had been read.
	Arrived time.Time
	// Deadline is when the caller gives up. Zero means that it didn't say.
	Deadline time.Time
	// Model is what an engine must hold. Empty for plain services.
	Model string
	// Adapter is held on top of the model, unless empty.
	Adapter string
	// PromptTokens and AnswerTokens are the declared cost; Declared tells
	// whether there is one.
	PromptTokens, AnswerTokens int
	Declared                   bool
	// Parts are the pieces of the prompt in order. The last one is the
	// request's or its session's own.
	Parts []Part
	// ResumeAfter is the last event that the caller has of a cut stream.
	ResumeAfter string
}

// Tokens returns what the request counts towards a rate.
func (r *Request) Tokens(plain float64) float64 {
	if !r.Declared {
		return plain
	}
	return float64(r.PromptTokens + r.AnswerTokens)
}

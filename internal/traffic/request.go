package traffic

import "time"

// PromptSegment is a segment of a prompt. An engine can reuse the cached tokens of
// a segment that several requests share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Request is the metadata that a caller declares for a request.
type Request struct {
	// ID identifies this attempt of the caller.
	ID   string
	Host string
	Path string
	Key  string
	// Deadline is when the caller stops waiting. Zero means that the caller
	// declared none.
	Deadline time.Time
	// Model is the model that must be loaded. It is empty for services that run
	// no models.
	Model string
	// Adapter is the adapter that must be loaded in addition to the model.
	// Empty means none.
	Adapter string
	// PromptTokens and OutputTokens are the declared cost. Declared reports
	// whether the caller declared one.
	PromptTokens, OutputTokens int
	Declared                   bool
	// PromptSegments are the segments of the prompt in order. The last one is
	// specific to the request or its session; the others may be shared.
	PromptSegments []PromptSegment
	// ResumeAfter is the identifier of the last event that the caller received
	// of a stream that broke off.
	ResumeAfter string
	// Resumes is the identifier of the caller's attempt that brought the first event
	// of that stream.
	Resumes string
}

// Tokens returns the tokens to charge to the organisation's rate limit: the
// declared cost, or defaultTokens if the caller declared none.
func (r *Request) Tokens(defaultTokens float64) float64 {
	if !r.Declared {
		return defaultTokens
	}
	return float64(r.PromptTokens + r.OutputTokens)
}

// SharedSegments returns the prompt segments that other requests may share: all but
// the last.
func (r *Request) SharedSegments() []PromptSegment {
	return r.PromptSegments[:max(0, len(r.PromptSegments)-1)]
}

// Package engineapi defines the wire types of the HTTP protocol of the model
// engines: orders, reports and cache events. Completions have the format of the
// OpenAI API.
//
// An engine serves:
//
//	POST /v1/completions, /v1/chat/completions   generation, as JSON or SSE
//	POST /engine/cancel                          CancelRequest
//	GET  /engine/report                          Report
//	POST /engine/orders                          Order; returns OrderResult
//	GET  /engine/events?after=SEQ                CacheEvents
package engineapi

// HeaderAttempt carries the attempt identifier. The response must echo it in the
// same header and in the "id" field of each SSE event, so that a response to
// another attempt is detected. The id field has the form ATTEMPT/OFFSET, where
// OFFSET is the index of the event in the response, starting at 0.
const HeaderAttempt = "X-Attempt-Id"

// HeaderPriority carries the priority of a generation to an engine, which is
// "interactive" or "batch".
const HeaderPriority = "X-Priority"

// HeaderResume requests that an engine resume a broken stream. Its value is
// ATTEMPT/OFFSET; the response starts with the event at OFFSET of the same
// generation. An engine that can't resume the stream responds with status 409.
const HeaderResume = "X-Resume"

// DoneMarker is the data of a stream's final SSE event.
const DoneMarker = "[DONE]"

// Action is the kind of change that an order requests.
type Action string

// The actions of an order.
const (
	ActionLoadModel     Action = "load-model"
	ActionUnloadModel   Action = "unload-model"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionSetRole       Action = "set-role"
)

// Order is a command to an engine to load or unload a model or adapter, or to
// change its role.
type Order struct {
	ID string `json:"id"`
	// FencingToken protects against delayed orders. Some engines reject a token
	// lower than the highest they have seen, others ignore it.
	FencingToken int64 `json:"fence"`
	// Incarnation is the engine process that the order is for. Some engines
	// reject an order for another incarnation, others ignore it.
	Incarnation string `json:"incarnation"`
	Action      Action `json:"action"`
	Model       string `json:"model"`
	Version     string `json:"version,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	// Weights is the name of the weights in the weight store.
	Weights string `json:"weights,omitempty"`
	// Bytes is the memory size of the model or adapter.
	Bytes int64  `json:"bytes"`
	Role  string `json:"role,omitempty"`
}

// OrderResult is an engine's immediate response to an order. An accepted load is
// complete only when a report lists it in Settled.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// SettledOrder is an order that has ended, in success or in failure.
type SettledOrder struct {
	ID        string `json:"id"`
	Succeeded bool   `json:"done"`
	Reason    string `json:"reason,omitempty"`
}

// ItemState is the state of a model or adapter in an engine's memory.
type ItemState string

// The states of a model or adapter in an engine's memory.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
)

// HeldModel is a model version in an engine's memory.
type HeldModel struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	State   ItemState `json:"state"`
	Bytes   int64     `json:"bytes"`
}

// HeldAdapter is an adapter in an engine's memory.
type HeldAdapter struct {
	Adapter string    `json:"adapter"`
	Model   string    `json:"model"`
	State   ItemState `json:"state"`
	Bytes   int64     `json:"bytes"`
}

// Report is a snapshot of an engine's state, which may be stale.
type Report struct {
	// Incarnation identifies the engine process. It changes at each start.
	Incarnation string `json:"incarnation"`
	// Sequence increases with each report of an incarnation.
	Sequence int64 `json:"sequence"`
	// AgeMillis is the age of the snapshot in milliseconds according to the
	// engine.
	AgeMillis int64 `json:"ageMillis"`
	// Draining is set if the engine accepts no new work.
	Draining        bool          `json:"leaving"`
	MemoryBytes     int64         `json:"memoryBytes"`
	UsedBytes       int64         `json:"usedBytes"`
	Models          []HeldModel   `json:"models"`
	Adapters        []HeldAdapter `json:"adapters"`
	Running         int           `json:"running"`
	Queued          int           `json:"queued"`
	TokensPerSecond float64       `json:"tokensPerSecond"`
	// Settled lists the orders that have ended recently.
	Settled []SettledOrder `json:"settled"`
	Role    string         `json:"role,omitempty"`
}

// CacheEvent reports that a prompt prefix was added to or removed from an
// engine's cache. A gap in the sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Model    string `json:"model"`
	// PrefixHash is the xxhash64 of the first PrefixBytes bytes of the prompt.
	PrefixHash uint64 `json:"prefixHash"`
	Removed    bool   `json:"removed"`
}

// PrefixBytes is the length in bytes of the prompt prefix whose hash cache
// events contain.
const PrefixBytes = 256

// CacheEvents is a batch of cache events of one incarnation of an engine.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CancelRequest is a request to an engine to stop the generation of an attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

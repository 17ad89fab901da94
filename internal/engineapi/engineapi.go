// Package engineapi holds the wire types of the model engines' HTTP protocol:
// orders, reports and cache events. Completions follow the OpenAI form.
//
// An engine serves:
//
//	POST /v1/completions, /v1/chat/completions   generation, plain or SSE
//	POST /engine/cancel                          Cancel
//	GET  /engine/report                          Report
//	POST /engine/orders                          Order, answered by OrderResult
//	GET  /engine/events?after=SEQ                CacheEvents
package engineapi

// HeaderAttempt carries the attempt identifier to an endpoint, and back: the
// answer's header and each SSE event's "id" line must repeat it. An SSE id
// line has the form ATTEMPT/OFFSET, where OFFSET counts the events of the
// answer from 0.
const HeaderAttempt = "X-Attempt-Id"

// HeaderPriority carries "interactive" or "batch" to an engine.
const HeaderPriority = "X-Priority"

// HeaderResume carries ATTEMPT/OFFSET of a cut stream to an engine that
// resumes: the answer starts with the event at OFFSET of the same generation.
// An engine that cannot resume answers 409.
const HeaderResume = "X-Resume"

// DoneMarker is the data of a stream's final SSE event.
const DoneMarker = "[DONE]"

// Action names what an order does.
type Action string

// The actions of an order.
const (
	ActionLoadModel     Action = "load-model"
	ActionUnloadModel   Action = "unload-model"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionSetRole       Action = "set-role"
)

// Order asks an engine to change what it holds.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number; some engines refuse one lower than the
	// highest they have seen, others ignore it.
	Fence int64 `json:"fence"`
	// Incarnation is the process the order is meant for; some engines refuse
	// another, others ignore it.
	Incarnation string `json:"incarnation"`
	Action      Action `json:"action"`
	Model       string `json:"model"`
	Version     string `json:"version,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	// Weights names the weights in the weight store.
	Weights string `json:"weights,omitempty"`
	Bytes   int64  `json:"bytes"`
	Role    string `json:"role,omitempty"`
}

// OrderResult is an engine's immediate answer to an order. An accepted load
// is settled only when a report names it.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// SettledOrder is an order whose effect is complete, for good or ill.
type SettledOrder struct {
	ID     string `json:"id"`
	Done   bool   `json:"done"`
	Reason string `json:"reason,omitempty"`
}

// ItemState is the state of a model or adapter on an engine.
type ItemState string

// The states of a model or adapter on an engine.
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

// Report is an engine's state some time ago.
type Report struct {
	// Incarnation is new at each start of the engine.
	Incarnation string `json:"incarnation"`
	// Sequence grows with each report of an incarnation.
	Sequence int64 `json:"sequence"`
	// AgeMillis is how long ago the state was taken, as the engine says.
	AgeMillis       int64          `json:"ageMillis"`
	Leaving         bool           `json:"leaving"`
	MemoryBytes     int64          `json:"memoryBytes"`
	UsedBytes       int64          `json:"usedBytes"`
	Models          []HeldModel    `json:"models"`
	Adapters        []HeldAdapter  `json:"adapters"`
	Running         int            `json:"running"`
	Queued          int            `json:"queued"`
	TokensPerSecond float64        `json:"tokensPerSecond"`
	Settled         []SettledOrder `json:"settled"`
	Role            string         `json:"role,omitempty"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
// A gap in the sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Model    string `json:"model"`
	// PrefixHash is the xxhash64 of the first PrefixBytes bytes of the prompt.
	PrefixHash uint64 `json:"prefixHash"`
	Removed    bool   `json:"removed"`
}

// PrefixBytes is the length of the prompt prefix that cache events hash.
const PrefixBytes = 256

// CacheEvents is a batch of cache events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Cancel asks an engine to stop an attempt.
type Cancel struct {
	Attempt string `json:"attempt"`
}

package control

import (
	"net/http"
	"sync"
)

// Outcome is the state or the result of a request that a stand-in received.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeRunning means that the request is still running.
	OutcomeRunning Outcome = "running"
	// OutcomeFinished means that the complete response was sent.
	OutcomeFinished Outcome = "finished"
	// OutcomeCut means that a fault switch closed the connection before the
	// response was complete.
	OutcomeCut Outcome = "cut"
	// OutcomeSilent means that a fault switch withheld the rest of the response
	// and kept the connection open.
	OutcomeSilent Outcome = "silent"
	// OutcomeCancelled means that the caller cancelled the request or
	// disconnected.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeRefused means that the request was not run.
	OutcomeRefused Outcome = "refused"
)

// Entry is the journal record of one request that a stand-in received. Attempt
// is the X-Attempt-Id header of the request.
type Entry struct {
	Attempt string      `json:"attempt"`
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Query   string      `json:"query,omitempty"`
	Host    string      `json:"host"`
	Header  http.Header `json:"header"`
	Body    string      `json:"body,omitempty"`
	Model   string      `json:"model,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
	Request string      `json:"request,omitempty"`
	Outcome Outcome     `json:"outcome"`
	// Events is the number of response events that were sent.
	Events int `json:"events,omitempty"`
	// UnixMillis is the time at which the request was received.
	UnixMillis int64 `json:"unixMillis"`
}

// Ran reports whether the request was run.
func (e *Entry) Ran() bool { return e.Outcome != OutcomeRefused }

// Journal records the requests that a stand-in received. The zero value is an
// empty journal. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []*Entry
}

// Add appends an entry and returns its index, to be passed to Set.
func (j *Journal) Add(entry Entry) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, &entry)
	return len(j.entries) - 1
}

// Set calls change on the entry at the index.
func (j *Journal) Set(index int, change func(*Entry)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(j.entries[index])
}

// Entries returns a copy of all entries, oldest first.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	entries := make([]Entry, len(j.entries))
	for i, entry := range j.entries {
		entries[i] = *entry
	}
	return entries
}

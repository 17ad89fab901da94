package control

import (
	"net/http"
	"sync"
)

// Outcome tells how a run ended.
type Outcome string

// The outcomes of a run.
const (
	// OutcomeRunning is that of a run that has not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeFinished means that the whole answer was sent.
	OutcomeFinished Outcome = "finished"
	// OutcomeCut means that a fault switch cut the answer.
	OutcomeCut Outcome = "cut"
	// OutcomeSilent means that a fault switch withheld the rest of the answer.
	OutcomeSilent Outcome = "silent"
	// OutcomeCancelled means that the caller cancelled or disconnected.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeRefused means that the request did not run.
	OutcomeRefused Outcome = "refused"
)

// Entry is one request as an endpoint received it.
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
	// Events is the number of answer events that were sent.
	Events int `json:"events,omitempty"`
	// UnixMillis is when the request was received.
	UnixMillis int64 `json:"unixMillis"`
}

// Ran reports whether the request had an effect.
func (e *Entry) Ran() bool { return e.Outcome != OutcomeRefused }

// Journal records the requests that an endpoint received. The zero value is
// an empty journal.
type Journal struct {
	mu      sync.Mutex
	entries []*Entry
}

// Add records a request and returns the number by which Set changes it.
func (j *Journal) Add(entry Entry) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, &entry)
	return len(j.entries) - 1
}

// Set changes the entry with the number given.
func (j *Journal) Set(number int, change func(*Entry)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(j.entries[number])
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

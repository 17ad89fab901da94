// Package fleet tracks the endpoints that serve routed requests: their entries in
// the store, the requests of this host and its peers that run there, and the
// outcomes. It chooses the endpoint for each attempt and does no I/O.
package fleet

import "time"

// Endpoint is an endpoint's description of itself, as published in the store.
type Endpoint struct {
	// ID identifies the endpoint. Most restarts give it a new one.
	ID string
	// Started is when the endpoint started. It distinguishes incarnations with
	// the same ID. Zero means unknown.
	Started time.Time
	Service string
	// Address is IP:PORT. Another endpoint may reuse it later.
	Address string
	// Zone is the endpoint's availability zone.
	Zone string
	// Software is the version of the software that the endpoint runs. It is never empty
	// for a listed endpoint.
	Software string
	// Slots is the number of requests that run concurrently.
	Slots int
	// Leaving is set while the endpoint drains. It gets no new requests then.
	Leaving bool
	// Models are the models held, each with its loaded adapters.
	Models map[string]Adapters
	// Copies are the models of whose weights the endpoint keeps a copy, from
	// which they load fast, whether they are loaded now or not.
	Copies map[string]bool
	// ColdRemaining is how much longer the endpoint stayed cold when it wrote the entry;
	// zero if it was warm.
	ColdRemaining time.Duration
	// EntryVersion is the store's version of the entry. It rises with each write.
	EntryVersion int64
	// Sequence is a count that rises with each heartbeat of the incarnation; zero if the
	// entry has none. The store may keep an entry of which nothing else changes, so that an
	// equal sequence says nothing.
	Sequence int64
}

// Adapters is a set of adapter names.
type Adapters map[string]bool

// sameIncarnation reports whether two descriptions are of the same incarnation of
// an endpoint.
func (e *Endpoint) sameIncarnation(other *Endpoint) bool {
	return e.ID == other.ID && e.Started.Equal(other.Started) && e.Address == other.Address
}

// StartedMillis returns when the endpoint started, in Unix milliseconds; zero if that
// is unknown.
func (e *Endpoint) StartedMillis() int64 {
	if e.Started.IsZero() {
		return 0
	}
	return e.Started.UnixMilli()
}

// Holds reports whether the endpoint holds a model and its adapter. Either name
// may be empty, for no requirement.
func (e *Endpoint) Holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	adapters, ok := e.Models[model]
	return ok && (adapter == "" || adapters[adapter])
}

// Load is the load that an endpoint reports with a response: its running and
// waiting requests and the number that it can run concurrently.
type Load struct {
	Running, Waiting, Slots int
	// ProcessingTimePercent is the current processing time on the endpoint's machine, in
	// percent of the normal one: 100 is normal, 250 is 2.5 times slower. It changes many
	// times a second. Zero means that the endpoint doesn't report it.
	ProcessingTimePercent float64
}

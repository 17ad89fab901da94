// Package fleet knows the endpoints behind routed requests: what they say of
// themselves, what runs there for this host, and how they answer. It decides
// which one gets a request and does no I/O.
package fleet

import "time"

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	// ID is new with most starts of an endpoint.
	ID string
	// Started is when the endpoint started; it tells apart two starts under
	// one ID. Zero where it is not told.
	Started time.Time
	Service string
	// Address is IP:PORT. It may be used again by another endpoint.
	Address string
	Zone    string
	// Slots is how many requests run at once.
	Slots int
	// Leaving endpoints get no new work.
	Leaving bool
	// Models are the models held, each with its adapters.
	Models map[string]Adapters
	// Copies are the models whose weights the endpoint keeps beside, from
	// where they load fast.
	Copies map[string]bool
}

// Adapters is a set of adapter names.
type Adapters map[string]bool

// sameStart reports whether two descriptions are of one start of an endpoint.
func (e *Endpoint) sameStart(other *Endpoint) bool {
	return e.ID == other.ID && e.Started.Equal(other.Started) && e.Address == other.Address
}

// Holds reports whether the endpoint holds a model and adapter; empty names
// ask for nothing.
func (e *Endpoint) Holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	adapters, ok := e.Models[model]
	return ok && (adapter == "" || adapters[adapter])
}

// Load is what an endpoint says of its load with an answer.
type Load struct {
	Running, Waiting, Slots int
}

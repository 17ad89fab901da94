package orders

import (
	"slices"
	"time"

	"bilberryslip.example/bilberryslip/internal/traffic"
)

// scheduleEngine has room for two models of 10 MB, or one and two of 5 MB.
var scheduleEngine = &traffic.Engine{MemoryMB: 25, AdapterSlots: 2, Models: []traffic.Model{
	{Name: "m", MemoryMB: 10, AdapterMB: 1},
	{Name: "n", MemoryMB: 10, AdapterMB: 1},
	{Name: "o", MemoryMB: 10, AdapterMB: 1},
	{Name: "p", MemoryMB: 5, AdapterMB: 1},
	{Name: "q", MemoryMB: 5, AdapterMB: 1},
}}

// simEngine carries out orders by the conditions that the platform's description names.
type simEngine struct {
	up       bool
	started  time.Time
	sequence int64
	held     contents
	// loading is the model that is loaded, and unloading the one that is dropped once its
	// requests have ended, until changeEnds.
	loading, unloading string
	changeEnds         time.Time
	// past are the states that a report may show.
	past []simState
	// overloaded is set once an order needs more than the engine has.
	overloaded bool
}

type simState struct {
	at    time.Time
	state State
}

func (e *simEngine) start(now time.Time, held contents) {
	*e = simEngine{up: true, started: now, held: held, overloaded: e.overloaded}
	e.remember(now)
}

func (e *simEngine) remember(now time.Time) {
	state := State{Started: e.started, AcceptedOrders: e.sequence, Busy: e.busy(), Models: cloneModels(e.held)}
	e.past = append(e.past, simState{now, state})
}

func (e *simEngine) busy() bool { return e.loading != "" || e.unloading != "" }

// finish ends a change of the models whose time is over.
func (e *simEngine) finish(now time.Time) {
	if !e.up || !e.busy() || now.Before(e.changeEnds) {
		return
	}
	if e.loading != "" {
		e.held.add(e.loading, "")
	}
	delete(e.held, e.unloading)
	e.loading, e.unloading = "", ""
	e.remember(now)
}

func (e *simEngine) report(now time.Time, lag time.Duration) State {
	for _, p := range slices.Backward(e.past) {
		if !p.at.After(now.Add(-lag)) {
			return p.state
		}
	}
	return e.past[0].state
}

func (e *simEngine) apply(now time.Time, o Order, duration time.Duration) Result {
	adapters, held := e.held[o.Model]
	switch {
	case o.Adapter != "" && !held:
		return Refused
	case o.Adapter != "":
		held = adapters[o.Adapter]
	}
	switch {
	case held == (o.Action == Load):
		return AlreadyApplied
	case o.ExpectedOrders != e.sequence || o.Adapter == "" && e.busy():
		return Conflict
	}
	e.sequence++
	switch {
	case o.Action == Load && o.Adapter == "":
		e.loading, e.changeEnds = o.Model, now.Add(duration)
	case o.Action == Load:
		e.held.add(o.Model, o.Adapter)
	case o.Adapter == "":
		e.unloading, e.changeEnds = o.Model, now.Add(duration)
	default:
		delete(adapters, o.Adapter)
	}
	after := contents(cloneModels(e.held))
	if e.loading != "" {
		after.add(e.loading, "")
	}
	e.overloaded = e.overloaded || !after.fit(scheduleEngine)
	e.remember(now)
	return Accepted
}

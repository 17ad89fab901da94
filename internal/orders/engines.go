// Package orders decides which engine holds which models and adapters, and
// orders them to. One host at a time does so, the holder of the placement
// lease; the others ask it.
package orders

import (
	"context"
	"maps"
	"time"

	"bilberryslip.example/bilberryslip/internal/fleet"
)

// Action is what an order asks for.
type Action int

// The actions.
const (
	Load Action = iota
	Unload
)

// String names the action in logs.
func (a Action) String() string {
	if a == Unload {
		return "unload"
	}
	return "load"
}

// Order is one order to an engine.
type Order struct {
	Action Action
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
	// After is the number of orders that the engine must have accepted; it
	// refuses the order otherwise, also when that is carried out late.
	After int64
	// Holder and Token tell engines who gives the order.
	Holder string
	Token  int64
}

// Result is an engine's answer to an order.
type Result int

// The answers.
const (
	// Accepted orders are being carried out.
	Accepted Result = iota
	// Holds means that there is nothing to do.
	Holds
	// Conflict means that another order is under way or that the count of
	// accepted orders differs.
	Conflict
	// Refused orders will not be carried out.
	Refused
)

// State is what an engine reports of itself, some hundred milliseconds old.
type State struct {
	// Orders counts the accepted orders since the engine's start.
	Orders int64
	// Busy means that an order for a model is under way.
	Busy   bool
	Models map[string]fleet.Adapters
	// Pending are adapters on their way, by model.
	Pending map[string]fleet.Adapters
}

// Engines sends orders and asks for reports.
type Engines interface {
	// Order returns an error where the answer is unknown; the order may then
	// still be carried out.
	Order(ctx context.Context, e fleet.Endpoint, order Order) (Result, error)
	Report(ctx context.Context, e fleet.Endpoint) (State, error)
}

// view is what the holder knows of one engine: what it holds after a number
// of accepted orders.
type view struct {
	endpoint fleet.Endpoint
	orders   int64
	models   map[string]fleet.Adapters
	// busy is set while a model is loaded or unloaded there.
	busy bool
	// unsure is set while an order's fate is unknown; the view is read anew
	// before the next one.
	unsure bool
	// used tells when an adapter was last asked for there.
	used map[adapterKey]time.Time
}

type adapterKey struct{ model, adapter string }

func newView(e fleet.Endpoint) *view {
	v := &view{used: make(map[adapterKey]time.Time)}
	v.reset(e)
	return v
}

// reset takes over the engine's own description, which doesn't tell how many
// orders it accepted.
func (v *view) reset(e fleet.Endpoint) {
	v.endpoint, v.orders, v.models, v.unsure = e, 0, cloneModels(e.Models), true
}

// update takes over a description. What the engine holds is better known from
// its report and the orders since, unless it started again.
func (v *view) update(e fleet.Endpoint) {
	if !e.Started.Equal(v.endpoint.Started) || e.Address != v.endpoint.Address {
		v.reset(e)
		return
	}
	v.endpoint = e
}

// report takes over what the engine reports.
func (v *view) report(s State) {
	v.orders, v.models, v.unsure = s.Orders, cloneModels(s.Models), false
	for model, adapters := range s.Pending {
		if v.models[model] == nil {
			v.models[model] = fleet.Adapters{}
		}
		maps.Copy(v.models[model], adapters)
	}
}

// adapters returns how many adapters the engine holds.
func (v *view) adapters() int {
	count := 0
	for _, adapters := range v.models {
		count += len(adapters)
	}
	return count
}

func cloneModels(models map[string]fleet.Adapters) map[string]fleet.Adapters {
	clone := make(map[string]fleet.Adapters, len(models))
	for name, adapters := range models {
		clone[name] = maps.Clone(adapters)
		if clone[name] == nil {
			clone[name] = fleet.Adapters{}
		}
	}
	return clone
}

// Package orders decides which engines hold which models and adapters and sends
// them orders to load and unload. Only the host that holds the placement lease
// does so; the other hosts send it placement requests.
package orders

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/fleet"
)

// Action is the operation that an order requests.
type Action int

// The actions.
const (
	Load Action = iota
	Unload
)

// String returns the action as written in logs and in orders to engines.
func (a Action) String() string {
	if a == Unload {
		return "unload"
	}
	return "load"
}

// Order instructs an engine to load or unload a model or an adapter.
type Order struct {
	Action Action
	Model  string
	// Adapter is empty if the order is for the model itself.
	Adapter string
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before this one. It rejects the order otherwise, so that an order delayed
	// on the way can't take effect after a later one.
	ExpectedOrders int64
	// Holder is the host that holds the placement lease.
	Holder string
	// FencingToken is the version of the lease, which grows with each renewal and
	// each change of holder.
	FencingToken int64
}

// Result is an engine's response to an order.
type Result int

// The responses to an order.
const (
	// Accepted means that the engine carries out the order.
	Accepted Result = iota
	// AlreadyApplied means that the engine was already in the requested state.
	AlreadyApplied
	// Conflict means that another order is in progress or that the count of
	// accepted orders differs from the expected one.
	Conflict
	// Refused means that the engine will not carry out the order.
	Refused
)

// State is an engine's report of its models and adapters. It is a few hundred
// milliseconds old.
type State struct {
	// Started is when the engine started; zero if the report doesn't say it.
	Started time.Time
	// AcceptedOrders counts the orders that the engine has accepted since it
	// started.
	AcceptedOrders int64
	// Busy is set while the engine carries out an order for a model.
	Busy bool
	// Models are the models held, each with its loaded adapters.
	Models map[string]fleet.Adapters
	// Pending are the adapters being loaded, by model.
	Pending map[string]fleet.Adapters
}

// BackoffError reports an engine that rejected an order or a request for its report
// without acting on it, and asked this host to send no request for a time.
type BackoffError struct {
	Endpoint string
	Wait     time.Duration
}

// Error implements error.
func (e *BackoffError) Error() string {
	return fmt.Sprintf("engine %s asked this host to send no request for %v; the planning cycles skip it until then", e.Endpoint, e.Wait)
}

// ErrNotSent marks the error of an order of which no byte was sent.
var ErrNotSent = errors.New("the order was not sent")

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends an order. It returns an error if the outcome is unknown; the
	// engine may still carry out the order then, unless the error is ErrNotSent or a
	// BackoffError.
	Order(ctx context.Context, e fleet.Endpoint, order Order) (Result, error)
	// Report returns the current report of an engine.
	Report(ctx context.Context, e fleet.Endpoint) (State, error)
}

// view is the lease holder's view of one engine: its models and adapters after
// a number of accepted orders.
//
// The service's mutex guards all fields but id.
type view struct {
	// id identifies the engine.
	id string
	// endpoint is the engine's current entry.
	endpoint fleet.Endpoint
	// started is when the engine's present start began, by its entry or a newer report,
	// and starts counts the starts that the view has seen.
	started time.Time
	starts  int
	// orders counts the orders that the engine has accepted since it started.
	orders int64
	models map[string]fleet.Adapters
	// incoming is a model that the engine is certainly loading, by its response or its
	// report, until a report shows that the load has ended; empty for none.
	incoming string
	// sent are the orders to load that the engine may still carry out.
	sent *sentLoads
	// busy is set while this host carries out a change of the models there.
	busy bool
	// stale is set while the view may differ from the engine, such as after an
	// order with unknown outcome. The engine's report is read before the next
	// order.
	stale bool
	// reportedBusy is set if the engine last reported that it carries out an order for a
	// model. It gets no order until a report shows the end.
	reportedBusy bool
	// silentSince is when the first of the last requests for a report was sent that
	// all had no response; zero if the last one had. avoidUntil is until when no change
	// of the models is planned, since an order had no response.
	silentSince, avoidUntil time.Time
	// refreshedAt is when the last refresh of a stale view was started.
	refreshedAt time.Time
	// lastUsed is when an adapter was last requested there.
	lastUsed map[adapterKey]time.Time
}

type adapterKey struct{ model, adapter string }

func newView(e fleet.Endpoint, sent *sentLoads) *view {
	v := &view{id: e.ID, sent: sent, lastUsed: make(map[adapterKey]time.Time)}
	v.reset(e)
	return v
}

// reset replaces the view by the engine's entry in the store. The entry doesn't
// hold the count of accepted orders, so the view is stale.
func (v *view) reset(e fleet.Endpoint) {
	v.endpoint = e
	v.restart(e.Started, e.Models)
}

// restart replaces the view by that of a start of the engine of which no report was read.
func (v *view) restart(started time.Time, models map[string]fleet.Adapters) {
	v.started, v.orders, v.models, v.incoming = started, 0, cloneModels(models), ""
	v.stale, v.reportedBusy = true, false
	v.starts++
}

// update sets the engine's entry. It keeps the models of the view, which come
// from a report and the orders since and so are newer than the entry, unless
// the engine has restarted.
func (v *view) update(e fleet.Endpoint) {
	known := e.Started.Equal(v.endpoint.Started) || e.Started.Equal(v.started)
	if !known || e.Address != v.endpoint.Address {
		v.reset(e)
		return
	}
	v.endpoint = e
}

// applyReport replaces the view's models and order count by those of a report, unless
// the report is older than the view. Adapters being loaded are included, since they take
// up slots and memory. allKnown is set if the engine can't carry out orders of an earlier
// holder, or of an earlier process of this host, any more.
//
// The view of a busy engine is stale, whoever gave the order under way: what the engine holds
// once it has ended is certain only by a later report.
func (v *view) applyReport(s State, allKnown bool) {
	if !s.Started.IsZero() && !s.Started.Equal(v.started) {
		v.restart(s.Started, nil)
	}
	if s.AcceptedOrders < v.orders {
		return
	}
	switch {
	case !s.Busy:
		v.incoming = ""
	case v.incoming == "" || s.AcceptedOrders > v.orders:
		v.incoming = v.sent.inProgress(s.AcceptedOrders, allKnown)
	}
	v.orders, v.models = s.AcceptedOrders, cloneModels(s.Models)
	for model, adapters := range s.Pending {
		if v.models[model] == nil {
			v.models[model] = fleet.Adapters{}
		}
		maps.Copy(v.models[model], adapters)
	}
	v.sent.confirm(s.AcceptedOrders)
	v.reportedBusy, v.stale = s.Busy, s.Busy
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

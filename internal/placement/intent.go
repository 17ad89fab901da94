// Package placement decides which endpoint holds which model versions and
// adapters, and accounts for each endpoint's memory. It does no I/O and reads no
// clock. Package owner executes its plans.
package placement

import (
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Item identifies a model version or an adapter. The zero value identifies
// neither.
type Item struct {
	// Model is the model's name; for an adapter, that of its base model.
	Model string `json:"model"`
	// Version is empty for an adapter.
	Version string `json:"version,omitempty"`
	// Adapter is empty for a model version.
	Adapter string `json:"adapter,omitempty"`
}

// IsAdapter reports whether the item is an adapter.
func (i Item) IsAdapter() bool { return i.Adapter != "" }

// String returns the item's name for logs: the adapter's name, or model/version.
func (i Item) String() string {
	if i.IsAdapter() {
		return i.Adapter
	}
	return i.Model + "/" + i.Version
}

// Order is a stored load or unload order that may still take effect at an
// endpoint.
type Order struct {
	ID     string           `json:"id"`
	Action engineapi.Action `json:"action"`
	Item   Item             `json:"item"`
	// Weights names the weights in the weight store.
	Weights string `json:"weights,omitempty"`
	// Bytes is the memory of the item.
	Bytes int64 `json:"bytes"`
	// Fence is the order's fencing token.
	Fence int64 `json:"fence"`
	// Incarnation is the incarnation of the endpoint that the order is for.
	Incarnation string `json:"incarnation"`
	// Sender identifies the process that sends the order. It sends it at most
	// once.
	Sender string `json:"sender"`
	// FencedIn is the endpoint incarnation that is known to reject the order
	// because of its fencing token. Another incarnation may still accept it.
	FencedIn string `json:"fencedIn,omitempty"`
	// Ended is set once no further copy of the order will be sent: a report
	// lists it as settled, or its sender's call has returned. The order is then
	// kept for the order lifetime, since a copy may still be in flight.
	Ended bool `json:"ended,omitempty"`
}

// IsLoad reports whether the order loads a model or an adapter.
func (o *Order) IsLoad() bool {
	return o.Action == engineapi.ActionLoadModel || o.Action == engineapi.ActionLoadAdapter
}

// ReportPosition identifies one report of an endpoint.
type ReportPosition struct {
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
}

// Intents is the stored object of one endpoint: the orders that may still take
// effect. It is updated conditionally before an order is sent, so that every
// later owner counts the order's memory. The zero value has no orders.
type Intents struct {
	// Term is the lease term of the owner that last wrote the object, and Owner
	// its identity. An owner with a lower term must not write the object.
	Term  int64  `json:"term"`
	Owner string `json:"owner"`
	// Fence is the highest fencing token used.
	Fence int64 `json:"fence"`
	// FenceSeen is the highest fencing token that the incarnation in LastReport
	// is known to have received.
	FenceSeen int64 `json:"fenceSeen,omitempty"`
	// LastReport is the report that the last write was based on. An older
	// report must not be used together with this object.
	LastReport ReportPosition `json:"seen"`
	// RetiredIncarnations lists earlier incarnations of the endpoint, newest
	// last.
	RetiredIncarnations []string `json:"retired,omitempty"`
	Orders              []Order  `json:"orders,omitempty"`
}

// maxRetiredIncarnations is the number of earlier incarnations that are kept.
const maxRetiredIncarnations = 8

// Clone returns a copy that shares no memory with the original.
func (in *Intents) Clone() Intents {
	out := *in
	out.RetiredIncarnations = slices.Clone(in.RetiredIncarnations)
	out.Orders = slices.Clone(in.Orders)
	return out
}

// Usable reports whether a report may be used together with these intents: it
// must not be older than the one that they were last written from. afterRead
// states whether the report was requested after the intents were read.
func (in *Intents) Usable(report *engineapi.Report, afterRead bool) bool {
	switch {
	case report.Incarnation == "":
		return false
	case report.Incarnation == in.LastReport.Incarnation:
		return report.Sequence >= in.LastReport.Sequence
	case slices.Contains(in.RetiredIncarnations, report.Incarnation):
		return false
	default:
		return afterRead
	}
}

// advance sets LastReport to the report, and retires the previous incarnation if
// the report is of another one.
func (in *Intents) advance(report *engineapi.Report) {
	if in.LastReport.Incarnation != report.Incarnation {
		in.FenceSeen = 0
		if in.LastReport.Incarnation != "" {
			in.RetiredIncarnations = append(in.RetiredIncarnations, in.LastReport.Incarnation)
		}
		if len(in.RetiredIncarnations) > maxRetiredIncarnations {
			in.RetiredIncarnations = in.RetiredIncarnations[1:]
		}
	}
	in.LastReport = ReportPosition{Incarnation: report.Incarnation, Sequence: report.Sequence}
}

// LocalOrderState is what the local process recorded about an order, beyond what
// reports show. The zero value is that of an order without such a record.
type LocalOrderState struct {
	// NeverSent is set if this process is the sender, has not sent the order
	// and will not send it.
	NeverSent bool
	// CallReturned is set if this process's call for the order returned, with
	// any outcome, before the current report was taken.
	CallReturned bool
	// LifetimeExpired is set if the order had been known to have ended for at
	// least the order lifetime when the current report was taken.
	LifetimeExpired bool
}

// Settle returns the intents without the orders that can no longer take effect
// according to a usable report, and reports whether any order changed.
// checksFencing states whether the endpoint rejects orders with an old fencing
// token.
func (in *Intents) Settle(report *engineapi.Report, checksFencing bool, localState func(*Order) LocalOrderState) (Intents, bool) {
	out := in.Clone()
	out.advance(report)
	settled := make(map[string]bool, len(report.Settled))
	for _, order := range report.Settled {
		settled[order.ID] = true
	}
	for _, order := range out.Orders {
		if checksFencing && settled[order.ID] {
			out.FenceSeen = max(out.FenceSeen, order.Fence)
		}
	}
	kept := out.Orders[:0]
	changed := false
	for i := range in.Orders {
		order := in.Orders[i]
		updated, keep := settleOrder(order, report.Incarnation, settled[order.ID], out.FenceSeen, localState(&order))
		if keep {
			kept = append(kept, updated)
		}
		changed = changed || !keep || updated != order
	}
	out.Orders = kept
	return out, changed
}

// settleOrder returns the order updated by a report of the incarnation, and
// reports whether the order must be kept.
func settleOrder(order Order, incarnation string, settled bool, fenceSeen int64, localState LocalOrderState) (Order, bool) {
	if localState.NeverSent {
		return order, false
	}
	if settled || localState.CallReturned {
		order.Ended = true
	}
	if order.Fence < fenceSeen {
		order.FencedIn = incarnation
	}
	return order, !(order.Ended && localState.LifetimeExpired)
}

// mayTakeEffect reports whether the order may still take effect in the
// incarnation.
func (o *Order) mayTakeEffect(incarnation string) bool {
	return o.FencedIn == "" || o.FencedIn != incarnation
}

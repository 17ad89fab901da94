// Package placement decides which endpoint holds which model version and
// adapter, and keeps the account of each endpoint's memory. It is pure: it
// does no I/O and reads no clock. Package owner carries its plans out.
package placement

import (
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Item is a model version or an adapter. The zero value is no item.
type Item struct {
	Model string `json:"model"`
	// Version is empty for an adapter.
	Version string `json:"version,omitempty"`
	// Adapter is empty for a model version.
	Adapter string `json:"adapter,omitempty"`
}

// IsAdapter tells adapters from model versions.
func (i Item) IsAdapter() bool { return i.Adapter != "" }

// String returns the item's name for logs.
func (i Item) String() string {
	if i.IsAdapter() {
		return i.Adapter
	}
	return i.Model + "/" + i.Version
}

// Order is an order that may yet take effect at an endpoint.
type Order struct {
	ID     string           `json:"id"`
	Action engineapi.Action `json:"action"`
	Item   Item             `json:"item"`
	// Weights names the weights in the weight store.
	Weights string `json:"weights,omitempty"`
	Bytes   int64  `json:"bytes"`
	Fence   int64  `json:"fence"`
	// Incarnation is the endpoint's process that the order is meant for.
	Incarnation string `json:"incarnation"`
	// Sender is the process that sends the order, once.
	Sender string `json:"sender"`
	// FencedIn is the endpoint's incarnation that is known to refuse the
	// order by its fence. Another incarnation may still take it.
	FencedIn string `json:"fencedIn,omitempty"`
	// Ended is set once no further copy of the order will be sent: a report
	// named it as settled, or its sender's call is over. The order is then
	// kept for the order lifetime, since a copy may still be under way.
	Ended bool `json:"ended,omitempty"`
}

// IsLoad reports whether the order adds memory.
func (o *Order) IsLoad() bool {
	return o.Action == engineapi.ActionLoadModel || o.Action == engineapi.ActionLoadAdapter
}

// Mark is a point in the reports of an endpoint.
type Mark struct {
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
}

// Intents is the stored object of one endpoint: the orders that may yet take
// effect. It is updated conditionally before an order is sent, so that every
// later owner counts the order's memory. The zero value has no orders.
type Intents struct {
	// Term and Owner are those of the owner that last wrote the object. An
	// owner with a lower term must not write it.
	Term  int64  `json:"term"`
	Owner string `json:"owner"`
	// Fence is the highest fencing number used.
	Fence int64 `json:"fence"`
	// FenceSeen is the highest fencing number that the incarnation in Seen
	// is known to have seen.
	FenceSeen int64 `json:"fenceSeen,omitempty"`
	// Seen is the report that the last write relied upon. An older report
	// must not be used together with this object.
	Seen Mark `json:"seen"`
	// Retired are earlier incarnations of the endpoint, newest last.
	Retired []string `json:"retired,omitempty"`
	Orders  []Order  `json:"orders,omitempty"`
}

// maxRetired is the number of earlier incarnations that are remembered.
const maxRetired = 8

// Clone returns a copy that shares nothing with the original.
func (in *Intents) Clone() Intents {
	out := *in
	out.Retired = slices.Clone(in.Retired)
	out.Orders = slices.Clone(in.Orders)
	return out
}

// Usable reports whether a report may be used together with these intents.
// afterRead tells whether the report was requested after they were read.
func (in *Intents) Usable(report *engineapi.Report, afterRead bool) bool {
	switch {
	case report.Incarnation == "":
		return false
	case report.Incarnation == in.Seen.Incarnation:
		return report.Sequence >= in.Seen.Sequence
	case slices.Contains(in.Retired, report.Incarnation):
		return false
	default:
		return afterRead
	}
}

// advance moves Seen to the report.
func (in *Intents) advance(report *engineapi.Report) {
	if in.Seen.Incarnation != report.Incarnation {
		in.FenceSeen = 0
		if in.Seen.Incarnation != "" {
			in.Retired = append(in.Retired, in.Seen.Incarnation)
		}
		if len(in.Retired) > maxRetired {
			in.Retired = in.Retired[1:]
		}
	}
	in.Seen = Mark{Incarnation: report.Incarnation, Sequence: report.Sequence}
}

// Knowledge is what one process knows of an order beyond reports. The zero
// value knows nothing.
type Knowledge struct {
	// NeverSent means that this process, the sender, has not sent the order
	// and never will.
	NeverSent bool
	// CallOver means that the sender's call ended, whatever its answer,
	// before the report at hand was taken.
	CallOver bool
	// LifetimeOver means that the order was known as ended for longer than
	// the order lifetime when the report at hand was taken.
	LifetimeOver bool
}

// Settle returns the intents without the orders that can no longer take
// effect, given a usable report, and whether anything changed. checksFencing
// tells whether the endpoint refuses an order with an old fencing number.
func (in *Intents) Settle(report *engineapi.Report, checksFencing bool, known func(*Order) Knowledge) (Intents, bool) {
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
		next, keep := settleOrder(order, report.Incarnation, settled[order.ID], out.FenceSeen, known(&order))
		if keep {
			kept = append(kept, next)
		}
		changed = changed || !keep || next != order
	}
	out.Orders = kept
	return out, changed
}

// settleOrder returns the order as it stands after a report of the
// incarnation, and whether it still has to be kept.
func settleOrder(order Order, incarnation string, settled bool, fenceSeen int64, known Knowledge) (Order, bool) {
	if known.NeverSent {
		return order, false
	}
	if settled || known.CallOver {
		order.Ended = true
	}
	if order.Fence < fenceSeen {
		order.FencedIn = incarnation
	}
	return order, !(order.Ended && known.LifetimeOver)
}

// counts reports whether the order may still take effect in the incarnation.
func (o *Order) counts(incarnation string) bool {
	return o.FencedIn == "" || o.FencedIn != incarnation
}

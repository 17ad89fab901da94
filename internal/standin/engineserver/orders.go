package engineserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
)

// maxSettled is the number of most recently settled orders that a report lists.
const maxSettled = 256

// Reasons for orders that fail, besides those in load.go.
const (
	reasonOldFence         = "old fencing number"
	reasonOtherIncarnation = "other incarnation"
	reasonUnknownAction    = "unknown action"
	reasonLoadFailed       = "load failed"
)

// JournaledOrder is an order as it was received, with the engine's response.
type JournaledOrder struct {
	Order  engineapi.Order       `json:"order"`
	Result engineapi.OrderResult `json:"result"`
	// Repeated is set if an order with the same ID was received before. Such an
	// order has no effect and gets the result of the first.
	Repeated   bool  `json:"repeated"`
	UnixMillis int64 `json:"unixMillis"`
}

// orders executes the orders that the engine receives, at most once for each
// order ID.
type orders struct {
	options     Options
	incarnation string
	memory      *memory
	weights     *weightLoader

	mu      sync.Mutex
	fence   int64
	results map[string]engineapi.OrderResult
	settled []engineapi.SettledOrder
	journal []JournaledOrder
	role    string
}

func newOrders(options Options, incarnation string, mem *memory) *orders {
	return &orders{
		options:     options,
		incarnation: incarnation,
		memory:      mem,
		weights:     newWeightLoader(options),
		results:     make(map[string]engineapi.OrderResult),
	}
}

// order handles an order request and injects the faults of its delivery: lost,
// delayed and duplicated orders, and lost responses.
func (s *Server) order(c echo.Context) error {
	var order engineapi.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return err
	}
	faults := s.switches.Get()
	if s.switches.Take(func(f *Faults) *int { return &f.LoseOrders }) {
		control.Abort()
	}
	delay := s.options.OrderDelay
	if s.switches.Take(func(f *Faults) *int { return &f.DelayOrders }) {
		delay += faults.DelayOrdersMillis.Duration()
	}
	results := make(chan engineapi.OrderResult, 1)
	time.AfterFunc(delay, func() { results <- s.orders.receive(order) })
	if s.switches.Take(func(f *Faults) *int { return &f.DuplicateOrders }) {
		time.AfterFunc(delay+faults.DelayOrdersMillis.Duration(), func() { s.orders.receive(order) })
	}
	select {
	case <-c.Request().Context().Done():
		return nil
	case result := <-results:
		if s.switches.Take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
			control.Abort()
		}
		return c.JSON(http.StatusOK, result)
	}
}

// receive journals an order and starts it. An order whose ID was received before
// is not started again and gets the first result.
func (o *orders) receive(order engineapi.Order) engineapi.OrderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	result, repeated := o.results[order.ID]
	if !repeated {
		result = o.start(order)
		o.results[order.ID] = result
	}
	o.journal = append(o.journal, JournaledOrder{Order: order, Result: result, Repeated: repeated, UnixMillis: time.Now().UnixMilli()})
	return result
}

func (o *orders) start(order engineapi.Order) engineapi.OrderResult {
	if reason := o.refusalReason(order); reason != "" {
		o.settle(order, false, reason)
		return engineapi.OrderResult{Reason: reason}
	}
	o.fence = max(o.fence, order.FencingToken)
	started := o.begin(order)
	if started.settled {
		o.settle(order, started.done, started.reason)
		return engineapi.OrderResult{Accepted: started.done, Reason: started.reason}
	}
	go o.finish(order, started)
	return engineapi.OrderResult{Accepted: true}
}

func (o *orders) refusalReason(order engineapi.Order) string {
	if o.options.ChecksFencing && order.FencingToken < o.fence {
		return reasonOldFence
	}
	if o.options.ChecksIncarnation && order.Incarnation != o.incarnation {
		return reasonOtherIncarnation
	}
	return ""
}

func (o *orders) begin(order engineapi.Order) beginResult {
	key := modelKey{order.Model, order.Version}
	switch order.Action {
	case engineapi.ActionLoadModel:
		return o.memory.beginLoadModel(key, order.Bytes, o.options.RefuseOvercommit)
	case engineapi.ActionUnloadModel:
		return o.memory.beginUnloadModel(key)
	case engineapi.ActionLoadAdapter:
		return o.memory.beginLoadAdapter(order.Adapter, order.Model, order.Bytes, o.options.RefuseOvercommit)
	case engineapi.ActionUnloadAdapter:
		return o.memory.beginUnloadAdapter(order.Adapter)
	case engineapi.ActionSetRole:
		o.role = order.Role
		return beginResult{settled: true, done: true}
	default:
		return refusedResult(reasonUnknownAction)
	}
}

// finish executes the load or unload that begin started and settles the order.
func (o *orders) finish(order engineapi.Order, started beginResult) {
	key := modelKey{order.Model, order.Version}
	done, reason := true, ""
	switch order.Action {
	case engineapi.ActionLoadModel:
		done = o.weights.load(context.Background(), order.Weights, order.Bytes, false)
		o.memory.endLoadModel(key, done)
	case engineapi.ActionLoadAdapter:
		done = o.weights.load(context.Background(), order.Weights, order.Bytes, true)
		o.memory.endLoadAdapter(order.Adapter, done)
	case engineapi.ActionUnloadModel:
		o.awaitUnload(started)
		o.memory.endUnloadModel(key)
	case engineapi.ActionUnloadAdapter:
		o.awaitUnload(started)
		o.memory.endUnloadAdapter(order.Adapter)
	}
	if !done {
		reason = reasonLoadFailed
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settle(order, done, reason)
}

func (o *orders) awaitUnload(started beginResult) {
	if started.idle != nil {
		<-started.idle
	}
	time.Sleep(o.options.UnloadTime)
}

// settle records the outcome of an order. o.mu must be held.
func (o *orders) settle(order engineapi.Order, done bool, reason string) {
	o.settled = append(o.settled, engineapi.SettledOrder{ID: order.ID, Succeeded: done, Reason: reason})
	if len(o.settled) > maxSettled {
		o.settled = o.settled[len(o.settled)-maxSettled:]
	}
}

func (o *orders) settledOrders() ([]engineapi.SettledOrder, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engineapi.SettledOrder{}, o.settled...), o.role
}

func (o *orders) journalEntries() []JournaledOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]JournaledOrder{}, o.journal...)
}

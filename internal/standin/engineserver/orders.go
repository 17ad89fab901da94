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

// maxSettled is the number of settled orders that a report shows.
const maxSettled = 256

// Reasons why an order is refused before it is looked at.
const (
	reasonOldFence         = "old fencing number"
	reasonOtherIncarnation = "other incarnation"
	reasonUnknownAction    = "unknown action"
	reasonLoadFailed       = "load failed"
)

// JournaledOrder is an order as it arrived, and the engine's answer to it.
type JournaledOrder struct {
	Order  engineapi.Order       `json:"order"`
	Result engineapi.OrderResult `json:"result"`
	// Repeated marks a second arrival of the same order, which has no effect.
	Repeated   bool  `json:"repeated"`
	UnixMillis int64 `json:"unixMillis"`
}

// orders carries out orders, each identifier once.
type orders struct {
	options     Options
	incarnation string
	memory      *memory
	weights     *weights

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
		weights:     newWeights(options),
		results:     make(map[string]engineapi.OrderResult),
	}
}

// order receives an order and applies the faults of its way here.
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
	answered := make(chan engineapi.OrderResult, 1)
	time.AfterFunc(delay, func() { answered <- s.orders.receive(order) })
	if s.switches.Take(func(f *Faults) *int { return &f.DuplicateOrders }) {
		time.AfterFunc(delay+faults.DelayOrdersMillis.Duration(), func() { s.orders.receive(order) })
	}
	select {
	case <-c.Request().Context().Done():
		return nil
	case result := <-answered:
		if s.switches.Take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
			control.Abort()
		}
		return c.JSON(http.StatusOK, result)
	}
}

// receive looks at an order that has arrived.
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
	if reason := o.refusal(order); reason != "" {
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

func (o *orders) refusal(order engineapi.Order) string {
	if o.options.ChecksFencing && order.FencingToken < o.fence {
		return reasonOldFence
	}
	if o.options.ChecksIncarnation && order.Incarnation != o.incarnation {
		return reasonOtherIncarnation
	}
	return ""
}

func (o *orders) begin(order engineapi.Order) begin {
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
		return begin{settled: true, done: true}
	default:
		return refusedBegin(reasonUnknownAction)
	}
}

// finish carries out what begin started.
func (o *orders) finish(order engineapi.Order, started begin) {
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

func (o *orders) awaitUnload(started begin) {
	if started.idle != nil {
		<-started.idle
	}
	time.Sleep(o.options.UnloadTime)
}

// settle records the end of an order; o.mu is held.
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

func (o *orders) journaled() []JournaledOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]JournaledOrder{}, o.journal...)
}

package owner

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// trackedOrder is what this process recorded about one order, sent by itself or
// by another process.
type trackedOrder struct {
	endpoint string
	// sendStarted is set before the order is passed to the endpoint's client.
	sendStarted bool
	// returnedAt is the time at which this process's call returned; zero before
	// that.
	returnedAt time.Time
	// endedAt is the time at which this process first found that the order had
	// ended.
	endedAt time.Time
}

// localOrderState returns what this process recorded about an order, as of a
// report taken at takenAt. An order of this process that is not tracked was
// committed by a write with an unknown outcome and will never be sent.
func (o *Owner) localOrderState(order *placement.Order, takenAt time.Time) placement.LocalOrderState {
	o.mu.Lock()
	defer o.mu.Unlock()
	tracked := o.trackedOrders[order.ID]
	if tracked == nil {
		return placement.LocalOrderState{NeverSent: order.Sender == o.sender && !order.Ended}
	}
	return placement.LocalOrderState{
		CallReturned:    !tracked.returnedAt.IsZero() && takenAt.After(tracked.returnedAt),
		LifetimeExpired: !tracked.endedAt.IsZero() && takenAt.Sub(tracked.endedAt) >= o.cfg.OrderLifetime,
	}
}

// recordEnded starts the order lifetime of the orders that were not known to have
// ended before.
func (o *Owner) recordEnded(name string, orders []placement.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range orders {
		if !orders[i].Ended {
			continue
		}
		tracked := o.trackedOrders[orders[i].ID]
		if tracked == nil {
			tracked = &trackedOrder{endpoint: name}
			o.trackedOrders[orders[i].ID] = tracked
		}
		if tracked.endedAt.IsZero() {
			tracked.endedAt = o.cfg.Now()
		}
	}
}

// untrackSettled drops the tracked orders that are no longer in the endpoint's
// intents.
func (o *Owner) untrackSettled(cached *cachedIntents) {
	remaining := make(map[string]bool, len(cached.intents.Orders))
	for i := range cached.intents.Orders {
		remaining[cached.intents.Orders[i].ID] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, tracked := range o.trackedOrders {
		running := tracked.sendStarted && tracked.returnedAt.IsZero()
		if tracked.endpoint == cached.name && !remaining[id] && !running {
			delete(o.trackedOrders, id)
		}
	}
}

// send passes a committed order to the endpoint's client, once, in the
// background.
func (o *Owner) send(ctx context.Context, name string, order placement.Order) {
	tracked := &trackedOrder{endpoint: name, sendStarted: true}
	o.mu.Lock()
	o.trackedOrders[order.ID] = tracked
	o.mu.Unlock()
	o.inFlight.Add(1)
	go func() {
		defer o.inFlight.Done()
		o.callEndpoint(ctx, name, order)
		o.mu.Lock()
		defer o.mu.Unlock()
		tracked.returnedAt = o.cfg.Now()
	}()
}

// callEndpoint sends one order and logs and counts its outcome.
func (o *Owner) callEndpoint(ctx context.Context, name string, order placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.OrderTimeout)
	defer cancel()
	result, err := o.cfg.Endpoints.Order(ctx, name, engineapi.Order{
		ID:           order.ID,
		FencingToken: order.Fence,
		Incarnation:  order.Incarnation,
		Action:       order.Action,
		Model:        order.Item.Model,
		Version:      order.Item.Version,
		Adapter:      order.Item.Adapter,
		Weights:      order.Weights,
		Bytes:        order.Bytes,
	})
	outcome := orderOutcome(result, err)
	o.metrics.orders.WithLabelValues(string(order.Action), outcome).Inc()
	if outcome == outcomeAccepted {
		return
	}
	logrus.WithFields(logrus.Fields{
		"endpoint": name, "order": order.ID, "action": string(order.Action), "item": order.Item.String(),
		"outcome": outcome, "reason": result.Reason, "error": err,
	}).Warn("order not accepted")
}

// Outcomes of the call for an order.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
)

func orderOutcome(result engineapi.OrderResult, err error) string {
	switch {
	case err != nil:
		return outcomeUnknown
	case result.Accepted:
		return outcomeAccepted
	default:
		return outcomeRefused
	}
}

// markFinishedOrders marks this process's finished orders as ended in the intent
// objects. Another owner may have claimed the objects by now; without the mark it
// would have to count the orders indefinitely.
func (o *Owner) markFinishedOrders(ctx context.Context) {
	for name, ids := range o.finishedOrders() {
		if err := o.markEnded(ctx, name, ids); err != nil {
			logrus.WithError(err).WithField("endpoint", name).Warn("could not mark finished orders as ended")
			continue
		}
		o.untrack(ids)
	}
}

// finishedOrders returns, by endpoint, the identifiers of the tracked orders whose
// calls have returned.
func (o *Owner) finishedOrders() map[string]map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	byEndpoint := make(map[string]map[string]bool)
	for id, tracked := range o.trackedOrders {
		if !tracked.sendStarted || tracked.returnedAt.IsZero() {
			continue
		}
		if byEndpoint[tracked.endpoint] == nil {
			byEndpoint[tracked.endpoint] = make(map[string]bool)
		}
		byEndpoint[tracked.endpoint][id] = true
	}
	return byEndpoint
}

func (o *Owner) untrack(ids map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range ids {
		delete(o.trackedOrders, id)
	}
}

// ForgetHost marks the orders of a host's processes as ended. It must be called
// only after an operator has confirmed that the host is dead. The orders are no
// longer counted once the order lifetime has passed.
func (o *Owner) ForgetHost(ctx context.Context, host string) error {
	listing, err := o.cfg.Store.List(ctx, objectstore.KindEndpointIntent, "")
	if err != nil {
		return errors.Wrap(err, "list intents")
	}
	for _, obj := range listing.Items {
		err := o.markEndedIn(ctx, obj, func(order *placement.Order) bool { return strings.HasPrefix(order.Sender, host+"/") })
		if err != nil {
			return errors.Wrapf(err, "orders of host %s to %s", host, obj.Name)
		}
	}
	return nil
}

func (o *Owner) markEnded(ctx context.Context, name string, ids map[string]bool) error {
	obj, err := o.cfg.Store.Get(ctx, objectstore.KindEndpointIntent, name)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read intents")
	}
	return o.markEndedIn(ctx, obj, func(order *placement.Order) bool { return ids[order.ID] })
}

// markEndedIn marks the orders for which ended returns true as ended in the stored
// object. The object keeps its owner and term.
func (o *Owner) markEndedIn(ctx context.Context, obj objectstore.Object, ended func(*placement.Order) bool) error {
	var intents placement.Intents
	if err := json.Unmarshal(obj.Value, &intents); err != nil {
		return errors.Wrap(err, "decode intents")
	}
	changed := false
	for i := range intents.Orders {
		order := &intents.Orders[i]
		if !order.Ended && ended(order) {
			order.Ended = true
			changed = true
		}
	}
	if !changed {
		return nil
	}
	raw, err := json.Marshal(&intents)
	if err != nil {
		return errors.Wrap(err, "encode intents")
	}
	_, err = o.cfg.Store.Update(ctx, objectstore.KindEndpointIntent, obj.Name, obj.Version, uuid.NewString(), raw)
	return errors.Wrap(err, "write intents")
}

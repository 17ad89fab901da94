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

// call is what this process knows of one order.
type call struct {
	endpoint string
	// begun is set before the order is handed to the endpoint's client.
	begun bool
	// overAt is when this process's own call returned; zero before that.
	overAt time.Time
	// endedAt is when this process first knew that the order had ended.
	endedAt time.Time
}

// knowledge returns what this process knows of an order, as of a report taken
// at the time given. An order of this process that it has no call of was
// committed by a write with an unknown outcome, and is not sent any more.
func (o *Owner) knowledge(order *placement.Order, takenAt time.Time) placement.Knowledge {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.calls[order.ID]
	if c == nil {
		return placement.Knowledge{NeverSent: order.Sender == o.sender && !order.Ended}
	}
	return placement.Knowledge{
		CallOver:     !c.overAt.IsZero() && takenAt.After(c.overAt),
		LifetimeOver: !c.endedAt.IsZero() && takenAt.Sub(c.endedAt) >= o.cfg.OrderLifetime,
	}
}

// noteEnded starts the order lifetime of orders that are newly known to have
// ended.
func (o *Owner) noteEnded(name string, orders []placement.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range orders {
		if !orders[i].Ended {
			continue
		}
		c := o.calls[orders[i].ID]
		if c == nil {
			c = &call{endpoint: name}
			o.calls[orders[i].ID] = c
		}
		if c.endedAt.IsZero() {
			c.endedAt = o.cfg.Now()
		}
	}
}

// forgetSettled drops what is known of orders that a record no longer has.
func (o *Owner) forgetSettled(r *record) {
	kept := make(map[string]bool, len(r.intents.Orders))
	for i := range r.intents.Orders {
		kept[r.intents.Orders[i].ID] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, c := range o.calls {
		running := c.begun && c.overAt.IsZero()
		if c.endpoint == r.name && !kept[id] && !running {
			delete(o.calls, id)
		}
	}
}

// send hands an order that is committed to the endpoint's client, once.
func (o *Owner) send(ctx context.Context, name string, order placement.Order) {
	c := &call{endpoint: name, begun: true}
	o.mu.Lock()
	o.calls[order.ID] = c
	o.mu.Unlock()
	o.sends.Add(1)
	go func() {
		defer o.sends.Done()
		o.call(ctx, name, order)
		o.mu.Lock()
		defer o.mu.Unlock()
		c.overAt = o.cfg.Now()
	}()
}

func (o *Owner) call(ctx context.Context, name string, order placement.Order) {
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

// The outcomes of an order's call.
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

// reportEnded marks this process's finished orders as ended in objects that
// another owner may hold by now, so that it need not count them for ever.
func (o *Owner) reportEnded(ctx context.Context) {
	for name, ids := range o.unreportedCalls() {
		if err := o.markEnded(ctx, name, ids); err != nil {
			logrus.WithError(err).WithField("endpoint", name).Warn("end of orders not written")
			continue
		}
		o.forgetCalls(ids)
	}
}

// unreportedCalls returns the identifiers of finished orders by endpoint.
func (o *Owner) unreportedCalls() map[string]map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	byEndpoint := make(map[string]map[string]bool)
	for id, c := range o.calls {
		if !c.begun || c.overAt.IsZero() {
			continue
		}
		if byEndpoint[c.endpoint] == nil {
			byEndpoint[c.endpoint] = make(map[string]bool)
		}
		byEndpoint[c.endpoint][id] = true
	}
	return byEndpoint
}

func (o *Owner) forgetCalls(ids map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range ids {
		delete(o.calls, id)
	}
}

// ForgetHost marks the orders of a host's processes as ended, on an operator's
// word that the host is dead. They are no longer counted once the order
// lifetime is over.
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

// markEndedIn leaves the object's owner and term as they are.
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

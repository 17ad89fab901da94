package orders

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

// lateLimit is how long after its sending an order without a response may still be
// carried out. The platform's description says "seconds later" and names 12 s as the
// longest delay of a disruption.
const lateLimit = 20 * time.Second

// contents are models and adapters on an engine, by model.
type contents map[string]fleet.Adapters

// add adds a model, or an adapter of a model that is there. Engines reject orders for
// adapters of other models.
func (c contents) add(model, adapter string) {
	switch {
	case adapter == "" && c[model] == nil:
		c[model] = fleet.Adapters{}
	case adapter != "" && c[model] != nil:
		c[model][adapter] = true
	}
}

// adapters returns the number of adapters of all models.
func (c contents) adapters() int {
	count := 0
	for _, adapters := range c {
		count += len(adapters)
	}
	return count
}

// memoryMB returns the memory that the models and adapters take, or false if a model is
// not configured, so that its size isn't known.
func (c contents) memoryMB(engine *traffic.Engine) (float64, bool) {
	used := 0.0
	for name, adapters := range c {
		m := engine.Model(name)
		if m == nil {
			return 0, false
		}
		used += m.MemoryMB + float64(len(adapters))*m.AdapterMB
	}
	return used, true
}

// fit reports whether an engine has the memory and the adapter slots.
func (c contents) fit(engine *traffic.Engine) bool {
	used, known := c.memoryMB(engine)
	return known && used <= engine.MemoryMB && c.adapters() <= engine.AdapterSlots
}

// sentLoad is an order to load that was sent to an engine.
type sentLoad struct {
	model, adapter string
	// after is the number of accepted orders that the order requires. An order without a
	// response is carried out late if the engine has accepted just as many by then, be it
	// since the start to which the order was sent or since a later one.
	after int64
	// inFlight is set until the call has ended; sentAt is when it did.
	inFlight bool
	sentAt   time.Time
	// accepted is set once the engine has accepted the order. It is kept until a report
	// confirms to which start of the engine that happened.
	accepted bool
	// cold is set if the weights come from the weight store.
	cold bool
}

// sentLoads are the orders to load that an engine may still carry out, or has carried
// out since its last report. They outlast the engine's starts and the views of it.
type sentLoads struct{ list []*sentLoad }

// expire drops the orders that are too old to be carried out.
func (l *sentLoads) expire(now time.Time) {
	l.list = slices.DeleteFunc(l.list, func(s *sentLoad) bool { return !s.inFlight && now.Sub(s.sentAt) > lateLimit })
}

// send records an order that is about to be sent.
func (l *sentLoads) send(o *Order, cold bool) *sentLoad {
	s := &sentLoad{model: o.Model, adapter: o.Adapter, after: o.ExpectedOrders, inFlight: true, cold: cold}
	l.list = append(l.list, s)
	return s
}

// settle drops an order of which it is certain that it can't be carried out any more.
func (l *sentLoads) settle(sent *sentLoad) {
	l.list = slices.DeleteFunc(l.list, func(s *sentLoad) bool { return s == sent })
}

// confirm drops the accepted orders that a report includes.
func (l *sentLoads) confirm(orders int64) {
	l.list = slices.DeleteFunc(l.list, func(s *sentLoad) bool { return s.accepted && s.after < orders })
}

// addTo adds to the contents of an engine what orders may load that require at least as
// many accepted orders as given. Models come first, since adapters need theirs.
func (l *sentLoads) addTo(c contents, after int64) {
	for _, ofModels := range []bool{true, false} {
		for _, s := range l.list {
			if s.after >= after && (s.adapter == "") == ofModels {
				c.add(s.model, s.adapter)
			}
		}
	}
}

// unconfirmed reports whether there are accepted orders that no report has confirmed.
func (l *sentLoads) unconfirmed() bool {
	return slices.ContainsFunc(l.list, func(s *sentLoad) bool { return s.accepted })
}

// inProgress returns the model that an engine is loading which is busy after as many
// accepted orders. It is empty if that isn't certain: the last order may be one without a
// response, of which there are several or others that this host doesn't know of.
func (l *sentLoads) inProgress(orders int64, allKnown bool) string {
	found, several := "", false
	for _, s := range l.list {
		switch {
		case s.adapter != "" || s.after != orders-1:
		case s.accepted:
			return s.model
		default:
			several = several || found != "" && found != s.model
			found = s.model
		}
	}
	if several || !allKnown {
		return ""
	}
	return found
}

// possible returns what the engine may hold by the last report and the orders since.
// Without a newer report, an order without a response may have been carried out; with
// one, only those may that require more accepted orders than the engine has: of those
// that require as many, none is carried out before or after the next order. It includes
// the given models.
func (v *view) possible(models ...string) contents {
	c := contents(cloneModels(v.models))
	for _, model := range append(models, v.incoming) {
		if model != "" {
			c.add(model, "")
		}
	}
	v.sent.addTo(c, v.nextLate())
	return c
}

// nextLate returns the least number of accepted orders that an order without a response
// requires if it may still be carried out.
func (v *view) nextLate() int64 {
	if v.stale {
		return v.orders
	}
	return v.orders + 1
}

// reserved returns the models whose memory is counted whether the engine holds them or
// not, since an order may still load them.
func (v *view) reserved() map[string]bool {
	c := contents{}
	if v.incoming != "" {
		c.add(v.incoming, "")
	}
	v.sent.addTo(c, v.nextLate())
	reserved := make(map[string]bool, len(c))
	for name := range c {
		reserved[name] = true
	}
	return reserved
}

// hasRoomFor reports whether an order to load can't exceed the engine's memory or slots,
// whenever it is carried out. It must fit beside what the engine may hold now. Besides,
// the engine may have started again, empty, and have carried out any of the earlier
// orders, so that the order must fit beside all these.
func (v *view) hasRoomFor(now time.Time, model, adapter string, engine *traffic.Engine) bool {
	v.sent.expire(now)
	if adapter != "" && v.models[model] == nil {
		return false
	}
	current := v.possible(model)
	current.add(model, adapter)
	return current.fit(engine) && !v.sent.exclude(model, adapter, engine)
}

// exclude reports whether an order to load doesn't fit beside all others that a new,
// empty start of the engine may carry out.
func (l *sentLoads) exclude(model, adapter string, engine *traffic.Engine) bool {
	c := contents{}
	if adapter == "" {
		c.add(model, "")
	}
	l.addTo(c, 0)
	c.add(model, adapter)
	return !c.fit(engine)
}

// refused returns the models that the engine must not load until earlier loads of models
// are settled; nil if there are no such loads.
func (v *view) refused(engine *traffic.Engine) map[string]bool {
	if !slices.ContainsFunc(v.sent.list, func(s *sentLoad) bool { return s.adapter == "" }) {
		return nil
	}
	refused := make(map[string]bool)
	for i := range engine.Models {
		if name := engine.Models[i].Name; v.sent.exclude(name, "", engine) {
			refused[name] = true
		}
	}
	return refused
}

// freeMB returns the engine's memory that is certainly free. It is zero if the engine
// may hold a model that is no longer configured, because the size of that model is not
// known.
func (v *view) freeMB(now time.Time, engine *traffic.Engine) float64 {
	v.sent.expire(now)
	used, known := v.possible().memoryMB(engine)
	if !known {
		return 0
	}
	return engine.MemoryMB - used
}

// lateCold returns the number of loads from the weight store without a response that may
// still begin, in a later window than the one in which they were sent.
func (v *view) lateCold(now time.Time, window time.Duration) int {
	models := make(map[string]bool)
	for _, s := range v.sent.list {
		if s.cold && !s.inFlight && !s.accepted && s.after >= v.orders && now.Sub(s.sentAt) > window {
			models[s.model] = true
		}
	}
	return len(models)
}

// prepare checks whether an order may be sent now and sets the count of accepted orders
// that it requires. It records a load as sent, for which engine is set.
func (v *view) prepare(now time.Time, o *Order, engine *traffic.Engine) (*sentLoad, error) {
	if v.stale {
		return nil, errStale
	}
	if o.Action == Load && !v.hasRoomFor(now, o.Model, o.Adapter, engine) {
		v.stale = v.sent.unconfirmed() // a report may free what accepted orders take
		return nil, errNoRoom
	}
	o.ExpectedOrders = v.orders
	if o.Action != Load {
		return nil, nil
	}
	return v.sent.send(o, o.Adapter == "" && !v.endpoint.Copies[o.Model]), nil
}

// recordResult updates the view with the engine's response to an order, which was sent
// while the view had seen so many starts. The view is stale unless the response shows how
// many orders the engine has accepted and what it holds.
func (v *view) recordResult(now time.Time, o Order, starts int, sent *sentLoad, result Result, err error) {
	var backoff *BackoffError
	switch {
	case sent == nil:
	case err == nil && result == Accepted:
		sent.inFlight, sent.sentAt, sent.accepted = false, now, true
	case err == nil || errors.Is(err, ErrNotSent) || errors.As(err, &backoff):
		v.sent.settle(sent)
	default:
		sent.inFlight, sent.sentAt = false, now
	}
	switch current := v.starts == starts && v.orders == o.ExpectedOrders; {
	case err == nil && current && result == Accepted:
		v.orders++
		v.accept(o)
	case err == nil && current && result == AlreadyApplied && o.Adapter != "":
		v.setAdapter(o)
		v.stale = true // the report shows whether the engine counted the order
	default:
		v.stale = true
	}
}

// accept enters an accepted order into the view. An engine that accepts an order to
// unload an adapter frees its slot only when the requests for it have ended, and a model
// is unloaded later: the engine's reports show that.
func (v *view) accept(o Order) {
	switch {
	case o.Action == Unload:
		v.stale = true
	case o.Adapter == "":
		v.incoming = o.Model
	default:
		v.setAdapter(o)
	}
}

// setAdapter enters the state of an adapter that an order requests.
func (v *view) setAdapter(o Order) {
	adapters := v.models[o.Model]
	switch {
	case o.Action == Unload:
		delete(adapters, o.Adapter)
	case adapters != nil:
		adapters[o.Adapter] = true
	}
}

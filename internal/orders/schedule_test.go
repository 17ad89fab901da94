package orders

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/fleet"
)

// simHost is a host that may hold the lease, with what its Service would keep.
type simHost struct {
	starts       *starts
	unknownUntil time.Time
	view         *view
	sent         *sentLoads
	// freeAt is when the order or report in progress ends.
	freeAt time.Time
	finish func(now time.Time)
	// change is what the host has begun and not ended; nil for nothing.
	change *simChange
}

// simChange is a change of the models on the engine, or one order for an adapter. Like
// Service.execute, it sends one order after the other, each up to maxAttempts times.
type simChange struct {
	orders   []Order
	attempts int
	// awaited is set once the first of the orders is satisfied or being carried out. The host
	// waits for its end until ends; starts counts the starts of the engine seen before.
	awaited bool
	ends    time.Time
	starts  int
}

// schedule is one drawn sequence of orders, faults and changes of the lease holder, for
// one engine, whose identifier stays the same.
type schedule struct {
	rng    *rand.Rand
	now    time.Time
	engine simEngine
	// entry is the engine's entry in the store, which lags behind the engine.
	entry     fleet.Endpoint
	entryAt   time.Time
	hosts     []*simHost
	holder    *simHost
	actsFrom  time.Time
	silentTo  time.Time
	late      []lateOrder
	bornKnown bool
	// crashes, silences, changes and restarts are the probabilities in a step that the
	// engine crashes, that it sends nothing for a while, that a host becomes the holder, and
	// that the holder's process starts again and keeps the lease; lates is the share of the
	// orders that are carried out late, latest how late that may be, and held the share of
	// the changes that begin with a model that is held.
	crashes, silences, changes, restarts, lates, held float64
	latest                                            time.Duration
	// forget drops what the former code did not keep: orders without response and loads
	// whose end was not seen.
	forget bool

	accepted, lateAfterStart int
}

type lateOrder struct {
	at      time.Time
	order   Order
	started time.Time
}

func newSchedule(seed uint64, forget bool) *schedule {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 47)), now: time.Unix(1_700_000_000, 0), forget: forget}
	s.bornKnown = s.rng.IntN(4) > 0
	s.crashes = []float64{0.002, 0.005, 0.01}[s.rng.IntN(3)]
	s.silences = []float64{0, 0.001, 0.003}[s.rng.IntN(3)]
	s.changes = []float64{0, 0.001, 0.003}[s.rng.IntN(3)]
	s.lates = []float64{0.1, 0.3, 0.6}[s.rng.IntN(3)]
	s.latest, s.held = 12*time.Second, 0.4
	s.engine.start(s.now, contents{"m": {}, "n": {}})
	s.publish()
	for range 2 {
		s.hosts = append(s.hosts, &simHost{starts: newStarts(s.now, true), sent: &sentLoads{}})
	}
	s.take(s.hosts[0], 0)
	return s
}

// newLateSchedule returns a schedule in which most orders are carried out late, most of them
// load models, and the engine seldom starts again.
func newLateSchedule(seed uint64) *schedule {
	s := newSchedule(seed, false)
	s.crashes = []float64{0.0005, 0.002}[s.rng.IntN(2)]
	s.restarts = []float64{0, 0.005, 0.02}[s.rng.IntN(3)]
	s.lates = []float64{0.6, 0.8, 0.9}[s.rng.IntN(3)]
	s.latest, s.held = 4*time.Second, 0.1
	return s
}

func (s *schedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

func (s *schedule) chance(share float64) bool { return s.rng.Float64() < share }

func (s *schedule) publish() {
	s.entry = fleet.Endpoint{ID: "e", Address: "a", Started: s.engine.started, Models: cloneModels(s.engine.held)}
	s.entryAt = s.now.Add(s.between(400*time.Millisecond, 1500*time.Millisecond))
}

// take makes a host the holder. It acts once the orders of the one before have arrived
// or are late.
func (s *schedule) take(h *simHost, wait time.Duration) {
	s.holder, s.actsFrom = h, s.now.Add(wait)
	if wait > 0 {
		h.unknownUntil = s.actsFrom.Add(lateLimit)
	}
	h.view, h.finish, h.change, h.freeAt = nil, nil, nil, time.Time{}
}

// run plays the schedule and reports whether the engine was never ordered too much.
func (s *schedule) run(length time.Duration) bool {
	const step = 50 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end) && !s.engine.overloaded; s.now = s.now.Add(step) {
		s.disturb()
		s.engine.finish(s.now)
		s.deliver()
		if s.engine.up && !s.now.Before(s.entryAt) {
			s.publish()
		}
		for _, h := range s.hosts {
			h.starts.observe(s.now, s.now, []fleet.Endpoint{s.entry})
		}
		if !s.now.Before(s.actsFrom) {
			s.act(s.holder)
		}
	}
	return !s.engine.overloaded
}

func (s *schedule) disturb() {
	switch {
	case !s.engine.up && s.chance(0.1):
		s.engine.start(s.now, contents{})
		s.entryAt = s.now.Add(s.between(0, 1500*time.Millisecond))
	case s.chance(s.crashes):
		s.engine.up = false
	case s.chance(s.silences):
		s.silentTo = s.now.Add(s.between(500*time.Millisecond, 12*time.Second))
	case s.chance(s.changes):
		next := s.hosts[s.rng.IntN(2)]
		if s.chance(0.3) {
			s.restart(next)
		}
		s.take(next, s.between(2*time.Second, 5*time.Second))
	case s.chance(s.restarts):
		s.restart(s.holder)
		s.take(s.holder, s.between(time.Second, 2*time.Second))
	}
}

// restart replaces a host's process by one that knows nothing, or what its peer reports.
func (s *schedule) restart(h *simHost) {
	*h = simHost{starts: newStarts(s.now, false), sent: &sentLoads{}}
	if s.chance(0.5) {
		s.learn(h)
	}
}

// learn tells a process what the other host knows, as its report does.
func (s *schedule) learn(h *simHost) {
	for _, other := range s.hosts {
		if other == h || !other.starts.complete(s.now) {
			continue
		}
		for id, start := range other.starts.recent(s.now) {
			h.starts.learn(s.now, id, start.started, s.now.Sub(start.since))
		}
		h.starts.learnAll()
	}
}

// deliver delivers the late orders that are due. Those for an engine that is down are lost.
func (s *schedule) deliver() {
	s.late = slices.DeleteFunc(s.late, func(l lateOrder) bool {
		if s.now.Before(l.at) {
			return false
		}
		if s.engine.up && s.engine.apply(s.now, l.order, s.changeTime()) == Accepted && !l.started.Equal(s.engine.started) {
			s.lateAfterStart++
		}
		return true
	})
}

// changeTime draws how long an engine takes to load or unload a model.
func (s *schedule) changeTime() time.Duration {
	return s.between(200*time.Millisecond, 1500*time.Millisecond)
}

// act does what a holder's Service does: it ends what is due, goes on with a change, reads
// the report if the view is stale, and begins a drawn change otherwise.
func (s *schedule) act(h *simHost) {
	if s.now.Before(h.freeAt) {
		return
	}
	if finish := h.finish; finish != nil {
		h.finish = nil
		finish(s.now)
	}
	if h.view == nil {
		h.view = newView(s.entry, h.sent)
	}
	h.view.update(s.entry)
	if h.change != nil {
		s.goOn(h)
		return
	}
	if h.view.stale || s.chance(0.1) {
		s.read(h)
		if h.view.stale {
			return
		}
	}
	if s.chance(0.8) {
		h.change = &simChange{orders: s.drawOrders(h.view)}
		h.view.busy = h.change.orders[0].Adapter == ""
	}
}

// goOn makes the next step of a change.
func (s *schedule) goOn(h *simHost) {
	c, v := h.change, h.view
	switch {
	case len(c.orders) == 0:
		s.endChange(h, true)
	case c.awaited:
		s.await(h)
	case c.attempts == maxAttempts:
		s.endChange(h, false)
	case v.stale && !s.refresh(h):
		c.attempts++
		h.freeAt = s.now.Add(maxReportAge)
	case s.satisfied(h):
		s.expect(h)
	default:
		s.order(h)
	}
}

// refresh reads the report and returns whether the view is usable, or satisfied anyhow.
func (s *schedule) refresh(h *simHost) bool {
	s.read(h)
	return !h.view.stale || s.satisfied(h)
}

// satisfied reports what Service.satisfied does.
func (s *schedule) satisfied(h *simHost) bool {
	v, o := h.view, h.change.orders[0]
	if o.Adapter != "" {
		return v.models[o.Model][o.Adapter] == (o.Action == Load)
	}
	return o.Action == Load && v.incoming == o.Model || (v.models[o.Model] != nil) == (o.Action == Load)
}

// expect begins the wait for the end of the first order of a change.
func (s *schedule) expect(h *simHost) {
	c := h.change
	if c.orders[0].Adapter != "" {
		c.orders = nil
		return
	}
	c.awaited, c.starts, c.ends = true, h.view.starts, s.now.Add(s.between(time.Second, 6*time.Second))
}

// await ends the wait for an order by a report or by its time limit.
func (s *schedule) await(h *simHost) {
	c, v := h.change, h.view
	if !s.now.Before(c.ends) {
		s.endChange(h, false)
		return
	}
	s.read(h)
	loads := c.orders[0].Action == Load
	switch {
	case loads && v.starts != c.starts:
		s.endChange(h, false)
	case (v.models[c.orders[0].Model] != nil) == loads:
		*c = simChange{orders: c.orders[1:]}
	default:
		h.freeAt = s.now.Add(reportPollInterval)
	}
}

func (s *schedule) endChange(h *simHost, done bool) {
	h.change, h.view.busy = nil, false
	h.view.stale = (h.view.stale || !done) && !s.forget
	if s.forget && !done {
		h.view.incoming = ""
	}
}

func (s *schedule) read(h *simHost) {
	if !s.engine.up || s.now.Before(s.silentTo) {
		h.freeAt = s.now.Add(orderTimeout)
		return
	}
	state := s.engine.report(s.now, s.between(0, maxReportAge))
	if !s.bornKnown {
		state.Started = time.Time{}
	}
	h.view.applyReport(state, !s.now.Before(h.unknownUntil))
	if !state.Started.IsZero() {
		h.starts.observeOne(s.now, s.now, "e", state.Started)
	}
	h.freeAt = s.now.Add(s.between(0, 100*time.Millisecond))
}

// drawOrders draws the orders of a change.
func (s *schedule) drawOrders(v *view) []Order {
	o := Order{Model: scheduleEngine.Models[s.rng.IntN(len(scheduleEngine.Models))].Name}
	held := slices.Sorted(maps.Keys(v.models))
	if len(held) > 0 && s.chance(s.held) {
		o.Model = held[s.rng.IntN(len(held))]
		if s.chance(0.4) {
			o.Adapter = []string{"a1", "a2", "a3"}[s.rng.IntN(3)]
		}
	}
	if len(v.possible()) < 2 {
		for o.Adapter == "" && v.models[o.Model] != nil {
			o.Model = scheduleEngine.Models[s.rng.IntN(len(scheduleEngine.Models))].Name
		}
	}
	if (v.models[o.Model] != nil && o.Adapter == "") || v.models[o.Model][o.Adapter] {
		o.Action = Unload
	} else if o.Adapter == "" && len(held) > 0 && s.chance(0.3) {
		return []Order{{Action: Unload, Model: held[s.rng.IntN(len(held))]}, o}
	}
	return []Order{o}
}

// order sends the next order of a change.
func (s *schedule) order(h *simHost) {
	c, v, o := h.change, h.view, h.change.orders[0]
	if s.forget {
		v.sent.list = nil
	}
	if o.Action == Load && mayMeetUnknown(s.now, h.unknownUntil, h.starts, "e") && !s.forget {
		s.endChange(h, false)
		return
	}
	sent, err := v.prepare(s.now, &o, scheduleEngine)
	if err != nil {
		s.endChange(h, false)
		return
	}
	c.attempts++
	starts := v.starts
	result, err := s.send(o)
	took := s.between(0, 20*time.Millisecond)
	if err != nil && !errors.Is(err, ErrNotSent) {
		took = s.between(0, orderTimeout)
	}
	h.freeAt = s.now.Add(took)
	h.finish = func(now time.Time) {
		v.recordResult(now, o, starts, sent, result, err)
		switch {
		case err != nil:
		case result == Accepted:
			s.accepted++
			s.expect(h)
		case result == AlreadyApplied:
			s.expect(h)
		case result == Conflict:
			h.freeAt = now.Add(maxReportAge)
		default:
			s.endChange(h, false)
		}
	}
}

// send draws what becomes of an order.
func (s *schedule) send(o Order) (Result, error) {
	noResponse := errors.New("no response")
	late := func() {
		s.late = append(s.late, lateOrder{s.now.Add(s.between(2*time.Second, s.latest)), o, s.engine.started})
	}
	switch {
	case !s.engine.up && s.chance(0.5):
		return Refused, errors.Mark(noResponse, ErrNotSent)
	case !s.engine.up:
		return Refused, noResponse
	case s.now.Before(s.silentTo):
		if s.chance(0.5) {
			late()
		}
		return Refused, noResponse
	case s.chance(s.lates):
		late()
		return Refused, noResponse
	case s.chance(0.1):
		s.engine.apply(s.now, o, s.changeTime())
		return Refused, noResponse
	}
	return s.engine.apply(s.now, o, s.changeTime()), nil
}

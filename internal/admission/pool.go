package admission

import (
	"math"
	"sort"
	"time"
)

// flowKey identifies the requests that wait in one line of a pool.
type flowKey struct {
	organisation string
	class        Class
}

// flow is an organisation's waiting requests of one class in a pool.
type flow struct {
	key    flowKey
	weight float64
	// tag is the virtual time at which the flow's next request is due.
	tag     float64
	tokens  float64
	tickets []*Ticket
}

func (f *flow) remove(ticket *Ticket) {
	for i, t := range f.tickets {
		if t == ticket {
			f.tickets = append(f.tickets[:i:i], f.tickets[i+1:]...)
			break
		}
	}
	f.account(ticket)
}

func (f *flow) account(ticket *Ticket) {
	ticket.queued = false
	f.tokens -= ticket.Tokens
	if len(f.tickets) == 0 {
		f.tokens = 0 // no rounding error is carried on
	}
}

// keep replaces the waiting requests by a part of them.
func (f *flow) keep(kept []*Ticket) {
	if len(kept) == len(f.tickets) {
		return
	}
	for _, ticket := range f.tickets {
		ticket.queued = false
	}
	f.tickets = kept
	f.tokens = 0
	for _, ticket := range kept {
		ticket.queued = true
		f.tokens += ticket.Tokens
	}
}

// pool is the flows that share the capacity of a set of endpoints.
type pool struct {
	name  string
	flows map[flowKey]*flow
	// virtual is the tag of the flow that started last, for each class.
	virtual    [classes]float64
	throughput throughput
	// batchServed is when batch last started or began to wait.
	batchServed time.Time
}

func newPool(name string, window time.Duration) *pool {
	return &pool{name: name, flows: make(map[flowKey]*flow), throughput: throughput{window: window}}
}

func (p *pool) flow(req Request) *flow {
	key := flowKey{req.Organisation, req.Class}
	f, ok := p.flows[key]
	if !ok {
		f = &flow{key: key, tag: p.virtual[req.Class]}
		p.flows[key] = f
	}
	f.weight = req.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	return f
}

func (p *pool) enqueue(now time.Time, ticket *Ticket) {
	f := ticket.flow
	if len(f.tickets) == 0 {
		f.tag = max(f.tag, p.virtual[ticket.Class])
	}
	if ticket.Class == Batch && !p.waits(Batch) {
		p.batchServed = now
	}
	f.tickets = append(f.tickets, ticket)
	f.tokens += ticket.Tokens
}

func (p *pool) waits(class Class) bool {
	for key, f := range p.flows {
		if key.class == class && len(f.tickets) > 0 {
			return true
		}
	}
	return false
}

// backlogged reports whether requests wait for lack of capacity.
func (p *pool) backlogged() bool {
	for _, f := range p.flows {
		for _, ticket := range f.tickets {
			if !ticket.stalled {
				return true
			}
		}
	}
	return false
}

func (p *pool) dispatch(now time.Time, batchInterval time.Duration, pick func(*Ticket) Verdict) []*Ticket {
	var started []*Ticket
	blocked := make(map[string]bool)
	for {
		order := [classes]Class{Interactive, Batch}
		if now.Sub(p.batchServed) >= batchInterval && p.waits(Batch) {
			order = [classes]Class{Batch, Interactive}
		}
		ticket := p.startOne(order, blocked, pick)
		if ticket == nil {
			return started
		}
		if ticket.Class == Batch {
			p.batchServed = now
		}
		p.throughput.started(ticket.Tokens)
		started = append(started, ticket)
	}
}

// startOne starts the request that is due first among those with a slot.
func (p *pool) startOne(order [classes]Class, blocked map[string]bool, pick func(*Ticket) Verdict) *Ticket {
	for _, class := range order {
		for _, f := range p.due(class) {
			if ticket := f.startOne(blocked, pick); ticket != nil {
				p.virtual[class] = max(p.virtual[class], f.tag)
				f.tag += ticket.Tokens / f.weight
				return ticket
			}
		}
	}
	return nil
}

// due returns the waiting flows of a class in the order of their tags.
func (p *pool) due(class Class) []*flow {
	var flows []*flow
	for key, f := range p.flows {
		if key.class == class && len(f.tickets) > 0 {
			flows = append(flows, f)
		}
	}
	sort.Slice(flows, func(i, j int) bool {
		if flows[i].tag != flows[j].tag {
			return flows[i].tag < flows[j].tag
		}
		return flows[i].key.organisation < flows[j].key.organisation
	})
	return flows
}

func (f *flow) startOne(blocked map[string]bool, pick func(*Ticket) Verdict) *Ticket {
	for _, ticket := range f.tickets {
		if blocked[ticket.Resource] {
			continue
		}
		verdict := pick(ticket)
		ticket.stalled = verdict == Stalled
		if verdict == Start {
			f.remove(ticket)
			return ticket
		}
		blocked[ticket.Resource] = true
	}
	return nil
}

// predict returns how long a request with the given tokens ahead of it in its
// flow waits, and whether the throughput is known. While the flow drains,
// each other flow of the class gets its fair part and no more than it has;
// what waits in a more urgent class goes first.
func (p *pool) predict(f *flow, ahead float64) (time.Duration, bool) {
	rate, known := p.throughput.rate()
	if !known {
		return 0, false
	}
	tokens := ahead
	for _, other := range p.flows {
		switch {
		case other == f:
		case other.key.class < f.key.class:
			tokens += other.tokens
		case other.key.class == f.key.class:
			tokens += min(other.tokens, ahead*other.weight/f.weight)
		}
	}
	if tokens <= 0 {
		return 0, true
	}
	seconds := tokens / rate
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second)), true
}

// lateMargin keeps a waiting request while its predicted wait is off by less
// than this factor, since predictions swing.
const lateMargin = 2

// late reports whether a waiting request misses its deadline, and its wait.
func (p *pool) late(now time.Time, ticket *Ticket, ahead float64) (time.Duration, bool) {
	if ticket.Deadline.IsZero() {
		return 0, false
	}
	wait, known := p.predict(ticket.flow, ahead)
	if !ticket.Deadline.After(now) {
		return wait, true
	}
	if !known || ticket.stalled {
		return wait, false
	}
	return wait, wait > lateMargin*ticket.Deadline.Sub(now)
}

// throughput measures the tokens started a second while requests wait.
type throughput struct {
	window time.Duration
	last   time.Time
	busy   bool
	// tokens and seconds decay over the window.
	tokens  float64
	seconds float64
}

// minBusySeconds is how much time with a backlog makes a rate known.
const minBusySeconds = 0.5

func (t *throughput) advance(now time.Time, backlogged bool) {
	if t.busy && now.After(t.last) {
		elapsed := now.Sub(t.last).Seconds()
		decay := math.Exp(-elapsed / t.window.Seconds())
		t.tokens *= decay
		t.seconds = t.seconds*decay + elapsed
	}
	t.last = now
	t.busy = backlogged
}

func (t *throughput) started(tokens float64) {
	if t.busy {
		t.tokens += tokens
	}
}

func (t *throughput) rate() (float64, bool) {
	if t.seconds < minBusySeconds {
		return 0, false
	}
	return t.tokens / t.seconds, true
}

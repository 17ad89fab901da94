package admission

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// flow is an organisation's waiting requests in a pool.
type flow struct {
	organisation string
	weight       float64
	// tag is the virtual time at which the flow's next request is due. It
	// grows by the tokens that start, of either class, over the weight.
	tag    float64
	queues [classes]line
	// slowSince is when the wait of interactive requests first went over the
	// target since they last all started. The zero value is never.
	slowSince time.Time
}

// line is the waiting requests of one class, in the order of their arrival.
type line struct {
	tokens  float64
	tickets []*Ticket
}

func (l *line) remove(ticket *Ticket) {
	for i, t := range l.tickets {
		if t == ticket {
			l.tickets = append(l.tickets[:i:i], l.tickets[i+1:]...)
			break
		}
	}
	ticket.queued = false
	l.tokens -= ticket.Tokens
	if len(l.tickets) == 0 {
		l.tokens = 0 // no rounding error is carried on
	}
}

func (f *flow) empty() bool { return f.len() == 0 }

func (f *flow) len() int { return len(f.queues[Interactive].tickets) + len(f.queues[Batch].tickets) }

func (f *flow) tokens() float64 { return f.queues[Interactive].tokens + f.queues[Batch].tokens }

// ahead returns the tokens of the flow that go before a new request.
func (f *flow) ahead(class Class) float64 {
	if class == Batch {
		return f.tokens()
	}
	return f.queues[Interactive].tokens
}

// pool is the flows that share the capacity of a set of endpoints.
type pool struct {
	// flows is sorted by organisation, so that equal inputs lead to equal
	// decisions.
	flows []*flow
	// virtual is the highest tag with which a request started.
	virtual    float64
	throughput throughput
	// batchServed is when batch last started or began to wait.
	batchServed time.Time
	// expired is when waiting requests were last held against their deadlines.
	expired       time.Time
	batchInterval time.Duration
	creditWindow  time.Duration
}

func newPool(cfg Config) *pool {
	return &pool{
		throughput:    throughput{window: cfg.RateWindow},
		batchInterval: cfg.BatchInterval,
		creditWindow:  cfg.CreditWindow,
	}
}

func (p *pool) flow(req Request) *flow {
	at, ok := slices.BinarySearchFunc(p.flows, req.Organisation, func(f *flow, name string) int {
		return strings.Compare(f.organisation, name)
	})
	if !ok {
		p.flows = slices.Insert(p.flows, at, &flow{organisation: req.Organisation, tag: math.Inf(-1)})
	}
	f := p.flows[at]
	f.weight = req.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	return f
}

func (p *pool) enqueue(now time.Time, ticket *Ticket) {
	f := ticket.flow
	f.tag = p.startTag(f)
	if ticket.Class == Batch && !p.waits(Batch) {
		p.batchServed = now
	}
	queue := &f.queues[ticket.Class]
	queue.tickets = append(queue.tickets, ticket)
	queue.tokens += ticket.Tokens
}

// startTag returns the tag of a flow's next request. A flow that was empty
// has kept what it left unused of its fair part over the credit window, so
// that an organisation's own bursts don't cost it its part over time.
func (p *pool) startTag(f *flow) float64 {
	if !f.empty() {
		return f.tag
	}
	return max(f.tag, p.virtual-p.passing(p.creditWindow))
}

// passing returns by how much virtual time passes in a time in which all
// flows wait that are known. It is zero while the throughput is unknown.
func (p *pool) passing(window time.Duration) float64 {
	rate, known := p.throughput.rate()
	if !known {
		return 0
	}
	weights := 0.0
	for _, f := range p.flows {
		weights += f.weight
	}
	return rate * window.Seconds() / weights
}

func (p *pool) waits(class Class) bool {
	for _, f := range p.flows {
		if len(f.queues[class].tickets) > 0 {
			return true
		}
	}
	return false
}

// backlogged reports whether requests wait for lack of capacity.
func (p *pool) backlogged() bool {
	for _, f := range p.flows {
		for class := range f.queues {
			for _, ticket := range f.queues[class].tickets {
				if !ticket.stalled {
					return true
				}
			}
		}
	}
	return false
}

func (p *pool) dispatch(now time.Time, pick func(*Ticket) Verdict) []*Ticket {
	var started []*Ticket
	blocked := make(map[string]bool)
	for {
		ticket := p.startOne(p.due(now), blocked, pick)
		if ticket == nil {
			return started
		}
		if ticket.Class == Batch {
			p.batchServed = now
		}
		if ticket.Offered.Before(now) {
			p.throughput.started(ticket.Tokens)
		}
		started = append(started, ticket)
	}
}

// startOne starts the request that is due first among those with a slot.
func (p *pool) startOne(candidates []candidate, blocked map[string]bool, pick func(*Ticket) Verdict) *Ticket {
	for _, c := range candidates {
		queue := &c.flow.queues[c.class]
		if ticket := queue.startOne(blocked, pick); ticket != nil {
			p.virtual = max(p.virtual, c.flow.tag)
			c.flow.tag += ticket.Tokens / c.flow.weight
			return ticket
		}
	}
	return nil
}

func (l *line) startOne(blocked map[string]bool, pick func(*Ticket) Verdict) *Ticket {
	for _, ticket := range l.tickets {
		if blocked[ticket.Resource] {
			continue
		}
		verdict := pick(ticket)
		ticket.stalled = verdict == Stalled
		if verdict == Start {
			l.remove(ticket)
			return ticket
		}
		blocked[ticket.Resource] = true
	}
	return nil
}

// candidate is a line whose head may start.
type candidate struct {
	flow  *flow
	class Class
	key   float64
}

// due returns the waiting lines in the order in which they are due: by tag,
// batch behind by the handicap, but batch first where none has started for
// the batch interval. Within a flow interactive requests always go first.
func (p *pool) due(now time.Time) []candidate {
	handicap := p.handicap()
	batchFirst := now.Sub(p.batchServed) >= p.batchInterval
	var candidates []candidate
	for _, f := range p.flows {
		if len(f.queues[Interactive].tickets) > 0 {
			candidates = append(candidates, candidate{f, Interactive, f.tag})
		}
		if len(f.queues[Batch].tickets) == 0 {
			continue
		}
		key := f.tag + handicap
		if batchFirst {
			key = math.Inf(-1)
		}
		candidates = append(candidates, candidate{f, Batch, key})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].before(candidates[j]) })
	return candidates
}

func (c candidate) before(other candidate) bool {
	if c.key != other.key {
		return c.key < other.key
	}
	if c.flow.tag != other.flow.tag {
		return c.flow.tag < other.flow.tag
	}
	if c.flow != other.flow {
		return c.flow.organisation < other.flow.organisation
	}
	return c.class < other.class
}

// handicap is by how much virtual time batch stands back behind interactive
// requests of other organisations: what passes in a batch interval. Thus
// batch yields in a burst, and yet an organisation gets its fair part over
// time when most of what it sends is batch.
func (p *pool) handicap() float64 {
	if _, known := p.throughput.rate(); !known {
		return math.Inf(1)
	}
	return p.passing(p.batchInterval)
}

// standing notes the wait of a new interactive request and reports whether
// waits have been over the target for so long that it is no burst.
func (f *flow) standing(now time.Time, wait time.Duration, cfg Config) bool {
	if len(f.queues[Interactive].tickets) == 0 {
		f.slowSince = time.Time{}
	}
	if wait > cfg.TargetWait && f.slowSince.IsZero() {
		f.slowSince = now
	}
	return !f.slowSince.IsZero() && now.Sub(f.slowSince) > cfg.BurstLength
}

// predict returns how long a request waits that has the given tokens of its
// own flow ahead of it, and whether the throughput is known. Each other flow
// goes ahead until its tag has come to that of the request.
func (p *pool) predict(f *flow, class Class, ahead float64) (time.Duration, bool) {
	rate, known := p.throughput.rate()
	if !known {
		return 0, false
	}
	tokens := ahead
	reached := p.startTag(f) + ahead/f.weight
	for _, other := range p.flows {
		if other != f {
			tokens += max(0, min(other.ahead(class), (reached-other.tag)*other.weight))
		}
	}
	if tokens <= 0 || rate <= 0 {
		return 0, tokens <= 0
	}
	seconds := min(tokens/rate, math.MaxInt32)
	return time.Duration(seconds * float64(time.Second)), true
}

// lateMargin keeps a waiting request while its predicted wait is off by less
// than this factor, since predictions swing.
const lateMargin = 2

// late reports whether a waiting request misses its deadline, and its wait.
func (p *pool) late(now time.Time, ticket *Ticket, ahead float64) (time.Duration, bool) {
	if ticket.Deadline.IsZero() {
		return 0, false
	}
	wait, known := p.predict(ticket.flow, ticket.Class, ahead)
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
const minBusySeconds = 1

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

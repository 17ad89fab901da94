package admission

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// flow holds an organisation's queued requests in a pool.
type flow struct {
	organisation string
	weight       float64
	// tag is the virtual start time of the flow's next request. Each request
	// that starts, of either class, advances it by its tokens divided by the
	// weight.
	tag    float64
	queues [numClasses]classQueue
	// overTargetSince is when the estimated wait of interactive requests first
	// exceeded the target since their queue was last empty. The zero value
	// means that it has not.
	overTargetSince time.Time
}

// classQueue holds a flow's queued requests of one class in arrival order.
type classQueue struct {
	tokens  float64
	tickets []*Ticket
}

func (q *classQueue) remove(ticket *Ticket) {
	for i, t := range q.tickets {
		if t == ticket {
			q.tickets = append(q.tickets[:i:i], q.tickets[i+1:]...)
			break
		}
	}
	ticket.queued = false
	q.tokens -= ticket.Tokens
	if len(q.tickets) == 0 {
		q.tokens = 0 // discard accumulated rounding errors
	}
}

func (f *flow) empty() bool { return f.len() == 0 }

func (f *flow) len() int { return len(f.queues[Interactive].tickets) + len(f.queues[Batch].tickets) }

func (f *flow) tokens() float64 { return f.queues[Interactive].tokens + f.queues[Batch].tokens }

// ahead returns the flow's queued tokens that start before a new request of
// the class.
func (f *flow) ahead(class Class) float64 {
	if class == Batch {
		return f.tokens()
	}
	return f.queues[Interactive].tokens
}

// pool holds the flows that share the capacity of a set of endpoints.
type pool struct {
	// flows is sorted by organisation, which makes scheduling deterministic.
	flows []*flow
	// virtualTime is the highest tag of any started request.
	virtualTime float64
	throughput  throughput
	// lastBatchStart is when the last batch request started, or when one was
	// queued while no other batch request was waiting.
	lastBatchStart time.Time
	// lastExpiry is when the deadlines of queued requests were last checked.
	lastExpiry    time.Time
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
	if ticket.Class == Batch && !p.hasWaiting(Batch) {
		p.lastBatchStart = now
	}
	queue := &f.queues[ticket.Class]
	queue.tickets = append(queue.tickets, ticket)
	queue.tokens += ticket.Tokens
}

// startTag returns the tag of a flow's next request. A flow that was empty
// keeps the credit for its unused fair share within the credit window, so that
// an organisation with bursty traffic still gets its fair share over time.
func (p *pool) startTag(f *flow) float64 {
	if !f.empty() {
		return f.tag
	}
	return max(f.tag, p.virtualTime-p.virtualElapsed(p.creditWindow))
}

// virtualElapsed returns by how much virtual time advances in a window if all
// known flows are backlogged. It returns zero while the throughput is unknown.
func (p *pool) virtualElapsed(window time.Duration) float64 {
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

func (p *pool) hasWaiting(class Class) bool {
	for _, f := range p.flows {
		if len(f.queues[class].tickets) > 0 {
			return true
		}
	}
	return false
}

// backlogged reports whether any request is queued for lack of capacity, as
// opposed to waiting for a resource that no endpoint has.
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
		ticket := p.startOne(p.candidates(now), blocked, pick)
		if ticket == nil {
			return started
		}
		if ticket.Class == Batch {
			p.lastBatchStart = now
		}
		if ticket.Offered.Before(now) {
			p.throughput.started(ticket.Tokens)
		}
		started = append(started, ticket)
	}
}

// startOne starts the first request, in candidate order, for which pick
// acquires a slot. It returns nil if there is none.
func (p *pool) startOne(candidates []candidate, blocked map[string]bool, pick func(*Ticket) Verdict) *Ticket {
	for _, c := range candidates {
		queue := &c.flow.queues[c.class]
		if ticket := queue.startOne(blocked, pick); ticket != nil {
			p.virtualTime = max(p.virtualTime, c.flow.tag)
			c.flow.tag += ticket.Tokens / c.flow.weight
			return ticket
		}
	}
	return nil
}

func (q *classQueue) startOne(blocked map[string]bool, pick func(*Ticket) Verdict) *Ticket {
	for _, ticket := range q.tickets {
		if blocked[ticket.Resource] {
			continue
		}
		verdict := pick(ticket)
		ticket.stalled = verdict == Stalled
		if verdict == Start {
			q.remove(ticket)
			return ticket
		}
		blocked[ticket.Resource] = true
	}
	return nil
}

// candidate is a non-empty queue together with its sort key.
type candidate struct {
	flow  *flow
	class Class
	key   float64
}

// candidates returns the non-empty queues in scheduling order: by tag, with
// batch delayed by the batch penalty, but batch first if none has started for
// the batch interval. Otherwise a flow's interactive requests precede its batch
// requests.
func (p *pool) candidates(now time.Time) []candidate {
	penalty := p.batchPenalty()
	batchFirst := now.Sub(p.lastBatchStart) >= p.batchInterval
	var candidates []candidate
	for _, f := range p.flows {
		if len(f.queues[Interactive].tickets) > 0 {
			candidates = append(candidates, candidate{f, Interactive, f.tag})
		}
		if len(f.queues[Batch].tickets) == 0 {
			continue
		}
		key := f.tag + penalty
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

// batchPenalty returns the virtual time by which batch requests are delayed
// relative to interactive requests of other organisations: the virtual time
// that elapses in a batch interval. Batch thus yields during a burst, but an
// organisation that sends mostly batch still gets its fair share over time.
func (p *pool) batchPenalty() float64 {
	if _, known := p.throughput.rate(); !known {
		return math.Inf(1)
	}
	return p.virtualElapsed(p.batchInterval)
}

// sustainedOverload records the estimated wait of a new interactive request and
// reports whether waits have exceeded the target for longer than a burst.
func (f *flow) sustainedOverload(now time.Time, wait time.Duration, cfg Config) bool {
	if len(f.queues[Interactive].tickets) == 0 {
		f.overTargetSince = time.Time{}
	}
	if wait > cfg.TargetWait && f.overTargetSince.IsZero() {
		f.overTargetSince = now
	}
	return !f.overTargetSince.IsZero() && now.Sub(f.overTargetSince) > cfg.BurstLength
}

// estimateWait returns the expected wait of a request with the given number of
// tokens of its own flow ahead of it, and whether the throughput is known. The
// other flows start requests until their tags reach that of the request.
func (p *pool) estimateWait(f *flow, class Class, ahead float64) (time.Duration, bool) {
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

// lateFactor is the factor by which the estimated wait of a queued request must
// exceed the time to its deadline before the request is rejected, since
// estimates fluctuate.
const lateFactor = 2

// missesDeadline returns the estimated wait of a queued request, and reports
// whether the deadline has passed or is expected to be missed.
func (p *pool) missesDeadline(now time.Time, ticket *Ticket, ahead float64) (time.Duration, bool) {
	if ticket.Deadline.IsZero() {
		return 0, false
	}
	wait, known := p.estimateWait(ticket.flow, ticket.Class, ahead)
	if !ticket.Deadline.After(now) {
		return wait, true
	}
	if !known || ticket.stalled {
		return wait, false
	}
	return wait, wait > lateFactor*ticket.Deadline.Sub(now)
}

// throughput measures the tokens started per second while the pool is
// backlogged.
type throughput struct {
	window time.Duration
	last   time.Time
	busy   bool
	// tokens and seconds decay exponentially with the window as time constant.
	tokens  float64
	seconds float64
}

// minBusySeconds is the backlogged time after which the rate counts as known.
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

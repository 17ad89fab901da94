// Package admission decides in which order waiting requests start, and which
// are refused: weighted fair queueing by tokens over organisations,
// interactive before batch, bounded queues and deadlines. It does no I/O and
// reads no clock.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Class is how urgent a request is.
type Class int

// The classes of request, most urgent first.
const (
	Interactive Class = iota
	Batch
	classes
)

// String returns the class as engines and callers name it.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// Request asks to be started.
type Request struct {
	Organisation string
	// Weight is the organisation's share relative to others. Zero means 1.
	Weight float64
	Class  Class
	// Pool names the endpoints whose capacity the request shares.
	Pool string
	// Resource names what an endpoint must hold; requests for the same
	// resource start in the order of their arrival within an organisation.
	Resource string
	// Tokens is the estimated cost.
	Tokens float64
	// Deadline is the latest time to start. The zero value is none.
	Deadline time.Time
}

// Ticket is a request in the queue.
type Ticket struct {
	Request
	// Offered is when the request entered the queue.
	Offered time.Time
	flow    *flow
	queued  bool
	// stalled means that no endpoint holds the resource at the moment.
	stalled bool
}

// Reason tells why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonOrganisationQueueFull Reason = "organisation_queue_full"
	ReasonQueueFull             Reason = "queue_full"
	ReasonDeadline              Reason = "deadline_unreachable"
	ReasonNoEndpoint            Reason = "no_endpoint"
)

// Refusal is the final answer to a request that won't start.
type Refusal struct {
	Reason Reason
	// Wait is how long the request would have waited.
	Wait time.Duration
	// RetryAfter is when the queue is expected to take such a request.
	RetryAfter time.Duration
}

// Config sets a Queue. Zero values mean the defaults named.
type Config struct {
	// PerOrganisation bounds the waiting requests of an organisation, of one
	// class in one pool. It defaults to 256.
	PerOrganisation int
	// Total bounds all waiting requests. It defaults to 2048.
	Total int
	// BatchInterval is the longest time for which waiting batch requests of
	// a pool are passed over when a slot is free. It defaults to 2 s.
	BatchInterval time.Duration
	// TargetWait is the wait of an interactive request that still lets it
	// have its first token in time. It defaults to 500 ms.
	TargetWait time.Duration
	// BurstLength is for how long interactive requests may wait for longer
	// than the target before the queue is cut to it. It defaults to 8 s.
	BurstLength time.Duration
	// CreditWindow is for how long an organisation keeps what it leaves
	// unused of its fair part. It defaults to 10 s.
	CreditWindow time.Duration
	// MaxRetryAfter bounds the RetryAfter of a refusal. It defaults to 60 s.
	MaxRetryAfter time.Duration
	// RateWindow is the time constant of the measured throughput. It
	// defaults to 5 s.
	RateWindow time.Duration
}

func (c Config) withDefaults() Config {
	if c.PerOrganisation <= 0 {
		c.PerOrganisation = 256
	}
	if c.Total <= 0 {
		c.Total = 2048
	}
	if c.BatchInterval <= 0 {
		c.BatchInterval = 2 * time.Second
	}
	if c.TargetWait <= 0 {
		c.TargetWait = 500 * time.Millisecond
	}
	if c.BurstLength <= 0 {
		c.BurstLength = 8 * time.Second
	}
	if c.CreditWindow <= 0 {
		c.CreditWindow = 10 * time.Second
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = time.Minute
	}
	if c.RateWindow <= 0 {
		c.RateWindow = 5 * time.Second
	}
	return c
}

// expiryInterval is how often waiting requests are held against their
// deadlines.
const expiryInterval = 20 * time.Millisecond

// Queue holds the requests that wait. It is not safe for concurrent use.
type Queue struct {
	config Config
	pools  map[string]*pool
	total  int
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{config: cfg.withDefaults(), pools: make(map[string]*pool)}
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return q.total }

// Offer enters a request, or refuses it where the queue is full or the
// request can't start before its deadline.
func (q *Queue) Offer(now time.Time, req Request) (*Ticket, *Refusal) {
	p := q.pool(req.Pool)
	p.throughput.advance(now, p.backlogged())
	f := p.flow(req)
	wait, known := p.predict(f, req.Class, f.ahead(req.Class))
	if refusal := q.full(f, req.Class, wait); refusal != nil {
		return nil, refusal
	}
	if limit := q.limit(now, f, req, wait); known && wait > limit {
		return nil, q.refusal(ReasonDeadline, wait, wait-limit)
	}
	ticket := &Ticket{Request: req, Offered: now, flow: f, queued: true}
	p.enqueue(now, ticket)
	q.total++
	return ticket, nil
}

// limit returns how long a new request may wait: up to its deadline in a
// burst, but for an interactive one no more than the target in a standing
// overload, where a long queue would make every request late.
func (q *Queue) limit(now time.Time, f *flow, req Request, wait time.Duration) time.Duration {
	limit := time.Duration(math.MaxInt64)
	if !req.Deadline.IsZero() {
		limit = req.Deadline.Sub(now)
	}
	if req.Class == Interactive && f.standing(now, wait, q.config) {
		limit = min(limit, q.config.TargetWait)
	}
	return limit
}

func (q *Queue) full(f *flow, class Class, wait time.Duration) *Refusal {
	if length := len(f.queues[class].tickets); length >= q.config.PerOrganisation {
		// One place is free once a request of the queue has started.
		return q.refusal(ReasonOrganisationQueueFull, wait, wait/time.Duration(length))
	}
	if q.total >= q.config.Total {
		return q.refusal(ReasonQueueFull, wait, wait)
	}
	return nil
}

func (q *Queue) refusal(reason Reason, wait, retryAfter time.Duration) *Refusal {
	// Retry-After has a resolution of a second.
	retryAfter = max(time.Second, min(retryAfter, q.config.MaxRetryAfter))
	return &Refusal{Reason: reason, Wait: wait, RetryAfter: retryAfter}
}

// Cancel takes a waiting request out, for example when its caller went away.
func (q *Queue) Cancel(ticket *Ticket) {
	if !ticket.queued {
		return
	}
	ticket.flow.queues[ticket.Class].remove(ticket)
	q.total--
}

// Finish corrects the organisation's account by what a started request used.
func (q *Queue) Finish(ticket *Ticket, usedTokens float64) {
	if ticket.queued || usedTokens >= ticket.Tokens {
		return
	}
	ticket.flow.tag -= (ticket.Tokens - max(usedTokens, 0)) / ticket.flow.weight
}

// Verdict is what a picker says to a ticket.
type Verdict int

// The verdicts of a picker.
const (
	// Start means that the picker has taken a slot for the ticket.
	Start Verdict = iota
	// Full means that no slot is free for the resource.
	Full
	// Stalled means that no endpoint has the resource at the moment.
	Stalled
)

// RefusedTicket is a request that waited and won't start.
type RefusedTicket struct {
	Ticket  *Ticket
	Refusal Refusal
}

// Dispatch starts the requests for which pick finds a slot, in fair order,
// and refuses those that can't start before their deadlines any more.
func (q *Queue) Dispatch(now time.Time, pick func(*Ticket) Verdict) (started []*Ticket, refused []RefusedTicket) {
	pools := slices.Sorted(maps.Keys(q.pools))
	for _, name := range pools {
		p := q.pools[name]
		p.throughput.advance(now, p.backlogged())
		started = append(started, p.dispatch(now, pick)...)
	}
	q.total -= len(started)
	for _, name := range pools {
		p := q.pools[name]
		if now.Sub(p.expired) < expiryInterval {
			continue
		}
		p.expired = now
		refused = append(refused, q.expire(now, p)...)
		q.forget(p)
	}
	q.total -= len(refused)
	return started, refused
}

// expire refuses waiting requests that can't make their deadlines.
func (q *Queue) expire(now time.Time, p *pool) []RefusedTicket {
	var refused []RefusedTicket
	for _, f := range p.flows {
		ahead := 0.0
		for class := range f.queues {
			queue := &f.queues[class]
			// A removal makes a new slice, so that this one stays as it is.
			for _, ticket := range queue.tickets {
				wait, late := p.late(now, ticket, ahead)
				if !late {
					ahead += ticket.Tokens
					continue
				}
				queue.remove(ticket)
				refused = append(refused, RefusedTicket{ticket, *q.refusal(lateReason(ticket), wait, wait)})
			}
		}
	}
	return refused
}

func lateReason(ticket *Ticket) Reason {
	if ticket.stalled {
		return ReasonNoEndpoint
	}
	return ReasonDeadline
}

func (q *Queue) pool(name string) *pool {
	p, ok := q.pools[name]
	if !ok {
		p = newPool(q.config)
		q.pools[name] = p
	}
	return p
}

// forget drops flows without a claim on the future, and so bounds the memory.
func (q *Queue) forget(p *pool) {
	oldest := p.virtual - p.passing(p.creditWindow)
	p.flows = slices.DeleteFunc(p.flows, func(f *flow) bool { return f.empty() && f.tag <= oldest })
}

// Waiting returns how many requests wait for each resource.
func (q *Queue) Waiting() map[string]int {
	waiting := make(map[string]int)
	for _, p := range q.pools {
		for _, f := range p.flows {
			for class := range f.queues {
				for _, ticket := range f.queues[class].tickets {
					waiting[ticket.Resource]++
				}
			}
		}
	}
	return waiting
}

// Package admission decides in which order queued requests start and which
// are rejected: weighted fair queueing by tokens across organisations,
// interactive before batch, bounded queues and deadlines. It does no I/O;
// callers pass in the time.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Class is the scheduling class of a request.
type Class int

// The scheduling classes, most urgent first.
const (
	Interactive Class = iota
	Batch
	numClasses
)

// String returns the name that callers and engines use for the class.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// Request describes a request that is offered to a Queue.
type Request struct {
	Organisation string
	// Weight is the organisation's share relative to others. Zero means 1.
	Weight float64
	Class  Class
	// Pool names the group of endpoints whose capacity the request uses.
	Pool string
	// Resource names the model or service that an endpoint must provide.
	// Requests of one organisation and class for the same resource start in
	// arrival order.
	Resource string
	// Tokens is the estimated cost in tokens.
	Tokens float64
	// Deadline is the latest time to start. The zero value means no deadline.
	Deadline time.Time
}

// Ticket tracks a request that the queue has accepted.
type Ticket struct {
	Request
	// Offered is when the request entered the queue.
	Offered time.Time
	flow    *flow
	queued  bool
	// stalled is set while no endpoint has the resource.
	stalled bool
}

// Reason is the reason for which a request was rejected.
type Reason string

// The reasons for a rejection.
const (
	ReasonOrganisationQueueFull Reason = "organisation_queue_full"
	ReasonQueueFull             Reason = "queue_full"
	ReasonDeadline              Reason = "deadline_unreachable"
	ReasonNoEndpoint            Reason = "no_endpoint"
)

// Refusal describes why a request was rejected and when to retry it.
type Refusal struct {
	Reason Reason
	// Wait is the estimated time that the request would have been queued.
	Wait time.Duration
	// RetryAfter is the time after which the queue is expected to accept the
	// request.
	RetryAfter time.Duration
}

// Config configures a Queue. Zero values select the defaults.
type Config struct {
	// PerOrganisation is the maximum number of queued requests per
	// organisation, class and pool. It defaults to 256.
	PerOrganisation int
	// Total is the maximum number of queued requests over all pools. It
	// defaults to 2048.
	Total int
	// BatchInterval is the longest time for which interactive requests take
	// precedence over a pool's queued batch requests when a slot is free. It
	// defaults to 2 s.
	BatchInterval time.Duration
	// TargetWait is the longest queueing time with which an interactive
	// request still meets its first-token objective. It defaults to 500 ms.
	TargetWait time.Duration
	// BurstLength is how long the wait of interactive requests may exceed
	// TargetWait before new ones are limited to TargetWait. It defaults to
	// 8 s.
	BurstLength time.Duration
	// CreditWindow is the period over which an organisation accumulates
	// credit for the part of its fair share that it leaves unused. It
	// defaults to 10 s.
	CreditWindow time.Duration
	// MaxRetryAfter is the upper bound of Refusal.RetryAfter. It defaults to
	// 60 s.
	MaxRetryAfter time.Duration
	// RateWindow is the time constant of the throughput measurement. It
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

// expiryInterval is the minimum time between two deadline checks of a pool's
// queued requests.
const expiryInterval = 20 * time.Millisecond

// Queue holds requests until an endpoint has a free slot for them. It is not
// safe for concurrent use.
type Queue struct {
	config Config
	pools  map[string]*pool
	total  int
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{config: cfg.withDefaults(), pools: make(map[string]*pool)}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.total }

// Offer adds a request to the queue. It returns a Refusal instead of a Ticket
// if the queue is full or the request is not expected to start by its deadline.
func (q *Queue) Offer(now time.Time, req Request) (*Ticket, *Refusal) {
	p := q.pool(req.Pool)
	p.throughput.advance(now, p.backlogged())
	f := p.flow(req)
	wait, known := p.estimateWait(f, req.Class, f.ahead(req.Class))
	if refusal := q.checkLength(f, req.Class, wait); refusal != nil {
		return nil, refusal
	}
	if limit := q.maxWait(now, f, req, wait); known && wait > limit {
		return nil, q.refusal(ReasonDeadline, wait, wait-limit)
	}
	ticket := &Ticket{Request: req, Offered: now, flow: f, queued: true}
	p.enqueue(now, ticket)
	q.total++
	return ticket, nil
}

// maxWait returns how long a new request may be queued: until its deadline
// during a burst, but at most TargetWait for an interactive request in a
// sustained overload, where a long queue would make every request late.
func (q *Queue) maxWait(now time.Time, f *flow, req Request, wait time.Duration) time.Duration {
	limit := time.Duration(math.MaxInt64)
	if !req.Deadline.IsZero() {
		limit = req.Deadline.Sub(now)
	}
	if req.Class == Interactive && f.sustainedOverload(now, wait, q.config) {
		limit = min(limit, q.config.TargetWait)
	}
	return limit
}

func (q *Queue) checkLength(f *flow, class Class, wait time.Duration) *Refusal {
	if length := len(f.queues[class].tickets); length >= q.config.PerOrganisation {
		// A place is free as soon as one queued request has started.
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

// Cancel removes a queued request, for example after its caller has
// disconnected. It has no effect on a ticket that is no longer queued.
func (q *Queue) Cancel(ticket *Ticket) {
	if !ticket.queued {
		return
	}
	ticket.flow.queues[ticket.Class].remove(ticket)
	q.total--
}

// Finish credits the organisation with the tokens that a started request was
// charged for but did not use.
func (q *Queue) Finish(ticket *Ticket, usedTokens float64) {
	if ticket.queued || usedTokens >= ticket.Tokens {
		return
	}
	ticket.flow.tag -= (ticket.Tokens - max(usedTokens, 0)) / ticket.flow.weight
}

// Verdict is the result of trying to acquire a slot for a ticket.
type Verdict int

// The possible verdicts.
const (
	// Start means that a slot was acquired for the ticket.
	Start Verdict = iota
	// Full means that no slot is free for the resource.
	Full
	// Stalled means that currently no endpoint has the resource.
	Stalled
)

// RefusedTicket is a queued request that was rejected.
type RefusedTicket struct {
	Ticket  *Ticket
	Refusal Refusal
}

// Dispatch offers queued requests to pick in fair order. It removes from the
// queue and returns those for which pick acquired a slot, and those rejected
// because they can no longer start by their deadlines.
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
		if now.Sub(p.lastExpiry) < expiryInterval {
			continue
		}
		p.lastExpiry = now
		refused = append(refused, q.expire(now, p)...)
		q.evictIdleFlows(p)
	}
	q.total -= len(refused)
	return started, refused
}

// expire rejects queued requests that can no longer start by their deadlines.
func (q *Queue) expire(now time.Time, p *pool) []RefusedTicket {
	var refused []RefusedTicket
	for _, f := range p.flows {
		ahead := 0.0
		for class := range f.queues {
			queue := &f.queues[class]
			// remove allocates a new slice, so this loop's slice is not modified.
			for _, ticket := range queue.tickets {
				wait, late := p.missesDeadline(now, ticket, ahead)
				if !late {
					ahead += ticket.Tokens
					continue
				}
				queue.remove(ticket)
				refused = append(refused, RefusedTicket{ticket, *q.refusal(expiryReason(ticket), wait, wait)})
			}
		}
	}
	return refused
}

func expiryReason(ticket *Ticket) Reason {
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

// evictIdleFlows removes empty flows whose tags are no higher than that of a new
// flow, which bounds memory use.
func (q *Queue) evictIdleFlows(p *pool) {
	oldest := p.virtualTime - p.virtualElapsed(p.creditWindow)
	p.flows = slices.DeleteFunc(p.flows, func(f *flow) bool { return f.empty() && f.tag <= oldest })
}

// Waiting returns the number of queued requests per resource.
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

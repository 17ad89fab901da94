package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/admission"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/routing"
)

// expiryInterval is how often the deadlines of waiting requests are checked if
// no other event triggers a dispatch.
const expiryInterval = 50 * time.Millisecond

// slotRequest is a request for a slot at an endpoint.
type slotRequest struct {
	admission admission.Request
	routing   routing.Request
	requestID string
}

// slot is the right to make one attempt at an endpoint. It counts as in flight
// until scheduler.finish is called.
type slot struct {
	attempt *endpoint.Attempt
	state   endpoint.State
	ticket  *admission.Ticket
	waited  time.Duration
}

// waiter is a queued request for a slot.
type waiter struct {
	request slotRequest
	ticket  *admission.Ticket
	// result is buffered for the single result, so that sending never blocks.
	result chan slotResult
}

// slotResult is either a slot or a refusal.
type slotResult struct {
	slot    *slot
	refusal *admission.Refusal
}

// scheduler queues requests and assigns slots to them, in the order of the
// admission queue and at the endpoints chosen by the routing policy. It is safe
// for concurrent use.
type scheduler struct {
	endpoints Endpoints
	policy    routing.Policy
	clock     func() time.Time

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Ticket]*waiter
	rng     *rand.Rand
}

func newScheduler(cfg Config) *scheduler {
	return &scheduler{
		endpoints: cfg.Endpoints,
		policy:    cfg.Policy,
		clock:     cfg.Clock,
		queue:     admission.New(cfg.Admission),
		waiters:   make(map[*admission.Ticket]*waiter),
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
}

// acquire waits for a slot. A refusal is returned as soon as it is known.
func (s *scheduler) acquire(ctx context.Context, req slotRequest) (*slot, *admission.Refusal, error) {
	w, refusal := s.enqueue(req)
	if refusal != nil {
		return nil, refusal, nil
	}
	select {
	case result := <-w.result:
		return result.slot, result.refusal, nil
	case <-ctx.Done():
		s.cancel(w)
		return nil, nil, context.Cause(ctx)
	}
}

// enqueue adds a request to the queue and dispatches, or returns the refusal.
func (s *scheduler) enqueue(req slotRequest) (*waiter, *admission.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := s.endpoints.States()
	req.admission.Pool = routing.Pool(states, req.routing)
	ticket, refusal := s.queue.Offer(s.clock(), req.admission)
	if refusal != nil {
		return nil, refusal
	}
	w := &waiter{request: req, ticket: ticket, result: make(chan slotResult, 1)}
	s.waiters[ticket] = w
	s.dispatch(states)
	return w, nil
}

// cancel removes a waiter whose context is done.
func (s *scheduler) cancel(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Cancel(w.ticket)
	delete(s.waiters, w.ticket)
	select {
	case result := <-w.result: // the slot was assigned concurrently
		if result.slot != nil {
			s.queue.Finish(w.ticket, 0)
			result.slot.attempt.Finish(endpoint.OutcomeCancelled)
		}
	default:
	}
}

// finish releases a slot and dispatches waiting requests.
func (s *scheduler) finish(sl *slot, outcome endpoint.Outcome, usedTokens int64) {
	sl.attempt.Finish(outcome)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Finish(sl.ticket, float64(usedTokens))
	s.dispatchIfWaiting()
}

// serve dispatches waiting requests at each change of the endpoints' state, and
// at least every expiryInterval, until ctx is done.
func (s *scheduler) serve(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		changed := s.endpoints.Changed()
		s.wake()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (s *scheduler) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchIfWaiting()
}

// dispatchIfWaiting dispatches unless the queue is empty. It must be called
// with the mutex held.
func (s *scheduler) dispatchIfWaiting() {
	if s.queue.Len() > 0 {
		s.dispatch(s.endpoints.States())
	}
}

// dispatch assigns free slots to waiting requests and refuses those that can't
// start in time. It must be called with the mutex held.
func (s *scheduler) dispatch(states []endpoint.State) {
	round := &dispatchRound{scheduler: s, states: states}
	started, refused := s.queue.Dispatch(s.clock(), round.pick)
	for _, ticket := range started {
		delete(s.waiters, ticket)
	}
	for _, r := range refused {
		w := s.waiters[r.Ticket]
		delete(s.waiters, r.Ticket)
		refusal := r.Refusal
		w.result <- slotResult{refusal: &refusal}
	}
}

// dispatchRound is one pass over the queue, based on one snapshot of the
// endpoints' states.
type dispatchRound struct {
	scheduler *scheduler
	states    []endpoint.State
}

// pick assigns a slot to the waiter of a ticket, or returns why there is none.
func (r *dispatchRound) pick(ticket *admission.Ticket) admission.Verdict {
	s := r.scheduler
	w := s.waiters[ticket]
	eligible, reason := routing.Eligible(r.states, w.request.routing)
	switch reason {
	case routing.ReasonNone:
	case routing.ReasonFull:
		return admission.Full
	default:
		return admission.Stalled
	}
	chosen := eligible[s.policy.Choose(s.rng, eligible, w.request.routing)]
	attempt := s.endpoints.Start(chosen.Config.GetName(), int64(ticket.Tokens))
	r.refreshState(chosen.Config.GetName())
	if attempt == nil {
		return admission.Full // it started to drain after the snapshot was taken
	}
	endpoint.AssertNotDraining(chosen, w.request.requestID)
	w.result <- slotResult{slot: &slot{
		attempt: attempt,
		state:   chosen,
		ticket:  ticket,
		waited:  s.clock().Sub(ticket.Offered),
	}}
	return admission.Start
}

// refreshState updates the state of one endpoint in the snapshot.
func (r *dispatchRound) refreshState(name string) {
	state, ok := r.scheduler.endpoints.State(name)
	if !ok {
		return
	}
	for i := range r.states {
		if r.states[i].Config.GetName() == name {
			r.states[i] = state
		}
	}
}

// waitingByResource returns the number of requests that wait for each resource.
func (s *scheduler) waitingByResource() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Waiting()
}

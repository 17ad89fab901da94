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

// expiryInterval is how often waiting requests are held against their
// deadlines when nothing else happens.
const expiryInterval = 50 * time.Millisecond

// slotRequest asks for a place at an endpoint.
type slotRequest struct {
	admission admission.Request
	routing   routing.Request
	requestID string
}

// slot is a place at an endpoint, in its accounts until finished.
type slot struct {
	attempt *endpoint.Attempt
	state   endpoint.State
	ticket  *admission.Ticket
	waited  time.Duration
}

// waiter is a request that waits for a slot.
type waiter struct {
	request slotRequest
	ticket  *admission.Ticket
	// result has room for the one answer.
	result chan slotResult
}

type slotResult struct {
	slot    *slot
	refusal *admission.Refusal
}

// scheduler queues requests and gives them slots, in the order that the
// admission queue decides and at the endpoints that the routing policy
// chooses.
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

// acquire waits for a slot. A refusal is returned as soon as it is certain.
func (s *scheduler) acquire(ctx context.Context, req slotRequest) (*slot, *admission.Refusal, error) {
	w, refusal := s.offer(req)
	if refusal != nil {
		return nil, refusal, nil
	}
	select {
	case result := <-w.result:
		return result.slot, result.refusal, nil
	case <-ctx.Done():
		s.abandon(w)
		return nil, nil, context.Cause(ctx)
	}
}

func (s *scheduler) offer(req slotRequest) (*waiter, *admission.Refusal) {
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

// abandon takes back a request whose caller went away.
func (s *scheduler) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Cancel(w.ticket)
	delete(s.waiters, w.ticket)
	select {
	case result := <-w.result: // the slot came at the same time
		if result.slot != nil {
			s.queue.Finish(w.ticket, 0)
			result.slot.attempt.Finish(endpoint.OutcomeCancelled)
		}
	default:
	}
}

// finish gives a slot back.
func (s *scheduler) finish(sl *slot, outcome endpoint.Outcome, usedTokens int64) {
	sl.attempt.Finish(outcome)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Finish(sl.ticket, float64(usedTokens))
	s.dispatchIfWaiting()
}

// serve keeps the queue moving until ctx ends.
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

// dispatchIfWaiting must be called with the mutex held.
func (s *scheduler) dispatchIfWaiting() {
	if s.queue.Len() > 0 {
		s.dispatch(s.endpoints.States())
	}
}

// dispatch must be called with the mutex held.
func (s *scheduler) dispatch(states []endpoint.State) {
	round := &round{scheduler: s, states: states}
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

// round is one pass over the queue, over one view of the endpoints.
type round struct {
	scheduler *scheduler
	states    []endpoint.State
}

// pick takes a slot for a ticket, or tells why there is none.
func (r *round) pick(ticket *admission.Ticket) admission.Verdict {
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
	r.refresh(chosen.Config.GetName())
	if attempt == nil {
		return admission.Full // it began to leave; the next round knows
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

// refresh takes the new accounts of an endpoint into the view.
func (r *round) refresh(name string) {
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

// waiting returns how many requests wait for each resource.
func (s *scheduler) waiting() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Waiting()
}

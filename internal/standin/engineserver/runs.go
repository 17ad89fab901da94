package engineserver

import (
	"context"
	"sync"
)

// run is one completion request that the engine executes.
type run struct {
	attempt    string
	generation Generation
	chat       bool
	// first is the offset of the first event of the response.
	first        int
	journalIndex int
}

// runs tracks the running attempts, to cancel them, and the generations of all
// attempts, to resume them.
type runs struct {
	mu          sync.Mutex
	cancels     map[string]context.CancelFunc
	generations map[string]Generation
	running     int
}

func newRuns() *runs {
	return &runs{
		cancels:     make(map[string]context.CancelFunc),
		generations: make(map[string]Generation),
	}
}

func (r *runs) start(ctx context.Context, current *run) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
	r.cancels[current.attempt] = cancel
	r.generations[current.attempt] = current.generation
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
		delete(r.cancels, current.attempt)
	}
}

func (r *runs) cancel(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.cancels[attempt]; ok {
		cancel()
	}
}

func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// resumable reports whether the attempt ran the same generation.
func (r *runs) resumable(attempt string, generation Generation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.generations[attempt]
	return ok && known == generation
}

// slots limits the number of concurrent requests and queues the others,
// interactive before batch. A limit of 0 means no limit.
type slots struct {
	mu          sync.Mutex
	limit       int
	used        int
	interactive []chan struct{}
	batch       []chan struct{}
}

func newSlots(limit int) *slots { return &slots{limit: limit} }

func (s *slots) acquire(ctx context.Context, batch bool) error {
	granted := s.enqueue(batch)
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	if !s.dequeue(granted) {
		s.release()
	}
	return ctx.Err()
}

func (s *slots) enqueue(batch bool) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := make(chan struct{})
	if s.limit == 0 || s.used < s.limit {
		s.used++
		close(granted)
		return granted
	}
	if batch {
		s.batch = append(s.batch, granted)
	} else {
		s.interactive = append(s.interactive, granted)
	}
	return granted
}

// dequeue removes a waiting request and reports whether it was still queued.
func (s *slots) dequeue(granted chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&s.interactive, &s.batch} {
		for i, queued := range *queue {
			if queued == granted {
				*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
				return true
			}
		}
	}
	return false
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&s.interactive, &s.batch} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			return
		}
	}
	s.used--
}

func (s *slots) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.interactive) + len(s.batch)
}

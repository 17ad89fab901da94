package engineserver

import (
	"context"
	"sync"
)

// run is one request that the engine carries out.
type run struct {
	attempt    string
	generation Generation
	chat       bool
	// first is the offset of the first event of the answer.
	first int
	entry int
}

// runs keeps the running attempts, and the generations of all for resumes.
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

func (r *runs) start(ctx context.Context, one *run) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
	r.cancels[one.attempt] = cancel
	r.generations[one.attempt] = one.generation
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
		delete(r.cancels, one.attempt)
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

// resumable reports whether the attempt was this generation.
func (r *runs) resumable(attempt string, generation Generation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.generations[attempt]
	return ok && known == generation
}

// slots limits the requests that run at once and queues others, interactive
// before batch.
type slots struct {
	mu          sync.Mutex
	limit       int
	used        int
	interactive []chan struct{}
	batch       []chan struct{}
}

func newSlots(limit int) *slots { return &slots{limit: limit} }

func (s *slots) acquire(ctx context.Context, batch bool) error {
	granted := s.request(batch)
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	if !s.withdraw(granted) {
		s.release()
	}
	return ctx.Err()
}

func (s *slots) request(batch bool) chan struct{} {
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

// withdraw reports whether the request was still queued.
func (s *slots) withdraw(granted chan struct{}) bool {
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

package drain

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/retry"
)

// pollInterval is how often a stopping host looks at its work. It delays the end of the
// process by as much.
const pollInterval = 10 * time.Millisecond

// Run carries a shutdown that has begun through to its end. It calls enter at the start of
// each phase after Announced, and ends the requests early once ctx is done.
func (s *Stop) Run(ctx context.Context, work func() Work, enter func(Phase)) {
	phase := s.Phase()
	s.logPhase(phase, work())
	for phase < Ended {
		if !retry.Sleep(ctx, pollInterval) {
			s.Hasten()
			time.Sleep(pollInterval)
		}
		left := work()
		for next := s.Advance(left); next != phase; next = s.Advance(left) {
			phase = next
			s.logPhase(phase, left)
			enter(phase)
			left = work()
		}
	}
}

// Hasten ends the time for which requests may run.
func (s *Stop) Hasten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Serving {
		return
	}
	elapsed := s.config.Clock().Sub(s.signalled)
	s.timing.Limit = min(s.timing.Limit, elapsed)
	s.timing.Announced = min(s.timing.Announced, elapsed)
}

func (s *Stop) logPhase(phase Phase, left Work) {
	elapsed, _ := s.Elapsed()
	state := s.DumpState()
	logrus.WithFields(logrus.Fields{
		"phase": phase.String(), "elapsed_ms": elapsed.Milliseconds(), "remaining_ms": state.RemainingMS,
		"requests": left.Requests, "arriving": left.Arriving, "relays": left.Relays, "connections": left.Connections,
		"admitted": state.Decisions.Admitted, "refused": state.Decisions.Refused,
	}).Info("shutdown phase")
}

package drain

import "time"

const (
	// percentileWithOthers is the percentile of the recent requests like a request that has
	// to end in the time left, with headroomWithOthers relative to it, for the request to be
	// admitted if callers find another host: a refusal costs them an attempt, a cut the
	// response. Endpoints slow down while a fleet restarts.
	percentileWithOthers = 100
	headroomWithOthers   = 0.5
	// percentileAlone is that percentile, without headroom, if they find none.
	percentileAlone = 90
)

// Basis is what an admission or a refusal rests on.
type Basis string

const (
	// BasisNone means that no shutdown has begun.
	BasisNone Basis = "none"
	// BasisDeadline means that the request's deadline lies within the time left.
	BasisDeadline Basis = "deadline"
	// BasisEstimate means that an estimate decides, from requests like it.
	BasisEstimate Basis = "estimate"
	// BasisUnknown means that no request like it was served.
	BasisUnknown Basis = "unknown"
)

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	Basis    Basis
	// Left is the time that requests may still run, Expected how long the request is expected
	// to take; zero if it isn't known.
	Left, Expected time.Duration
}

// Decide decides whether a request that has the time left until its deadline, and starts now,
// ends before the host's process does. Without a shutdown all are admitted. Once the balancer
// has noticed, only the deadline counts: how long earlier requests took does not bound how
// long the next one takes. Until then an estimate does as well, since many requests arrive.
func (s *Stop) Decide(left time.Duration, r Request) Decision {
	elapsed, timing, stopping := s.progress()
	if !stopping {
		return Decision{Admitted: true, Basis: BasisNone}
	}
	d := s.decide(left, timing.Limit-elapsed, elapsed < timing.Announced+timing.Arrival, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions[decisionKey{d.Admitted, d.Basis}]++
	return d
}

func (s *Stop) decide(left, remaining time.Duration, estimates bool, r Request) Decision {
	d := Decision{Basis: BasisDeadline, Left: remaining}
	if d.Admitted = left <= remaining; d.Admitted || !estimates || remaining <= 0 {
		return d
	}
	percentile, headroom := float64(percentileAlone), 0.0
	othersServe := s.config.OthersServe != nil && s.config.OthersServe()
	if othersServe {
		percentile, headroom = percentileWithOthers, headroomWithOthers
	}
	expected, known := s.estimator.Estimate(r, percentile)
	if !known {
		d.Basis, d.Admitted = BasisUnknown, !othersServe
		return d
	}
	d.Expected = expected + time.Duration(headroom*float64(expected))
	d.Admitted, d.Basis = d.Expected <= remaining, BasisEstimate
	return d
}

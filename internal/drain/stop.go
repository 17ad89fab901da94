// Package drain owns the shutdown of a host: its phases, what ends each of them, and what
// each means for callers, peers, the placement lease and the process. Components ask a Stop
// and keep no state of a shutdown of their own.
package drain

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Phase is a phase of the life of a host, by its shutdown.
type Phase int

const (
	// Serving lasts until the stop signal.
	Serving Phase = iota
	// Announced lasts until the balancer has noticed that the host is not ready. Many
	// requests still arrive.
	Announced
	// Draining lasts until nothing runs and nothing arrives, or until the time limit. The
	// balancer sends requests only if it has no other host; callers send them on
	// connections that they opened before.
	Draining
	// Ending lasts until the requests that ran at the time limit have been answered.
	Ending
	// Closing lasts until callers have closed their connections.
	Closing
	// Ended means that the process may exit.
	Ended
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"serving", "announced", "draining", "ending", "closing", "ended"}[p]
}

// Timing bounds the phases of a shutdown.
type Timing struct {
	// Announced is how long the balancer may take to notice that the host is not ready.
	Announced time.Duration
	// Arrival is how long after that requests may still arrive that were sent before, or leave
	// a queue.
	Arrival time.Duration
	// Limit is the time from the stop signal for which requests may run.
	Limit time.Duration
	// Answers is how long requests that are ended at the limit may take to be answered, and
	// Close how long callers may take after that to close their connections.
	Answers, Close time.Duration
}

// Total returns the longest time from the stop signal to the end of the process.
func (t Timing) Total() time.Duration { return t.Limit + t.Answers + t.Close }

// TimingWithin returns the timing of a shutdown that takes at most total. The error names
// what total has to be at least.
func TimingWithin(total, announced time.Duration) (Timing, error) {
	t := Timing{Announced: announced, Answers: answersTime, Close: closeTime}
	t.Limit = total - t.Answers - t.Close - exitTime
	if t.Limit < announced+minDraining {
		return Timing{}, errors.Newf("%v is too short for a shutdown; give at least %v: %v for the balancer to notice, %v for requests and %v for the end of the process",
			total, announced+minDraining+answersTime+closeTime+exitTime, announced, minDraining, answersTime+closeTime+exitTime)
	}
	return t, nil
}

const (
	// answersTime and closeTime are the times of Ending and Closing. They are for a machine
	// that is busy with other work, and for links of some milliseconds with full buffers.
	answersTime = 150 * time.Millisecond
	closeTime   = 100 * time.Millisecond
	// lingerTime bounds Closing if the grace period leaves more time than that.
	lingerTime = time.Second
	// exitTime is the time for the process to exit, after which it is killed.
	exitTime = 250 * time.Millisecond
	// minDraining is the time that requests get at least once the balancer has noticed.
	minDraining = 500 * time.Millisecond
	// otherHostRetryAfter is when to retry on another host: at once.
	otherHostRetryAfter = 10 * time.Millisecond
)

// Work is what a host still has to do.
type Work struct {
	// Requests is the number of requests that are served, Arriving that of connections on
	// which one arrives or is expected, Relays that of connections relayed for peers.
	Requests, Arriving, Relays int
	// Connections is the number of open connections of callers.
	Connections int
}

// Config configures a Stop.
type Config struct {
	// OthersServe reports whether callers that are refused find another host. Nil means
	// that it isn't known.
	OthersServe func() bool
	// Clock is a clock that does not stop while the machine is suspended. Nil means
	// time.Now.
	Clock func() time.Time
}

// Stop is the shutdown of a host. It implements prometheus.Collector and is safe for
// concurrent use.
type Stop struct {
	config    Config
	estimator *Estimator

	mu     sync.Mutex
	timing Timing
	phase  Phase
	// signalled is when the shutdown began, entered when the phase did.
	signalled, entered time.Time
	// decisions counts what was decided on requests in the shutdown.
	decisions map[decisionKey]int
}

// Decisions counts the decisions on requests in a shutdown, one before each attempt.
type Decisions struct {
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
}

// New returns a Stop in phase Serving.
func New(cfg Config) *Stop {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Stop{config: cfg, estimator: NewEstimator(cfg.Clock), decisions: make(map[decisionKey]int)}
}

// Begin begins the shutdown. It returns false, and changes nothing, if it had begun before.
func (s *Stop) Begin(timing Timing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != Serving {
		return false
	}
	s.timing, s.signalled = timing, s.config.Clock()
	s.enter(Announced, s.signalled)
	return true
}

// Advance enters the next phase if the present one has ended, by time or by the work that is
// left, and returns the phase. It enters one phase at a time, so that the caller can do what
// belongs to each. What is decided on requests doesn't depend on how soon it is called.
func (s *Stop) Advance(work Work) Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock()
	t := s.timing
	elapsed, inPhase := now.Sub(s.signalled), now.Sub(s.entered)
	served := work.Requests == 0
	switch s.phase {
	case Announced:
		if elapsed >= min(t.Announced, t.Limit) {
			s.enter(Draining, now)
		}
	case Draining:
		switch {
		case elapsed >= t.Limit:
			s.enter(Ending, now)
		case served && work.Arriving == 0 && work.Relays == 0:
			s.enter(Closing, now)
		}
	case Ending:
		if served || elapsed >= t.Limit+t.Answers {
			s.enter(Closing, now)
		}
	case Closing:
		if work.Connections == 0 || inPhase >= lingerTime || elapsed >= t.Total() {
			s.enter(Ended, now)
		}
	case Serving, Ended:
	}
	return s.phase
}

func (s *Stop) enter(phase Phase, now time.Time) { s.phase, s.entered = phase, now }

// Phase returns the phase.
func (s *Stop) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Ready reports whether the balancer should send requests to this host.
func (s *Stop) Ready() bool { return s.Phase() == Serving }

// LastAnswers reports whether responses say that their connection closes, unless another
// request has arrived on it.
func (s *Stop) LastAnswers() bool { return s.Phase() >= Announced }

// ClosesQuiet reports whether connections are closed once their callers have used them and no
// further request arrives.
func (s *Stop) ClosesQuiet() bool { return s.Phase() >= Draining }

// Listens reports whether connections are accepted. They are until the end of the work: a
// balancer that has no other host goes on sending, and a refusal tells callers more than
// a port that is closed.
func (s *Stop) Listens() bool { return s.Phase() < Closing }

// RelaysForPeers reports whether new connections of peers to endpoints are relayed. Their
// requests are the peers', so that this host doesn't know when they end.
func (s *Stop) RelaysForPeers() bool { return s.Phase() == Serving }

// StartsModelChanges reports whether changes of models may start. One that isn't finished
// would leave an engine without the model that it had and the one that it was to have.
func (s *Stop) StartsModelChanges() bool { return s.Phase() == Serving }

// MayHoldLease reports whether this host may hold the placement lease. A host that stops
// releases it once its changes of models have ended, for another host to go on with the
// placement while this one still serves requests.
func (s *Stop) MayHoldLease(changing bool) bool { return s.Phase() == Serving || changing }

// Remaining returns the time for which requests may still run. It returns false if no
// shutdown has begun.
func (s *Stop) Remaining() (remaining time.Duration, stopping bool) {
	elapsed, timing, stopping := s.progress()
	return timing.Limit - elapsed, stopping
}

// Elapsed returns the time since the shutdown began. It returns false if none has.
func (s *Stop) Elapsed() (elapsed time.Duration, stopping bool) {
	elapsed, _, stopping = s.progress()
	return elapsed, stopping
}

func (s *Stop) progress() (elapsed time.Duration, timing Timing, stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == Serving {
		return 0, s.timing, false
	}
	return s.config.Clock().Sub(s.signalled), s.timing, true
}

// RetryAfter returns when who is refused in a shutdown should retry: at once if the balancer
// sends callers to another host, else once it has noticed.
func (s *Stop) RetryAfter() time.Duration {
	elapsed, timing, _ := s.progress()
	if s.config.OthersServe == nil || s.config.OthersServe() {
		return otherHostRetryAfter
	}
	return max(timing.Announced-elapsed, otherHostRetryAfter)
}

// Record records how long a request took to its end.
func (s *Stop) Record(r Request, duration time.Duration) { s.estimator.Record(r, duration) }

// State is a part of the state dump.
type State struct {
	Phase string `json:"phase"`
	// ElapsedMS is the time since the stop signal, RemainingMS that until the process ends at
	// the latest, both in ms; zero without a shutdown.
	ElapsedMS   int64     `json:"elapsedMS"`
	RemainingMS int64     `json:"remainingMS"`
	Decisions   Decisions `json:"decisions"`
}

// DumpState returns the state for the state dump.
func (s *Stop) DumpState() State {
	elapsed, stopping := s.Elapsed()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{Phase: s.phase.String()}
	for key, count := range s.decisions {
		if key.admitted {
			state.Decisions.Admitted += count
		} else {
			state.Decisions.Refused += count
		}
	}
	if stopping {
		state.ElapsedMS = elapsed.Milliseconds()
		state.RemainingMS = max(s.timing.Total()-elapsed, 0).Milliseconds()
	}
	return state
}

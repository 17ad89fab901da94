package endpoint

import (
	"math"
	"sort"
	"time"
)

// Outcome is the outcome of an attempt as it counts for outlier ejection.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeAnswered means that the response was complete.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means a failed dial, an error, or a response that was
	// incomplete, timed out or belonged to another attempt.
	OutcomeFailed
	// OutcomeCancelled says nothing about the endpoint's health, for example
	// because the caller disconnected.
	OutcomeCancelled
)

// EjectorConfig configures an Ejector.
type EjectorConfig struct {
	// ConsecutiveFailures is the number of consecutive failures after which
	// an endpoint is ejected.
	ConsecutiveFailures int
	// Base is the duration of the first ejection. Each further one doubles it.
	Base time.Duration
	// Max is the maximum duration of an ejection.
	Max time.Duration
	// MinAvailable is the minimum fraction of a group, 0 to 1, that is not
	// ejected.
	MinAvailable float64
}

// DefaultEjectorConfig returns the configuration that the daemon uses.
func DefaultEjectorConfig() EjectorConfig {
	return EjectorConfig{ConsecutiveFailures: 3, Base: 5 * time.Second, Max: time.Minute, MinAvailable: 0.5}
}

// penaltyHalfLife is the half-life of a failure's contribution to Penalty.
const penaltyHalfLife = 2 * time.Second

type ejection struct {
	group       string
	consecutive int
	ejections   int
	until       time.Time
	penalty     float64
	penaltyAt   time.Time
}

// Ejector performs outlier ejection: it decides which failing endpoints get no
// requests for a while, and always keeps a minimum fraction of each group.
// Callers pass in the time. It is not safe for concurrent use.
type Ejector struct {
	config    EjectorConfig
	endpoints map[string]*ejection
}

// NewEjector returns an Ejector without endpoints.
func NewEjector(config EjectorConfig) *Ejector {
	return &Ejector{config: config, endpoints: make(map[string]*ejection)}
}

// Add adds an endpoint to a group, or moves it there.
func (e *Ejector) Add(name, group string) {
	if known, ok := e.endpoints[name]; ok {
		known.group = group
		return
	}
	e.endpoints[name] = &ejection{group: group}
}

// Remove removes an endpoint and its failure history.
func (e *Ejector) Remove(name string) { delete(e.endpoints, name) }

// Observe records the outcome of an attempt. Outcomes of unknown endpoints are
// ignored.
func (e *Ejector) Observe(now time.Time, name string, outcome Outcome) {
	endpoint, ok := e.endpoints[name]
	if !ok || outcome == OutcomeCancelled {
		return
	}
	if outcome == OutcomeAnswered {
		endpoint.consecutive = 0
		if now.After(endpoint.until) {
			endpoint.ejections = 0
		}
		return
	}
	endpoint.penalty = endpoint.currentPenalty(now) + 1
	endpoint.penaltyAt = now
	endpoint.consecutive++
	if now.Before(endpoint.until) {
		return
	}
	onProbation := endpoint.ejections > 0
	if onProbation || endpoint.consecutive >= e.config.ConsecutiveFailures {
		length := min(e.config.Base<<min(endpoint.ejections, 16), e.config.Max)
		endpoint.until = now.Add(length)
		endpoint.ejections++
	}
}

// currentPenalty returns the penalty decayed to the given time.
func (e *ejection) currentPenalty(now time.Time) float64 {
	age := now.Sub(e.penaltyAt).Seconds() / penaltyHalfLife.Seconds()
	return e.penalty * math.Exp2(-age)
}

// Penalty returns the number of recent failures of an endpoint, decaying over
// time. It is added to the load, since an endpoint that fails fast would
// otherwise look idle.
func (e *Ejector) Penalty(now time.Time, name string) float64 {
	endpoint, ok := e.endpoints[name]
	if !ok {
		return 0
	}
	return endpoint.currentPenalty(now)
}

// Ejected returns the names of the endpoints that must get no requests now. If
// ejections would take a group below its minimum, the endpoints with the fewest
// failures stay in use.
func (e *Ejector) Ejected(now time.Time) map[string]bool {
	size := make(map[string]int)
	groups := make(map[string][]string)
	for name, endpoint := range e.endpoints {
		size[endpoint.group]++
		if now.Before(endpoint.until) {
			groups[endpoint.group] = append(groups[endpoint.group], name)
		}
	}
	ejected := make(map[string]bool)
	for group, names := range groups {
		kept := int(math.Ceil(e.config.MinAvailable * float64(size[group])))
		sort.Slice(names, func(i, j int) bool { return e.worse(now, names[i], names[j]) })
		for _, name := range names[:min(len(names), size[group]-kept)] {
			ejected[name] = true
		}
	}
	return ejected
}

// worse reports whether endpoint a is ejected in preference to b.
func (e *Ejector) worse(now time.Time, a, b string) bool {
	x, y := e.endpoints[a], e.endpoints[b]
	if x.consecutive != y.consecutive {
		return x.consecutive > y.consecutive
	}
	if px, py := x.currentPenalty(now), y.currentPenalty(now); px != py {
		return px > py
	}
	return a < b
}

package endpoint

import (
	"math"
	"sort"
	"time"
)

// Outcome tells how an attempt at an endpoint ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeAnswered is a whole answer.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is a failed dial, an error, or a cut, silent or
	// mismatched answer.
	OutcomeFailed
	// OutcomeCancelled says nothing of the endpoint: the caller went away.
	OutcomeCancelled
)

// EjectorConfig sets outlier ejection.
type EjectorConfig struct {
	// ConsecutiveFailures ejects an endpoint.
	ConsecutiveFailures int
	// Base is the first ejection's length; each further one doubles it.
	Base time.Duration
	// Max is the longest ejection.
	Max time.Duration
	// Floor is the part of a group, 0 to 1, that is never ejected.
	Floor float64
}

// DefaultEjectorConfig returns the ejection that the daemon uses.
func DefaultEjectorConfig() EjectorConfig {
	return EjectorConfig{ConsecutiveFailures: 3, Base: 5 * time.Second, Max: time.Minute, Floor: 0.5}
}

// penaltyHalfLife is the half-life of a failure's weight in the load.
const penaltyHalfLife = 2 * time.Second

type ejection struct {
	group       string
	consecutive int
	ejections   int
	until       time.Time
	penalty     float64
	penaltyAt   time.Time
}

// Ejector keeps requests away from endpoints that fail, but never from more
// than a part of a group. It reads no clock and is not safe for concurrent
// use.
type Ejector struct {
	config    EjectorConfig
	endpoints map[string]*ejection
}

// NewEjector returns an ejector that knows no endpoint.
func NewEjector(config EjectorConfig) *Ejector {
	return &Ejector{config: config, endpoints: make(map[string]*ejection)}
}

// Add makes an endpoint known as a member of the group.
func (e *Ejector) Add(name, group string) {
	if known, ok := e.endpoints[name]; ok {
		known.group = group
		return
	}
	e.endpoints[name] = &ejection{group: group}
}

// Remove forgets an endpoint.
func (e *Ejector) Remove(name string) { delete(e.endpoints, name) }

// Observe takes account of an attempt's outcome.
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
	endpoint.penalty = endpoint.decayed(now) + 1
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

func (e *ejection) decayed(now time.Time) float64 {
	age := now.Sub(e.penaltyAt).Seconds() / penaltyHalfLife.Seconds()
	return e.penalty * math.Exp2(-age)
}

// Penalty returns the recent failures of an endpoint, decaying with time, so
// that failing fast doesn't look like low load.
func (e *Ejector) Penalty(now time.Time, name string) float64 {
	endpoint, ok := e.endpoints[name]
	if !ok {
		return 0
	}
	return endpoint.decayed(now)
}

// Ejected returns the endpoints that are to get no requests now. Within each
// group the floor is kept by taking back those that failed least.
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
		kept := int(math.Ceil(e.config.Floor * float64(size[group])))
		sort.Slice(names, func(i, j int) bool { return e.worse(now, names[i], names[j]) })
		for _, name := range names[:min(len(names), size[group]-kept)] {
			ejected[name] = true
		}
	}
	return ejected
}

func (e *Ejector) worse(now time.Time, a, b string) bool {
	x, y := e.endpoints[a], e.endpoints[b]
	if x.consecutive != y.consecutive {
		return x.consecutive > y.consecutive
	}
	if px, py := x.decayed(now), y.decayed(now); px != py {
		return px > py
	}
	return a < b
}

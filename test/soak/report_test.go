//go:build soak

package soak_test

import (
	"fmt"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
)

// maxExamples is the number of violations that the report describes in full.
const maxExamples = 20

// report is the result of a run, printed as JSON. Its methods outcome, fault and
// violation are safe for concurrent use.
type report struct {
	mu sync.Mutex

	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Violations counts violations by kind; Examples describes the first ones.
	Violations map[string]int `json:"violations"`
	Examples   []string       `json:"examples"`
	// Platform holds the rates of calls to the platform during the run.
	Platform  callRates `json:"platform"`
	RecoverMS int64     `json:"recoverMillis"`
	// LimitedTokens is the sum of prompt tokens and requested tokens of the limited
	// organisation's successful requests.
	LimitedTokens int `json:"limitedTokens"`
}

// callRates holds rates of platform calls, and the number of watches that were
// waiting at the end.
type callRates struct {
	Writes         float64 `json:"writesPerSecond"`
	Reads          float64 `json:"readsPerSecond"`
	Gets           float64 `json:"getsPerSecond"`
	Lists          float64 `json:"listsPerSecond"`
	Creates        float64 `json:"createsPerSecond"`
	Updates        float64 `json:"updatesPerSecond"`
	Deletes        float64 `json:"deletesPerSecond"`
	Watches        float64 `json:"watchesPerSecond"`
	HostLists      float64 `json:"hostListsPerSecond"`
	WaitingWatches int     `json:"waitingWatches"`
}

func newReport() *report {
	return &report{Outcomes: make(map[string]int), Faults: make(map[string]int), Violations: make(map[string]int)}
}

func (r *report) outcome(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	r.Outcomes[name]++
}

func (r *report) fault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults[name]++
}

func (r *report) violation(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations[kind]++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, kind+": "+fmt.Sprintf(format, args...))
	}
}

// platform sets the call rates from the stand-in's states before and after the run.
func (r *report) platform(before, after platformserver.State) {
	seconds := (time.Duration(after.UptimeMillis-before.UptimeMillis) * time.Millisecond).Seconds()
	rate := func(count func(platformserver.Calls) int64) float64 {
		return float64(count(after.Calls)-count(before.Calls)) / seconds
	}
	r.Platform = callRates{
		Writes:         rate(platformserver.Calls.Writes),
		Reads:          rate(platformserver.Calls.Reads),
		Gets:           rate(func(c platformserver.Calls) int64 { return c.Get }),
		Lists:          rate(func(c platformserver.Calls) int64 { return c.List }),
		Creates:        rate(func(c platformserver.Calls) int64 { return c.Create }),
		Updates:        rate(func(c platformserver.Calls) int64 { return c.Update }),
		Deletes:        rate(func(c platformserver.Calls) int64 { return c.Delete }),
		Watches:        rate(func(c platformserver.Calls) int64 { return c.Watch }),
		HostLists:      rate(func(c platformserver.Calls) int64 { return c.HostList }),
		WaitingWatches: after.WaitingWatches,
	}
}

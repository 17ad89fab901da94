//go:build soak

package soak_test

import (
	"fmt"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
)

// maxExamples is the number of violations that are told in full.
const maxExamples = 20

// report is what a run ends with.
type report struct {
	mu sync.Mutex

	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Violations counts them by kind; Examples tells the first ones.
	Violations map[string]int `json:"violations"`
	Examples   []string       `json:"examples"`
	// Platform is in calls per second.
	Platform  callRates `json:"platform"`
	RecoverMS int64     `json:"recoverMillis"`
	// LimitedTokens are the tokens of the limited organisation that ran.
	LimitedTokens int `json:"limitedTokens"`
}

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

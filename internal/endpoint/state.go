// Package endpoint talks to model engines and plain services: load reports,
// cache events, orders, health and the registry of what is known of each.
package endpoint

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// State is what this host knows of one endpoint.
type State struct {
	// Config is the configured object.
	Config *apiv1.Endpoint
	// Report is the last report of an engine; its zero value means none yet.
	Report engineapi.Report
	// ReportedAt is when the request for the last report was sent.
	ReportedAt time.Time
	// ReportAge is the age of the state that the last report shows.
	ReportAge time.Duration
	// Reachable is false after the endpoint failed to answer for longer than
	// the health timeout.
	Reachable bool
	// Leaving is set by any evidence that the endpoint is going away.
	Leaving bool
	// Ejected is set while outlier ejection keeps requests away.
	Ejected bool
	// InFlight counts this host's own running requests.
	InFlight int
	// TokensInFlight is the sum of their estimated remaining tokens.
	TokensInFlight int64
	// SentSinceReport is by how much this host's own running requests have
	// grown since the engine took the state that it reported; it may be
	// negative.
	SentSinceReport int
	// FirstTokens is, by model, the recent mean time from a send to the first
	// part of an answer. A model without one is not known. It is not changed.
	FirstTokens map[string]time.Duration
	// Penalty is the number of recent failures, decaying with time.
	Penalty float64
	// Prefixes is what is known of the engine's prompt cache. Nil means
	// nothing.
	Prefixes *PrefixSet
}

// Available reports whether new work may go to the endpoint.
func (s *State) Available() bool {
	return s.Reachable && !s.Leaving && !s.Ejected && !s.Config.GetDraining()
}

// Load estimates the requests that run or wait at the endpoint: what it
// reported, corrected by what this host has sent since, and at least what
// this host itself has running there.
func (s *State) Load() float64 {
	load := s.Report.Running + s.Report.Queued + s.SentSinceReport
	return float64(max(load, s.InFlight)) + s.Penalty
}

// OthersAtReport returns the requests of other hosts that ran or waited at
// the endpoint when it took the state that it reported.
func (s *State) OthersAtReport() float64 {
	own := s.InFlight - s.SentSinceReport
	return float64(max(s.Report.Running+s.Report.Queued-own, 0))
}

// defaultMaxConcurrent applies where an endpoint's limit is zero.
const defaultMaxConcurrent = 16

// Capacity returns how many requests the endpoint runs at once.
func (s *State) Capacity() int {
	if limit := int(s.Config.GetMaxConcurrent()); limit > 0 {
		return limit
	}
	return defaultMaxConcurrent
}

// HoldsModel reports whether the engine has the model version ready.
func (s *State) HoldsModel(model, version string) bool {
	for _, held := range s.Report.Models {
		if held.Model == model && held.Version == version && held.State == engineapi.ItemReady {
			return true
		}
	}
	return false
}

// HoldsAdapter reports whether the engine has the adapter ready.
func (s *State) HoldsAdapter(adapter string) bool {
	for _, held := range s.Report.Adapters {
		if held.Adapter == adapter && held.State == engineapi.ItemReady {
			return true
		}
	}
	return false
}

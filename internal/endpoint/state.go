// Package endpoint implements the client side of model engines and plain
// services: sending attempts and orders, polling load reports and cache events,
// outlier ejection, and a registry of the state of all endpoints.
package endpoint

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// State is a snapshot of an endpoint's state as seen by this host.
type State struct {
	// Config is the endpoint's configuration. It must not be modified.
	Config *apiv1.Endpoint
	// Report is the endpoint's last report. The zero value means that there is
	// none yet.
	Report engineapi.Report
	// ReportedAt is when the request for the last report was sent.
	ReportedAt time.Time
	// ReportAge is the age of the data in the last report.
	ReportAge time.Duration
	// Reachable reports whether the endpoint has responded within the health
	// timeout.
	Reachable bool
	// Draining reports whether the endpoint is draining according to its
	// configuration, its last report or a response since.
	Draining bool
	// Ejected reports whether the endpoint is excluded by outlier ejection.
	Ejected bool
	// InFlight is the number of this host's in-flight requests.
	InFlight int
	// TokensInFlight is the sum of the estimated tokens of these requests.
	TokensInFlight int64
	// InFlightDelta is the change in this host's in-flight requests since the
	// time of the data in the last report. It may be negative.
	InFlightDelta int
	// FirstTokenLatency is the recent mean time from sending a request to the
	// first part of the response, by model. Models without recent samples are
	// missing. It must not be modified.
	FirstTokenLatency map[string]time.Duration
	// Penalty is the number of recent failures, decaying over time.
	Penalty float64
	// Prefixes approximates the set of prompt prefixes that the engine has
	// cached. Nil means that none are known.
	Prefixes *PrefixSet
}

// Available reports whether new requests may be sent to the endpoint.
func (s *State) Available() bool {
	return s.Reachable && !s.Draining && !s.Ejected && !s.Config.GetDraining()
}

// Load estimates the number of requests running or queued at the endpoint: the
// reported number, adjusted by the change in this host's in-flight requests
// since, but at least this host's in-flight requests. Penalty is added.
func (s *State) Load() float64 {
	load := s.Report.Running + s.Report.Queued + s.InFlightDelta
	return float64(max(load, s.InFlight)) + s.Penalty
}

// OtherHostsLoad returns the number of other hosts' requests running or queued
// at the endpoint at the time of the data in the last report.
func (s *State) OtherHostsLoad() float64 {
	own := s.InFlight - s.InFlightDelta
	return float64(max(s.Report.Running+s.Report.Queued-own, 0))
}

// defaultMaxConcurrent is used for endpoints without a configured limit.
const defaultMaxConcurrent = 16

// Capacity returns the maximum number of requests that the endpoint runs
// concurrently.
func (s *State) Capacity() int {
	if limit := int(s.Config.GetMaxConcurrent()); limit > 0 {
		return limit
	}
	return defaultMaxConcurrent
}

// HoldsModel reports whether the engine has loaded the model version and can
// serve it.
func (s *State) HoldsModel(model, version string) bool {
	for _, loaded := range s.Report.Models {
		if loaded.Model == model && loaded.Version == version && loaded.State == engineapi.ItemReady {
			return true
		}
	}
	return false
}

// HoldsAdapter reports whether the engine has loaded the adapter and can serve
// it.
func (s *State) HoldsAdapter(adapter string) bool {
	for _, loaded := range s.Report.Adapters {
		if loaded.Adapter == adapter && loaded.State == engineapi.ItemReady {
			return true
		}
	}
	return false
}

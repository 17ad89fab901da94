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

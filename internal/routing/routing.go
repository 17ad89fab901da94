// Package routing decides which endpoint gets a request. It does no I/O and
// reads no clock.
package routing

import (
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// Request is what a choice depends on. The zero value asks for nothing and
// no endpoint suits it.
type Request struct {
	// Zone is the host's own availability zone, whose endpoints come first.
	Zone string
	// Service names a plain service; empty for a model.
	Service string
	// Model and Version name what an engine must hold.
	Model   string
	Version string
	// Adapter is held by the engine as well, unless empty.
	Adapter string
	// Prefix is the hash of the prompt's prefix; zero for none.
	Prefix uint64
	// Tried lists endpoints that already failed this request. They are
	// chosen again only where no other suits.
	Tried []string
}

// Reason tells why no endpoint was chosen.
type Reason string

// The reasons for which no endpoint is chosen.
const (
	// ReasonNone means that there is a choice.
	ReasonNone Reason = ""
	// ReasonNotHeld means that no engine holds the model or adapter.
	ReasonNotHeld Reason = "not_resident"
	// ReasonUnavailable means that all that hold it are unreachable, leaving
	// or ejected.
	ReasonUnavailable Reason = "no_endpoint_available"
	// ReasonFull means that all available ones are at their capacity.
	ReasonFull Reason = "endpoints_full"
)

// Eligible returns the states that may get the request and have room for it,
// those not yet tried first; or none and the reason.
func Eligible(states []endpoint.State, req Request) ([]endpoint.State, Reason) {
	holding := filter(states, func(s *endpoint.State) bool { return holds(s, req) })
	if len(holding) == 0 {
		return nil, ReasonNotHeld
	}
	available := filter(holding, (*endpoint.State).Available)
	if len(available) == 0 {
		return nil, ReasonUnavailable
	}
	roomy := withRoom(available)
	if len(roomy) == 0 {
		return nil, ReasonFull
	}
	untried := filter(roomy, func(s *endpoint.State) bool { return !contains(req.Tried, s.Config.GetName()) })
	if len(untried) > 0 {
		return untried, ReasonNone
	}
	return roomy, ReasonNone
}

func withRoom(states []endpoint.State) []endpoint.State {
	loads := estimates(states)
	kept := make([]endpoint.State, 0, len(states))
	for i := range states {
		if loads[i] < float64(states[i].Capacity()) && states[i].InFlight < states[i].Capacity() {
			kept = append(kept, states[i])
		}
	}
	return kept
}

func filter(states []endpoint.State, keep func(*endpoint.State) bool) []endpoint.State {
	kept := make([]endpoint.State, 0, len(states))
	for i := range states {
		if keep(&states[i]) {
			kept = append(kept, states[i])
		}
	}
	return kept
}

func holds(s *endpoint.State, req Request) bool {
	if req.Service != "" {
		return s.Config.GetKind() == apiv1.EndpointKind_ENDPOINT_KIND_SERVICE && s.Config.GetService() == req.Service
	}
	if s.Config.GetKind() != apiv1.EndpointKind_ENDPOINT_KIND_ENGINE {
		return false
	}
	return s.HoldsModel(req.Model, req.Version) && (req.Adapter == "" || s.HoldsAdapter(req.Adapter))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// Pool names the group of endpoints that requests like this compete for. It
// is empty while no endpoint holds what the request needs.
func Pool(states []endpoint.State, req Request) string {
	for i := range states {
		if holds(&states[i], req) {
			return endpoint.Group(states[i].Config)
		}
	}
	return ""
}

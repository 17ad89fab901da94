// Package routing chooses the endpoint for a request: it selects the eligible
// endpoints and holds the load balancing policies. It does no I/O and reads no
// clock.
package routing

import (
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// Request describes a request as far as the choice of its endpoint depends on it.
// No endpoint is eligible for the zero value.
type Request struct {
	// Zone is the host's own availability zone, whose endpoints are preferred.
	Zone string
	// Service names a plain service; empty for a model.
	Service string
	// Model and Version name what an engine must hold.
	Model   string
	Version string
	// Adapter is an adapter that the engine must hold as well; empty for none.
	Adapter string
	// Prefix is the hash of the prompt's prefix; zero for none.
	Prefix uint64
	// Tried lists the names of endpoints that already failed this request. They
	// are eligible only if no other endpoint is.
	Tried []string
}

// Reason is the reason why no endpoint is eligible.
type Reason string

// The reasons why no endpoint is eligible.
const (
	// ReasonNone means that there are eligible endpoints.
	ReasonNone Reason = ""
	// ReasonNotHeld means that no endpoint holds the model and adapter, or serves
	// the plain service.
	ReasonNotHeld Reason = "not_resident"
	// ReasonUnavailable means that all endpoints that hold it are unreachable,
	// draining or ejected.
	ReasonUnavailable Reason = "no_endpoint_available"
	// ReasonFull means that all available endpoints are at their capacity.
	ReasonFull Reason = "endpoints_full"
)

// Eligible returns the states of the endpoints that hold what the request needs,
// are available and are below their capacity. Tried endpoints are included only
// if there is no other. If there is none at all, it returns the reason.
func Eligible(states []endpoint.State, req Request) ([]endpoint.State, Reason) {
	holding := filter(states, func(s *endpoint.State) bool { return holds(s, req) })
	if len(holding) == 0 {
		return nil, ReasonNotHeld
	}
	available := filter(holding, (*endpoint.State).Available)
	if len(available) == 0 {
		return nil, ReasonUnavailable
	}
	belowCapacity := filterBelowCapacity(available)
	if len(belowCapacity) == 0 {
		return nil, ReasonFull
	}
	untried := filter(belowCapacity, func(s *endpoint.State) bool { return !contains(req.Tried, s.Config.GetName()) })
	if len(untried) > 0 {
		return untried, ReasonNone
	}
	return belowCapacity, ReasonNone
}

func filterBelowCapacity(states []endpoint.State) []endpoint.State {
	loads := estimateLoads(states)
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

// holds reports whether an endpoint serves the request's plain service, or is an
// engine that holds its model and adapter.
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

// Pool returns the name of the group of endpoints that requests like this one
// compete for. It is empty while no endpoint holds what the request needs.
func Pool(states []endpoint.State, req Request) string {
	for i := range states {
		if holds(&states[i], req) {
			return endpoint.Group(states[i].Config)
		}
	}
	return ""
}

package fleet

// endpointState is one endpoint in the state dump.
type endpointState struct {
	Endpoint
	Removed bool `json:"gone"`
	// Suspended is set while the entry can't be used.
	Suspended    bool `json:"suspended"`
	Running      int  `json:"running"`
	UnreadTokens int  `json:"unreadTokens"`
	Load         Load `json:"load"`
	LoadAgeMS    int64
	// Penalty is the number of this host's recent failures there, decaying with
	// time. PeerFailures is the weighted number reported by peers.
	Penalty      float64 `json:"penalty"`
	PeerFailures float64 `json:"told"`
	// LimitPerSecond is the rate that the endpoint takes from all hosts together; zero
	// if it names none. LimitDemand is this host's demand for it.
	LimitPerSecond float64 `json:"limitPerSecond"`
	LimitDemand    float64 `json:"limitDemand"`
	// Speed is the baseline speed relative to the median of the service's endpoints; 1 if it
	// is unknown or differs too little to tell it from noise.
	Speed float64 `json:"speed"`
	// ColdPerSecond is the rate that the endpoint takes from all hosts together while it
	// is cold, or just after; zero if it is warm. ColdDemand is this host's demand for it.
	ColdPerSecond float64 `json:"coldPerSecond"`
	ColdDemand    float64 `json:"coldDemand"`
}

// DumpState returns the state of all endpoints, for the state dump.
func (r *Registry) DumpState() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	states := make([]endpointState, 0, len(r.members))
	for _, m := range r.members {
		state := endpointState{
			Endpoint: m.Endpoint, Removed: !m.removedAt.IsZero(), Suspended: m.suspended, Running: m.running, UnreadTokens: m.unreadTokens,
			Load: m.load, LoadAgeMS: now.Sub(m.loadAt).Milliseconds(), Penalty: r.ejector.Penalty(now, m.ID), PeerFailures: r.peerTotals[m.ID].failures(),
			Speed: 1 / r.speeds.estimator.Slowness(m.ID),
		}
		if limit := m.limit.inForce; limit != nil {
			state.LimitPerSecond, state.LimitDemand = limit.PerSecond(), limit.Demand(now)
		}
		if limit := m.cold.limit; limit != nil {
			state.ColdPerSecond, state.ColdDemand = limit.PerSecond(), limit.Demand(now)
		}
		states = append(states, state)
	}
	return states
}

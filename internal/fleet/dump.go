package fleet

// endpointState is one endpoint in the state dump.
type endpointState struct {
	Endpoint
	Gone         bool `json:"gone"`
	Running      int  `json:"running"`
	UnreadTokens int  `json:"unreadTokens"`
	Load         Load `json:"load"`
	LoadAgeMS    int64
	// Penalty is this host's recent failures there, Told those that other
	// hosts tell of, by their weight.
	Penalty float64 `json:"penalty"`
	Told    float64 `json:"told"`
}

// DumpState returns what is known of all endpoints.
func (r *Registry) DumpState() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	states := make([]endpointState, 0, len(r.members))
	for _, m := range r.members {
		states = append(states, endpointState{
			Endpoint: m.Endpoint, Gone: !m.gone.IsZero(), Running: m.running, UnreadTokens: m.unreadTokens,
			Load: m.load, LoadAgeMS: now.Sub(m.loadAt).Milliseconds(), Penalty: r.ejector.Penalty(now, m.ID), Told: r.others[m.ID].told(),
		})
	}
	return states
}

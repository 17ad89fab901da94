package claims

import "sort"

// StoreState is a Store's section of the state dump.
type StoreState struct {
	// Claims are this process's claims whose final state is not written yet,
	// oldest first.
	Claims []ClaimState `json:"claims"`
	// PendingWrites is the number of Claims that have ended and whose final
	// state is to be written.
	PendingWrites int `json:"pendingWrites"`
}

// ClaimState is one claim in the state dump. Name is the name of the claim's
// object, a hash; AgeMillis is the time since Begin.
type ClaimState struct {
	Name      string `json:"name"`
	State     State  `json:"state"`
	AgeMillis int64  `json:"ageMillis"`
}

// DumpState returns a StoreState.
func (s *Store) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := StoreState{Claims: make([]ClaimState, 0, len(s.local)), PendingWrites: len(s.pending)}
	now := s.config.Clock()
	for name, claim := range s.local {
		state.Claims = append(state.Claims, ClaimState{
			Name: name, State: claim.current().State, AgeMillis: now.Sub(claim.startedAt).Milliseconds(),
		})
	}
	sort.Slice(state.Claims, func(i, j int) bool { return state.Claims[i].AgeMillis > state.Claims[j].AgeMillis })
	return state
}

package claims

import "sort"

// BookState is a Book's section of the state dump.
type BookState struct {
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

// DumpState returns a BookState.
func (b *Book) DumpState() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := BookState{Claims: make([]ClaimState, 0, len(b.local)), PendingWrites: len(b.pending)}
	now := b.config.Clock()
	for name, claim := range b.local {
		state.Claims = append(state.Claims, ClaimState{
			Name: name, State: claim.current().State, AgeMillis: now.Sub(claim.startedAt).Milliseconds(),
		})
	}
	sort.Slice(state.Claims, func(i, j int) bool { return state.Claims[i].AgeMillis > state.Claims[j].AgeMillis })
	return state
}

package claims

import "sort"

// BookState is a Book's part of the state dump.
type BookState struct {
	// Claims are this process's own claims that are not written in their
	// final state yet, oldest first.
	Claims []ClaimState `json:"claims"`
	// PendingWrites counts those of them that have ended.
	PendingWrites int `json:"pendingWrites"`
}

// ClaimState is one claim in the state dump. Its name is a hash.
type ClaimState struct {
	Name      string `json:"name"`
	State     State  `json:"state"`
	AgeMillis int64  `json:"ageMillis"`
}

// DumpState returns the book's part of the state dump.
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

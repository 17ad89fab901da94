package claims

// bookState is the book in the state dump.
type bookState struct {
	// Running are this process's own claims that are not settled yet.
	Running []claimState `json:"running"`
	// PendingWrites is the number of records that wait for the platform.
	PendingWrites int `json:"pendingWrites"`
}

// claimState is one claim in the state dump.
type claimState struct {
	Name      string `json:"name"`
	State     State  `json:"state"`
	AgeMillis int64  `json:"ageMillis"`
}

// DumpState returns the claims in progress, each with its age.
func (b *Book) DumpState() any {
	now := b.config.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	state := bookState{PendingWrites: len(b.pending), Running: make([]claimState, 0, len(b.local))}
	for name, claim := range b.local {
		state.Running = append(state.Running, claimState{
			Name: name, State: claim.current().State, AgeMillis: now.Sub(claim.startedAt).Milliseconds(),
		})
	}
	return state
}

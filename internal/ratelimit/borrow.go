package ratelimit

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// hintLifetime is how long a peer's hint is used before it is stale.
	hintLifetime = 5 * time.Second
	// initialBackoff is how long a host sends no loan requests for an
	// organisation after its peers did not have enough tokens, so that an
	// organisation above its rate costs few messages. It doubles on each
	// failure, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// maxPeersPerRound limits the peers that receive a request in one round.
	maxPeersPerRound = 3
	// singlePeerMargin is the multiple of the missing tokens that a peer's hint
	// must show for that peer to be the only one requested.
	singlePeerMargin = 1.5
	// overRequestFactor is the ratio of the tokens requested from all peers of
	// a round to the missing tokens.
	overRequestFactor = 1.3
)

// Borrower chooses the peers from which to borrow tokens, based on their hints
// of spare tokens, and backs off after failed attempts. It is not safe for
// concurrent use.
type Borrower struct {
	random   *rand.Rand
	hints    map[hintKey]hint
	backoffs map[string]backoffState
}

type hintKey struct{ peer, organisation string }

// hint is the state of a peer's bucket at the time at.
type hint struct {
	tokens, room float64
	at           time.Time
}

// backoffState ends at until; delay is its length, doubled by the next failure.
type backoffState struct {
	until time.Time
	delay time.Duration
}

// PeerRequest is the number of tokens to request from one peer.
type PeerRequest struct {
	Peer   string
	Tokens float64
}

// NewBorrower returns a borrower without hints. The random source varies the
// order of peers with similar hints.
func NewBorrower(random *rand.Rand) *Borrower {
	return &Borrower{random: random, hints: make(map[hintKey]hint), backoffs: make(map[string]backoffState)}
}

// SetHints replaces the hints of a peer with spares, the complete list of what the
// peer could lend. Entries beyond the limit for one peer are ignored.
func (b *Borrower) SetHints(now time.Time, peer string, spares []Spare) {
	for key := range b.hints {
		if key.peer == peer {
			delete(b.hints, key)
		}
	}
	for _, spare := range spares[:min(len(spares), maxSpares)] {
		b.hints[hintKey{peer, spare.Organisation}] = hint{spare.Tokens, spare.Room, now}
	}
}

// RecordResponse updates the hint of a peer after it granted tokens in response
// to request. A peer that granted less than requested has no tokens left.
func (b *Borrower) RecordResponse(now time.Time, organisation string, request PeerRequest, granted float64) {
	key := hintKey{request.Peer, organisation}
	corrected := hint{room: request.Tokens, at: now}
	if granted >= request.Tokens {
		corrected.tokens = max(0, b.hints[key].tokens-granted)
		corrected.room = b.hints[key].room + granted
	}
	b.hints[key] = corrected
}

// MayBorrow reports whether no backoff is in effect for the organisation, so that
// peers may receive requests for its tokens.
func (b *Borrower) MayBorrow(now time.Time, organisation string) bool {
	return !now.Before(b.backoffs[organisation].until)
}

// Failed records that peers did not have enough tokens, and starts or doubles
// the organisation's backoff.
func (b *Borrower) Failed(now time.Time, organisation string) {
	delay := min(max(initialBackoff, 2*b.backoffs[organisation].delay), maxBackoff)
	b.backoffs[organisation] = backoffState{until: now.Add(delay), delay: delay}
}

// Succeeded records that peers had enough tokens, and resets the backoff.
func (b *Borrower) Succeeded(organisation string) { delete(b.backoffs, organisation) }

// PlanRound chooses the peers for the next round of requests and the tokens to
// request from each. If the best peer's hint leaves sufficient headroom, it is
// the only one. Otherwise a few peers share the request in proportion to their
// hints.
func (b *Borrower) PlanRound(now time.Time, organisation string, missing float64, peers []string) []PeerRequest {
	type candidate struct {
		peer         string
		tokens, rank float64
	}
	candidates := make([]candidate, 0, len(peers))
	for _, peer := range peers {
		tokens := b.hintedTokens(now, peer, organisation)
		candidates = append(candidates, candidate{peer, tokens, (1 + tokens) * (0.8 + 0.2*b.random.Float64())})
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].rank > candidates[j].rank })
	candidates = candidates[:min(maxPeersPerRound, len(candidates))]
	if len(candidates) > 0 && candidates[0].tokens >= singlePeerMargin*missing {
		return []PeerRequest{{candidates[0].peer, missing}}
	}
	total := 0.0
	for _, c := range candidates {
		total += 1 + c.tokens
	}
	requests := make([]PeerRequest, 0, len(candidates))
	for _, c := range candidates {
		portion := missing * overRequestFactor * (1 + c.tokens) / total
		requests = append(requests, PeerRequest{c.peer, min(missing, portion)})
	}
	return requests
}

// hintedTokens returns a peer's spare tokens according to its latest hint, or
// zero if there is no hint or it is stale.
func (b *Borrower) hintedTokens(now time.Time, peer, organisation string) float64 {
	known, ok := b.hints[hintKey{peer, organisation}]
	if !ok || now.Sub(known.at) > hintLifetime {
		return 0
	}
	return known.tokens
}

package ratelimit

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// hintLifetime is how long a peer's hint is heeded.
	hintLifetime = 5 * time.Second
	// dryPause is how long a host does not ask again after no peer had
	// enough, so that an organisation above its rate costs few messages.
	dryPause = 100 * time.Millisecond
	// maxPause limits the pause after repeated failures.
	maxPause = 400 * time.Millisecond
)

// Borrower decides which peers to ask for tokens, and when not to ask. It is
// not safe for concurrent use.
type Borrower struct {
	random *rand.Rand
	hints  map[hintKey]hint
	dry    map[string]dryState
}

type hintKey struct{ peer, organisation string }

type hint struct {
	tokens float64
	at     time.Time
}

type dryState struct {
	until time.Time
	pause time.Duration
}

// NewBorrower returns a borrower without hints.
func NewBorrower(random *rand.Rand) *Borrower {
	return &Borrower{random: random, hints: make(map[hintKey]hint), dry: make(map[string]dryState)}
}

// Hint takes the complete list of what a peer could lend.
func (b *Borrower) Hint(now time.Time, peer string, spares []Spare) {
	for key := range b.hints {
		if key.peer == peer {
			delete(b.hints, key)
		}
	}
	for _, spare := range spares[:min(len(spares), maxSpares)] {
		b.hints[hintKey{peer, spare.Organisation}] = hint{spare.Tokens, now}
	}
}

// Answered corrects a hint by what the peer gave.
func (b *Borrower) Answered(now time.Time, peer string, request Request, given Loan) {
	key := hintKey{peer, request.Organisation}
	left := hint{at: now}
	if given.Tokens >= request.Tokens {
		left.tokens = max(0, b.hints[key].tokens-given.Tokens)
	}
	b.hints[key] = left
}

// MayAsk reports whether peers are to be asked at all for the organisation.
func (b *Borrower) MayAsk(now time.Time, organisation string) bool {
	return !now.Before(b.dry[organisation].until)
}

// Failed notes that the peers asked did not have enough.
func (b *Borrower) Failed(now time.Time, organisation string) {
	pause := min(max(dryPause, 2*b.dry[organisation].pause), maxPause)
	b.dry[organisation] = dryState{until: now.Add(pause), pause: pause}
}

// Succeeded notes that peers had enough.
func (b *Borrower) Succeeded(organisation string) { delete(b.dry, organisation) }

// Pick chooses up to n of the peers, at random but weighted by their hints, so
// that several borrowers do not all ask the same one.
func (b *Borrower) Pick(now time.Time, organisation string, peers []string, n int) []string {
	type candidate struct {
		peer string
		rank float64
	}
	candidates := make([]candidate, 0, len(peers))
	for _, peer := range peers {
		weight := b.weight(now, peer, organisation)
		candidates = append(candidates, candidate{peer, math.Log(1-b.random.Float64()) / weight})
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].rank > candidates[j].rank })
	chosen := make([]string, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, c.peer)
	}
	return chosen
}

// weight is the hinted tokens; a peer of which nothing is known counts little.
func (b *Borrower) weight(now time.Time, peer, organisation string) float64 {
	known, ok := b.hints[hintKey{peer, organisation}]
	if !ok || now.Sub(known.at) > hintLifetime {
		return 1
	}
	return 1 + known.tokens
}

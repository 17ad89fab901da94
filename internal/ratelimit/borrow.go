package ratelimit

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// hintLifetime is how long a peer's hint is heeded.
	hintLifetime = 5 * time.Second
	// firstPause is how long a host does not ask again after no peer had
	// enough, so that an organisation above its rate costs few messages; it
	// doubles up to maxPause.
	firstPause = 100 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// peersPerRound is how many peers are asked at once, at most.
	peersPerRound = 3
	// ample is how many times the missing tokens a peer must have hinted at to
	// be asked alone.
	ample = 1.5
	// spreadFactor is how much more than is missing the peers of one round
	// are asked for together.
	spreadFactor = 1.3
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
	tokens, room float64
	at           time.Time
}

type dryState struct {
	until time.Time
	pause time.Duration
}

// Question is how many tokens a peer is to be asked for.
type Question struct {
	Peer   string
	Tokens float64
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
		b.hints[hintKey{peer, spare.Organisation}] = hint{spare.Tokens, spare.Room, now}
	}
}

// Answered corrects a hint by what the peer gave.
func (b *Borrower) Answered(now time.Time, organisation string, asked Question, given float64) {
	key := hintKey{asked.Peer, organisation}
	left := hint{room: asked.Tokens, at: now}
	if given >= asked.Tokens {
		left.tokens = max(0, b.hints[key].tokens-given)
		left.room = b.hints[key].room + given
	}
	b.hints[key] = left
}

// MayAsk reports whether peers are to be asked at all for the organisation.
func (b *Borrower) MayAsk(now time.Time, organisation string) bool {
	return !now.Before(b.dry[organisation].until)
}

// Failed notes that the peers asked did not have enough.
func (b *Borrower) Failed(now time.Time, organisation string) {
	pause := min(max(firstPause, 2*b.dry[organisation].pause), maxPause)
	b.dry[organisation] = dryState{until: now.Add(pause), pause: pause}
}

// Succeeded notes that peers had enough.
func (b *Borrower) Succeeded(organisation string) { delete(b.dry, organisation) }

// Round chooses the peers to ask next: the one with the most tokens alone if
// it should have ample, and otherwise a few, each for its part.
func (b *Borrower) Round(now time.Time, organisation string, missing float64, peers []string) []Question {
	type candidate struct {
		peer         string
		tokens, rank float64
	}
	candidates := make([]candidate, 0, len(peers))
	for _, peer := range peers {
		tokens := b.hinted(now, peer, organisation)
		candidates = append(candidates, candidate{peer, tokens, (1 + tokens) * (0.8 + 0.2*b.random.Float64())})
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].rank > candidates[j].rank })
	candidates = candidates[:min(peersPerRound, len(candidates))]
	if len(candidates) > 0 && candidates[0].tokens >= ample*missing {
		return []Question{{candidates[0].peer, missing}}
	}
	total := 0.0
	for _, c := range candidates {
		total += 1 + c.tokens
	}
	questions := make([]Question, 0, len(candidates))
	for _, c := range candidates {
		part := missing * spreadFactor * (1 + c.tokens) / total
		questions = append(questions, Question{c.peer, min(missing, part)})
	}
	return questions
}

// hinted is what a peer is thought to have; zero where nothing is known.
func (b *Borrower) hinted(now time.Time, peer, organisation string) float64 {
	known, ok := b.hints[hintKey{peer, organisation}]
	if !ok || now.Sub(known.at) > hintLifetime {
		return 0
	}
	return known.tokens
}

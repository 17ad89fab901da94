package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"bilberryslip.example/bilberryslip/internal/membership"
)

const (
	// admitMargin is what a lender waits beyond a borrower's time to admit.
	admitMargin = 50 * time.Millisecond
	// maxSpares is the most organisations in a hint to peers.
	maxSpares = 16
)

// Policy is an organisation's limit over all hosts together.
type Policy struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// Config sets up a Limiter. Zero values mean the defaults.
type Config struct {
	Lease LeaseConfig
	// Admit is how long after its first question to peers a host may grant
	// what it borrowed. Default 1 s.
	Admit time.Duration
	// Hold is how long a lender waits for a settlement. Default 60 s.
	Hold time.Duration
	// NoBorrowing switches lending and borrowing off.
	NoBorrowing bool
}

// Limiter decides what one process may grant to each organisation. It is not
// safe for concurrent use.
type Limiter struct {
	config   Config
	tenure   *Tenure
	accounts map[string]*account
	// updated is up to when lapsed leases and holds have been taken into
	// account; next is the earliest time at which another one may lapse.
	updated, next time.Time
	// held are the transfers to peers, by identifier.
	held map[string]*transfer
	// pulled are the running transfers to this host's own bucket.
	pulled map[string]*pull
}

type account struct {
	policy Policy
	bucket Bucket
}

// transfer is tokens reserved for a peer's request.
type transfer struct {
	organisation string
	tokens       float64
	// grant is nil where nothing was lent.
	grant *Grant
	// released and used are the sums reported so far.
	released, used float64
	// admitUntil is up to when the borrower may grant the tokens, until when
	// the transfer is forgotten.
	admitUntil, until time.Time
}

// Request asks a peer to lend tokens.
type Request struct {
	// ID is the transfer's unique identifier.
	ID           string
	Organisation string
	// Tokens is the most that the borrower wants.
	Tokens float64
	// Admit is up to when the borrower may grant the tokens, counted from
	// before it sent the request.
	Admit time.Duration
}

// Settlement reports on a transfer. Repeats and late ones have no effect.
type Settlement struct {
	ID string
	// Unused are all tokens of the transfer that will not be used.
	Unused float64
	// Used are all tokens of the transfer that were used so far.
	Used float64
	// Final ends the transfer: what is in neither sum was used.
	Final bool
}

// NewLimiter returns the limiter of a process that holds no units yet.
func NewLimiter(config Config, self membership.Host) *Limiter {
	config.Lease = config.Lease.withDefaults()
	config.Admit = cmp.Or(config.Admit, time.Second)
	config.Hold = cmp.Or(config.Hold, time.Minute)
	return &Limiter{
		config: config, tenure: NewTenure(config.Lease, self),
		accounts: make(map[string]*account), held: make(map[string]*transfer), pulled: make(map[string]*pull),
	}
}

// SetPolicies replaces the organisations' policies. Organisations without one
// are refused everything.
func (l *Limiter) SetPolicies(now time.Time, policies map[string]Policy) {
	l.advance(now)
	for organisation, a := range l.accounts {
		if _, ok := policies[organisation]; !ok {
			a.bucket.SetLimits(now, 0, 0)
			delete(l.accounts, organisation)
		}
	}
	for organisation, policy := range policies {
		a := l.accounts[organisation]
		if a == nil {
			a = &account{}
			l.accounts[organisation] = a
		}
		a.policy = policy
	}
	l.refresh(now)
}

// Fund starts to gather the tokens of a request from this host's share. The
// error is a refusal that peers can't help with.
func (l *Limiter) Fund(now time.Time, organisation string, tokens float64) (*Funding, *RefusedError) {
	l.advance(now)
	a := l.accounts[organisation]
	if a == nil {
		return nil, &RefusedError{Organisation: organisation, Reason: ReasonNoPolicy, Tokens: tokens}
	}
	if tokens > a.policy.Burst || math.IsNaN(tokens) {
		return nil, &RefusedError{Organisation: organisation, Reason: ReasonTooLarge, Tokens: tokens}
	}
	tokens = max(0, tokens)
	grant := a.bucket.TakeUpTo(now, tokens)
	return &Funding{
		organisation: organisation, tokens: tokens, local: grant,
		missing: tokens - grant.remaining, deadline: now.Add(l.config.Admit),
	}, nil
}

// Refusal is the refusal of a request that lacks tokens.
func (l *Limiter) Refusal(organisation string, tokens, missing float64) *RefusedError {
	refusal := &RefusedError{Organisation: organisation, Reason: ReasonRate, Tokens: tokens, RetryAfter: time.Second}
	if a := l.accounts[organisation]; a != nil {
		wait := missing / max(a.policy.Rate, 1) * float64(time.Second)
		refusal.RetryAfter = time.Duration(min(wait, float64(time.Hour)))
	}
	return refusal
}

// Lend reserves tokens for a peer's request. A repeated request gets the same
// answer and has no further effect.
func (l *Limiter) Lend(now time.Time, request Request) (tokens float64) {
	l.advance(now)
	if earlier, ok := l.held[request.ID]; ok {
		return earlier.tokens
	}
	a := l.accounts[request.Organisation]
	admit := min(request.Admit, l.config.Admit)
	if a == nil || l.config.NoBorrowing || l.tenure.leaving || admit <= 0 || !(request.Tokens > 0) {
		return 0
	}
	admitUntil := now.Add(l.config.Lease.wait(admit) + admitMargin)
	if l.tenure.UnitsAt(admitUntil) < l.tenure.UnitsAt(now) {
		return 0
	}
	grant := a.bucket.TakeUpTo(now, request.Tokens)
	held := &transfer{
		organisation: request.Organisation, tokens: grant.remaining, grant: grant,
		admitUntil: admitUntil, until: now.Add(l.config.Hold),
	}
	l.held[request.ID] = held
	l.next = earliest(l.next, held.until)
	return held.tokens
}

// Settle takes a borrower's report. A report on a transfer that is not known
// makes a request for it that comes later be refused.
func (l *Limiter) Settle(now time.Time, report Settlement) {
	l.advance(now)
	held, ok := l.held[report.ID]
	if !ok {
		l.held[report.ID] = &transfer{until: now.Add(l.config.Hold)}
		return
	}
	if held.grant == nil || math.IsNaN(report.Unused+report.Used) {
		return
	}
	if more := min(report.Used-held.used, held.grant.remaining); more > 0 {
		held.used += more
		held.grant.Consume(more)
	}
	if more := report.Unused - held.released; more > 0 {
		held.released = report.Unused
		held.grant.Release(now, more)
	}
	if report.Final {
		l.close(now, held)
	}
}

// close takes what remains of a transfer as used.
func (l *Limiter) close(now time.Time, held *transfer) {
	if held.grant != nil {
		held.grant.Consume(held.grant.remaining)
		held.grant.Settle(now)
		held.grant = nil
	}
}

// Overdrawn returns by how many tokens an organisation's bucket exceeds its
// burst; more than rounding is a fault of the program.
func (l *Limiter) Overdrawn(organisation string) float64 {
	a := l.accounts[organisation]
	if a == nil {
		return 0
	}
	return a.bucket.level + a.bucket.refundable - a.bucket.burst*(1+rounding)
}

// Spare is how many tokens this host could lend to an organisation.
type Spare struct {
	Organisation string
	Tokens       float64
	// Room is how many tokens the host could take in.
	Room float64
}

// Valid reports whether the numbers are finite and not negative.
func (s Spare) Valid() bool {
	return s.Tokens >= 0 && s.Room >= 0 && !math.IsInf(s.Tokens+s.Room, 1)
}

// Spares returns hints for peers, largest first, of bounded number.
func (l *Limiter) Spares(now time.Time) []Spare {
	l.advance(now)
	var spares []Spare
	for organisation, a := range l.accounts {
		a.bucket.Advance(now)
		if a.bucket.level >= 1 {
			spares = append(spares, Spare{organisation, a.bucket.level, a.bucket.Room()})
		}
	}
	sort.Slice(spares, func(i, j int) bool {
		if spares[i].Tokens != spares[j].Tokens {
			return spares[i].Tokens > spares[j].Tokens
		}
		return spares[i].Organisation < spares[j].Organisation
	})
	return spares[:min(len(spares), maxSpares)]
}

// Tenure applies a change to the tenure, at a time.
func (l *Limiter) Tenure(now time.Time, change func(*Tenure)) {
	l.advance(now)
	change(l.tenure)
	l.refresh(now)
}

// LentUnits returns the least units that cover what borrowers may yet grant.
func (l *Limiter) LentUnits(now time.Time) int64 {
	l.advance(now)
	lent := make(map[string]float64)
	for _, held := range l.held {
		if now.Before(held.admitUntil) {
			lent[held.organisation] += held.tokens
		}
	}
	fraction := 0.0
	for organisation, tokens := range lent {
		if a := l.accounts[organisation]; a != nil && a.policy.Burst > 0 {
			fraction = max(fraction, tokens/a.policy.Burst)
		}
	}
	return int64(math.Ceil(fraction * float64(TotalUnits)))
}

// advance takes into account, in their order, all leases and holds that
// lapsed up to now.
func (l *Limiter) advance(now time.Time) {
	if l.updated.IsZero() {
		l.updated, l.next = now, now
	}
	if now.Before(l.next) {
		return
	}
	times := l.tenure.Boundaries(l.updated, now)
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range times {
		l.refresh(at)
	}
	l.refresh(now)
}

// refresh sets every bucket's limits as they are at a time.
func (l *Limiter) refresh(at time.Time) {
	share := float64(l.tenure.UnitsAt(at)) / float64(TotalUnits)
	for _, a := range l.accounts {
		a.bucket.SetLimits(at, share*a.policy.Rate, share*a.policy.Burst)
	}
	l.updated = latest(l.updated, at)
	l.next = at.Add(time.Second)
	for _, boundary := range l.tenure.Boundaries(at, l.next) {
		l.next = earliest(l.next, boundary)
	}
	for id, held := range l.held {
		if !at.Before(held.until) {
			l.close(at, held)
			delete(l.held, id)
		}
	}
	for id, p := range l.pulled {
		if !at.Before(p.until) {
			l.endPull(at, id, p, 0)
		}
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

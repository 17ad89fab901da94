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
	// admitMargin is added by a lender to the time in which the borrower may
	// grant a loan.
	admitMargin = 50 * time.Millisecond
	// maxSpares limits the organisations in a hint to peers.
	maxSpares = 16
)

// Policy is the rate limit of an organisation over all hosts together.
type Policy struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// Config configures a Limiter. Zero values select the defaults.
type Config struct {
	Lease LeaseConfig
	// Admit is how long after the start of a request a host may grant tokens
	// that it borrowed for it. It is also the timeout of pulls. Default 1 s.
	Admit time.Duration
	// SettlementTimeout is how long a lender waits for the final settlement of
	// a loan before it treats the outstanding tokens as used. Default 60 s.
	SettlementTimeout time.Duration
	// NoBorrowing disables lending and borrowing. The Limiter enforces only
	// the former; callers must check it before they borrow.
	NoBorrowing bool
}

// Limiter decides how many tokens one process may grant to each organisation.
// It is not safe for concurrent use.
type Limiter struct {
	config     Config
	shareLease *ShareLease
	accounts   map[string]*account
	// updated is the time up to which expired leases, loans and pulls have been
	// applied; nextExpiry is the earliest time at which another may expire.
	updated, nextExpiry time.Time
	// lent holds the loans to peers, by transfer identifier.
	lent map[string]*outgoingLoan
	// activePulls holds the pulls in progress, by transfer identifier.
	activePulls map[string]*activePull
}

// account is the state of one organisation on this host.
type account struct {
	policy Policy
	bucket Bucket
}

// outgoingLoan is the lender's record of tokens reserved for a peer's request.
type outgoingLoan struct {
	organisation string
	tokens       float64
	// grant is nil once the loan has ended, or if a report on it arrived before
	// its request.
	grant *Grant
	// released and used are the totals, in tokens, that the borrower has reported.
	released, used float64
	// admitUntil is the time up to which the borrower may grant the tokens;
	// until is the time at which the loan expires and its record is deleted.
	admitUntil, until time.Time
}

// LoanRequest is a request to a peer to lend tokens.
type LoanRequest struct {
	// ID is the unique identifier of the transfer. It makes repeated requests
	// idempotent.
	ID           string
	Organisation string
	// Tokens is the most tokens that the borrower needs.
	Tokens float64
	// Admit is how long the borrower may grant the tokens, counted by the
	// borrower from before it sent the request.
	Admit time.Duration
}

// Settlement reports the use of the tokens of a transfer to the lender. Its sums
// are cumulative, so repeated and late settlements have no effect.
type Settlement struct {
	ID string
	// Unused is the total of the tokens that will not be used.
	Unused float64
	// Used is the total of the tokens used so far.
	Used float64
	// Final ends the transfer. Tokens in neither sum are treated as used.
	Final bool
}

// NewLimiter returns a limiter for the process self, which holds no units yet.
func NewLimiter(config Config, self membership.Host) *Limiter {
	config.Lease = config.Lease.withDefaults()
	config.Admit = cmp.Or(config.Admit, time.Second)
	config.SettlementTimeout = cmp.Or(config.SettlementTimeout, time.Minute)
	return &Limiter{
		config: config, shareLease: NewShareLease(config.Lease, self),
		accounts: make(map[string]*account), lent: make(map[string]*outgoingLoan), activePulls: make(map[string]*activePull),
	}
}

// SetPolicies replaces the policies of all organisations. Requests of
// organisations without a policy are refused.
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

// BeginAcquisition starts to acquire the tokens of a request and takes those
// available in this host's bucket; the result may lack tokens. The error is a
// refusal that no loan from peers can avert.
func (l *Limiter) BeginAcquisition(now time.Time, organisation string, tokens float64) (*Acquisition, *RefusedError) {
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
	return &Acquisition{
		organisation: organisation, tokens: tokens, local: grant,
		missing: tokens - grant.remaining, deadline: now.Add(l.config.Admit),
	}, nil
}

// Refusal returns the error for a request that needs the given tokens and could
// not acquire the missing ones.
func (l *Limiter) Refusal(organisation string, tokens, missing float64) *RefusedError {
	refusal := &RefusedError{Organisation: organisation, Reason: ReasonRate, Tokens: tokens, RetryAfter: time.Second}
	if a := l.accounts[organisation]; a != nil {
		wait := missing / max(a.policy.Rate, 1) * float64(time.Second)
		refusal.RetryAfter = time.Duration(min(wait, float64(time.Hour)))
	}
	return refusal
}

// Lend reserves up to the requested tokens for a peer and returns their number.
// A repeated request returns the same number and has no further effect. Lend
// returns zero if this host's units may shrink while the borrower may still
// grant the loan.
func (l *Limiter) Lend(now time.Time, request LoanRequest) (tokens float64) {
	l.advance(now)
	if earlier, ok := l.lent[request.ID]; ok {
		return earlier.tokens
	}
	a := l.accounts[request.Organisation]
	admit := min(request.Admit, l.config.Admit)
	if a == nil || l.config.NoBorrowing || l.shareLease.draining || admit <= 0 || !(request.Tokens > 0) {
		return 0
	}
	admitUntil := now.Add(l.config.Lease.withDrift(admit) + admitMargin)
	if l.shareLease.UsableUnitsAt(admitUntil) < l.shareLease.UsableUnitsAt(now) {
		return 0
	}
	grant := a.bucket.TakeUpTo(now, request.Tokens)
	lent := &outgoingLoan{
		organisation: request.Organisation, tokens: grant.remaining, grant: grant,
		admitUntil: admitUntil, until: now.Add(l.config.SettlementTimeout),
	}
	l.lent[request.ID] = lent
	l.nextExpiry = earliest(l.nextExpiry, lent.until)
	return lent.tokens
}

// Settle applies a borrower's report on a loan. A report on an unknown transfer
// is recorded, so that a request for that transfer is refused if it arrives
// later.
func (l *Limiter) Settle(now time.Time, report Settlement) {
	l.advance(now)
	lent, ok := l.lent[report.ID]
	if !ok {
		l.lent[report.ID] = &outgoingLoan{until: now.Add(l.config.SettlementTimeout)}
		return
	}
	if lent.grant == nil || math.IsNaN(report.Unused+report.Used) {
		return
	}
	if more := min(report.Used-lent.used, lent.grant.remaining); more > 0 {
		lent.used += more
		lent.grant.Consume(more)
	}
	if more := report.Unused - lent.released; more > 0 {
		lent.released = report.Unused
		lent.grant.Release(now, more)
	}
	if report.Final {
		l.close(now, lent)
	}
}

// close ends a loan and treats its remaining tokens as used.
func (l *Limiter) close(now time.Time, lent *outgoingLoan) {
	if lent.grant != nil {
		lent.grant.Consume(lent.grant.remaining)
		lent.grant.Settle(now)
		lent.grant = nil
	}
}

// BurstExcess returns by how many tokens the organisation's bucket exceeds its
// burst. A value above the rounding error indicates a bug.
func (l *Limiter) BurstExcess(organisation string) float64 {
	a := l.accounts[organisation]
	if a == nil {
		return 0
	}
	return a.bucket.level + a.bucket.refundable - a.bucket.burst*(1+roundingTolerance)
}

// Spare is the state of an organisation's bucket on one host, sent to peers as a
// hint of what they could borrow.
type Spare struct {
	Organisation string
	// Tokens is the number of available tokens.
	Tokens float64
	// Room is how many tokens the host's bucket could receive.
	Room float64
}

// Valid reports whether the numbers are finite and not negative.
func (s Spare) Valid() bool {
	return s.Tokens >= 0 && s.Room >= 0 && !math.IsInf(s.Tokens+s.Room, 1)
}

// Spares returns hints for peers: the organisations with at least one available
// token, those with the most tokens first, limited in number.
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

// WithShareLease calls change with the share lease, as of time now, and updates
// all buckets to the resulting share.
func (l *Limiter) WithShareLease(now time.Time, change func(*ShareLease)) {
	l.advance(now)
	change(l.shareLease)
	l.refresh(now)
}

// LentUnits returns the least number of units that cover the loans that
// borrowers may still grant.
func (l *Limiter) LentUnits(now time.Time) int64 {
	l.advance(now)
	byOrganisation := make(map[string]float64)
	for _, lent := range l.lent {
		if now.Before(lent.admitUntil) {
			byOrganisation[lent.organisation] += lent.tokens
		}
	}
	fraction := 0.0
	for organisation, tokens := range byOrganisation {
		if a := l.accounts[organisation]; a != nil && a.policy.Burst > 0 {
			fraction = max(fraction, tokens/a.policy.Burst)
		}
	}
	return int64(math.Ceil(fraction * float64(TotalUnits)))
}

// advance applies all leases, loans and pulls that expired up to now, the leases
// in the order of their expiry.
func (l *Limiter) advance(now time.Time) {
	if l.updated.IsZero() {
		l.updated, l.nextExpiry = now, now
	}
	if now.Before(l.nextExpiry) {
		return
	}
	expirations := l.shareLease.Expirations(l.updated, now)
	slices.SortFunc(expirations, time.Time.Compare)
	for _, at := range expirations {
		l.refresh(at)
	}
	l.refresh(now)
}

// refresh sets the limits of all buckets to this host's share at the given
// time, and ends the loans and pulls that have expired by then.
func (l *Limiter) refresh(at time.Time) {
	share := float64(l.shareLease.UsableUnitsAt(at)) / float64(TotalUnits)
	for _, a := range l.accounts {
		a.bucket.SetLimits(at, share*a.policy.Rate, share*a.policy.Burst)
	}
	l.updated = latest(l.updated, at)
	l.nextExpiry = at.Add(time.Second)
	for _, expiry := range l.shareLease.Expirations(at, l.nextExpiry) {
		l.nextExpiry = earliest(l.nextExpiry, expiry)
	}
	for id, lent := range l.lent {
		if !at.Before(lent.until) {
			l.close(at, lent)
			delete(l.lent, id)
		}
	}
	for id, p := range l.activePulls {
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

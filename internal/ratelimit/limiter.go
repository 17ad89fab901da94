package ratelimit

import (
	"math"
	"slices"
	"sort"
	"time"

	"bilberryslip.example/bilberryslip/internal/membership"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 5 * time.Second
	// loanMargin is what a lender waits beyond a loan's end.
	loanMargin = 50 * time.Millisecond
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
	// Loan is how long borrowed rate may be used. Default 5 s.
	Loan time.Duration
	// Keep is how many seconds of its own demand a lender keeps in tokens.
	// Default 1 s.
	Keep time.Duration
	// Headroom is how many seconds of its demand a borrower asks for beyond
	// what the request lacks. Default 0.5 s.
	Headroom time.Duration
	// NoBorrowing switches lending and borrowing off.
	NoBorrowing bool
}

// Limiter decides what one process may grant to each organisation. It is not
// safe for concurrent use.
type Limiter struct {
	config   Config
	tenure   *Tenure
	accounts map[string]*account
	// updated is up to when lapsed leases and loans have been taken into
	// account; next is the earliest time at which another one lapses.
	updated, next time.Time
	// answered holds the answers to transfers, so that a repeated request
	// takes effect once; asked the transfers that were asked for.
	answered map[string]answeredTransfer
	asked    map[string]Request
}

type account struct {
	policy   Policy
	bucket   Bucket
	lent     []loan
	borrowed []loan
	demand   meter
}

// loan is rate and burst that are another host's until a time.
type loan struct {
	rate, burst float64
	until       time.Time
}

type answeredTransfer struct {
	loan  Loan
	until time.Time
}

// Request asks a peer for a loan.
type Request struct {
	// ID is the transfer's unique identifier.
	ID           string
	Organisation string
	// Tokens and Rate are the most that the borrower wants.
	Tokens, Rate float64
	// Duration is how long the borrower will use the loan, counted from
	// SentAt, which is before the request is sent.
	Duration time.Duration
	SentAt   time.Time
}

// Loan is the answer to a Request. The zero value lends nothing.
type Loan struct {
	// Tokens are given away. Rate and Burst are lent for the duration.
	Tokens, Rate, Burst float64
}

// Valid reports whether the loan can answer the request.
func (l Loan) Valid(request Request) bool {
	return l.Tokens >= 0 && l.Rate >= 0 && l.Burst >= l.Tokens &&
		l.Tokens <= request.Tokens && l.Rate <= request.Rate && !math.IsInf(l.Burst, 0)
}

// NewLimiter returns the limiter of a process that holds no units yet.
func NewLimiter(config Config, self membership.Host) *Limiter {
	config.Lease = config.Lease.withDefaults()
	setDefault(&config.Loan, 5*time.Second)
	setDefault(&config.Keep, time.Second)
	setDefault(&config.Headroom, 500*time.Millisecond)
	return &Limiter{
		config: config, tenure: NewTenure(config.Lease, self),
		accounts: make(map[string]*account),
		answered: make(map[string]answeredTransfer), asked: make(map[string]Request),
	}
}

// SetPolicies replaces the organisations' policies. Organisations without one
// are refused everything.
func (l *Limiter) SetPolicies(now time.Time, policies map[string]Policy) {
	l.advance(now)
	for organisation := range l.accounts {
		if _, ok := policies[organisation]; !ok {
			l.accounts[organisation].bucket.SetLimits(now, 0, 0)
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

// Outcome is the answer to a Reserve.
type Outcome struct {
	// Grant is nil where the tokens were not available.
	Grant *Grant
	// Missing is how many tokens were not available.
	Missing float64
	// Refusal is what to answer unless the missing tokens can be borrowed.
	Refusal *RefusedError
}

// Reserve grants tokens to an organisation if this host has them.
func (l *Limiter) Reserve(now time.Time, organisation string, tokens float64) Outcome {
	l.advance(now)
	a := l.accounts[organisation]
	if a == nil {
		return Outcome{Refusal: &RefusedError{Organisation: organisation, Reason: ReasonNoPolicy, Tokens: tokens}}
	}
	if tokens > a.policy.Burst || math.IsNaN(tokens) {
		return Outcome{Refusal: &RefusedError{Organisation: organisation, Reason: ReasonTooLarge, Tokens: tokens}}
	}
	tokens = max(0, tokens)
	if grant, ok := a.bucket.Take(now, tokens); ok {
		return Outcome{Grant: grant}
	}
	missing := tokens - a.bucket.Level()
	wait := time.Duration(missing / max(a.policy.Rate, 1) * float64(time.Second))
	return Outcome{Missing: missing, Refusal: &RefusedError{
		Organisation: organisation, Reason: ReasonRate, Tokens: tokens, RetryAfter: min(wait, time.Hour),
	}}
}

// NoteDemand counts tokens that callers asked for.
func (l *Limiter) NoteDemand(now time.Time, organisation string, tokens float64) {
	if a := l.accounts[organisation]; a != nil {
		a.demand.add(now, tokens)
	}
}

// Ask prepares the request for a loan that is to be sent to one of several
// peers. It must be answered with Accept or forgotten with Cancel.
func (l *Limiter) Ask(now time.Time, id, organisation string, missing float64, peers int) (Request, bool) {
	a := l.accounts[organisation]
	if a == nil || l.config.NoBorrowing {
		return Request{}, false
	}
	demand := a.demand.rate(now)
	rate := max(0, demand-a.bucket.Rate()) / float64(max(1, peers))
	request := Request{
		ID: id, Organisation: organisation, Duration: l.config.Loan, SentAt: now,
		Tokens: min(missing+demand*l.config.Headroom.Seconds(), a.policy.Burst), Rate: rate,
	}
	l.asked[id] = request
	return request, true
}

// Cancel forgets a request whose answer did not come. The tokens that the
// lender may have given are lost until they are refilled.
func (l *Limiter) Cancel(id string) { delete(l.asked, id) }

// Accept takes a loan that answers a request. A second answer to the same
// request, and one that comes after the loan's end, have no effect.
func (l *Limiter) Accept(now time.Time, id string, given Loan) {
	l.advance(now)
	request, ok := l.asked[id]
	delete(l.asked, id)
	a := l.accounts[request.Organisation]
	until := request.SentAt.Add(request.Duration)
	if !ok || a == nil || !now.Before(until) {
		return
	}
	a.borrowed = append(a.borrowed, loan{rate: given.Rate, burst: given.Burst, until: until})
	l.refreshAccount(now, a)
	a.bucket.Add(given.Tokens)
	l.next = earliest(l.next, until)
}

// Lend answers a peer's request. A repeated request gets the same answer and
// has no further effect.
func (l *Limiter) Lend(now time.Time, request Request) Loan {
	l.advance(now)
	if earlier, ok := l.answered[request.ID]; ok {
		return earlier.loan
	}
	a := l.accounts[request.Organisation]
	duration := min(request.Duration, l.config.Loan)
	if a == nil || l.config.NoBorrowing || l.tenure.leaving || duration <= 0 {
		return Loan{}
	}
	until := now.Add(l.config.Lease.wait(duration) + loanMargin)
	given := l.spare(now, until, a, request)
	l.answered[request.ID] = answeredTransfer{loan: given, until: until}
	l.next = earliest(l.next, until)
	if given == (Loan{}) {
		return given
	}
	a.bucket.Remove(given.Tokens)
	a.lent = append(a.lent, loan{rate: given.Rate, burst: given.Burst, until: until})
	l.refreshAccount(now, a)
	return given
}

// spare works out what the account can lend until a time: never more than the
// share that this host is sure to have until then.
func (l *Limiter) spare(now, until time.Time, a *account, request Request) Loan {
	share := l.fraction(until)
	lent := sum(a.lent)
	rate := max(0, share*a.policy.Rate-lent.rate)
	burst := max(0, share*a.policy.Burst-lent.burst)
	demand := a.demand.rate(now)
	keep := min(demand*l.config.Keep.Seconds(), a.bucket.Level()/2)
	tokens := min(request.Tokens, max(0, a.bucket.Level()-keep), burst)
	tokens = max(0, tokens)
	rate = max(0, min(request.Rate, rate, a.bucket.Rate()-demand*lenderMargin))
	burst = min(burst, tokens+min(a.bucket.Room(), rate*l.config.Loan.Seconds()))
	return Loan{Tokens: tokens, Rate: rate, Burst: burst}
}

// lenderMargin is how much rate a lender keeps, relative to its demand.
const lenderMargin = 1.2

// Spare is what this host could lend of an organisation's rate.
type Spare struct {
	Organisation string
	Tokens, Rate float64
}

// Spares returns hints for peers, largest first, of bounded number.
func (l *Limiter) Spares(now time.Time) []Spare {
	l.advance(now)
	var spares []Spare
	for organisation, a := range l.accounts {
		a.bucket.Advance(now)
		given := l.spare(now, now.Add(l.config.Loan), a, Request{Tokens: math.MaxFloat64, Rate: math.MaxFloat64})
		if given.Tokens >= 1 || given.Rate >= 1 {
			spares = append(spares, Spare{organisation, given.Tokens, given.Rate})
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

// LentUnits returns the least units that cover what is lent.
func (l *Limiter) LentUnits(now time.Time) int64 {
	l.advance(now)
	fraction := 0.0
	for _, a := range l.accounts {
		lent := sum(a.lent)
		if a.policy.Rate > 0 {
			fraction = max(fraction, lent.rate/a.policy.Rate)
		}
		if a.policy.Burst > 0 {
			fraction = max(fraction, lent.burst/a.policy.Burst)
		}
	}
	return int64(math.Ceil(fraction * float64(TotalUnits)))
}

func (l *Limiter) fraction(at time.Time) float64 {
	return float64(l.tenure.UnitsAt(at)) / float64(TotalUnits)
}

// advance takes into account, in their order, all leases and loans that
// lapsed up to now.
func (l *Limiter) advance(now time.Time) {
	if l.updated.IsZero() {
		l.updated, l.next = now, now
	}
	if now.Before(l.next) {
		return
	}
	for _, at := range l.boundaries(now) {
		l.refresh(at)
	}
	l.refresh(now)
}

func (l *Limiter) boundaries(now time.Time) []time.Time {
	times := l.tenure.Boundaries(l.updated, now)
	for _, a := range l.accounts {
		for _, loans := range [][]loan{a.lent, a.borrowed} {
			for _, one := range loans {
				if !one.until.After(now) {
					times = append(times, one.until)
				}
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// refresh sets every bucket's limits as they are at a time.
func (l *Limiter) refresh(at time.Time) {
	for _, a := range l.accounts {
		l.refreshAccount(at, a)
	}
	for id, earlier := range l.answered {
		if !at.Before(earlier.until) {
			delete(l.answered, id)
		}
	}
	l.updated = latest(l.updated, at)
	l.next = at.Add(time.Second)
	for _, boundary := range l.tenure.Boundaries(at, l.next) {
		l.next = earliest(l.next, boundary)
	}
	for _, a := range l.accounts {
		for _, one := range append(slices.Clone(a.lent), a.borrowed...) {
			l.next = earliest(l.next, one.until)
		}
	}
}

func (l *Limiter) refreshAccount(at time.Time, a *account) {
	a.lent = expire(at, a.lent)
	a.borrowed = expire(at, a.borrowed)
	lent, borrowed := sum(a.lent), sum(a.borrowed)
	share := l.fraction(at)
	rate := max(0, share*a.policy.Rate-lent.rate) + borrowed.rate
	burst := max(0, share*a.policy.Burst-lent.burst) + borrowed.burst
	a.bucket.SetLimits(at, rate, burst)
}

func expire(at time.Time, loans []loan) []loan {
	return slices.DeleteFunc(loans, func(one loan) bool { return !at.Before(one.until) })
}

func sum(loans []loan) loan {
	var total loan
	for _, one := range loans {
		total.rate += one.rate
		total.burst += one.burst
	}
	return total
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// meter estimates a rate by exponential decay. The zero value estimates zero.
type meter struct {
	value   float64
	updated time.Time
}

func (m *meter) rate(now time.Time) float64 {
	if m.updated.IsZero() || !now.After(m.updated) {
		return m.value
	}
	return m.value * math.Exp(-now.Sub(m.updated).Seconds()/demandWindow.Seconds())
}

func (m *meter) add(now time.Time, tokens float64) {
	m.value = max(0, m.rate(now)+tokens/demandWindow.Seconds())
	m.updated = latest(m.updated, now)
}

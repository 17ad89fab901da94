// Package shares runs the rate limiter of a host. It maintains the host's
// entry in the share ledger in the platform, borrows tokens from peers before
// it refuses a request, and lends tokens to peers.
package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/membership"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// maxDecisionTime is the longest time between the clock reading of a decision
// and its result. If it takes longer, the process was paused, and the decision
// is repeated.
const maxDecisionTime = 100 * time.Millisecond

// roundingTokens is the excess that may result from rounding in sums of
// fractional tokens.
const roundingTokens = 1e-6

// Members provides the membership of this host and the other hosts.
type Members interface {
	Self() membership.Host
	Hosts() []membership.Host
	// ListedHosts returns the platform's host list and when it was read. The
	// time is zero if it was not read yet.
	ListedHosts() (names []string, readAt time.Time)
}

// Peers sends requests to other hosts at their base URLs.
type Peers interface {
	BorrowTokens(ctx context.Context, baseURL string, request *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error)
	SettleTokens(ctx context.Context, baseURL string, request *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error)
}

// Config configures a Service.
type Config struct {
	Limiter ratelimit.Config
	Store   objectstore.Store
	Members Members
	Peers   Peers
	// Source provides the rate policies.
	Source config.Source
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// BorrowTimeout bounds the wait for peers in one round. Zero means 10 ms.
	BorrowTimeout time.Duration
	// SyncInterval is the mean time between two calls of Sync. Zero means 1 s.
	SyncInterval time.Duration
}

// Service limits the rates of organisations on one host, within the host's
// share of each organisation's rate and burst. It is safe for concurrent use.
type Service struct {
	config  Config
	metrics *metrics
	// syncMu serialises writes to the ledger.
	syncMu sync.Mutex

	mu       sync.Mutex
	limiter  *ratelimit.Limiter
	borrower *ratelimit.Borrower
	// borrowing holds the running requests that use tokens of peers.
	borrowing   map[*ratelimit.Acquisition]struct{}
	settlements settlements
}

// New returns a service. It holds no units until Serve has synchronised with
// the ledger.
func New(c Config) *Service {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.BorrowTimeout == 0 {
		c.BorrowTimeout = 10 * time.Millisecond
	}
	if c.SyncInterval == 0 {
		c.SyncInterval = time.Second
	}
	return &Service{
		config: c, metrics: newMetrics(),
		borrowing: make(map[*ratelimit.Acquisition]struct{}), settlements: make(settlements),
		limiter:  ratelimit.NewLimiter(c.Limiter, c.Members.Self()),
		borrower: ratelimit.NewBorrower(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// Reserve grants tokens to an organisation, or returns a
// *ratelimit.RefusedError. The empty organisation is not limited.
func (s *Service) Reserve(ctx context.Context, organisation string, tokens float64) (ratelimit.Reservation, error) {
	if organisation == "" {
		return unlimited{}, nil
	}
	acquisition, refusal := s.beginAcquisition(organisation, tokens)
	if refusal != nil && refusal.Reason == ratelimit.ReasonNoPolicy {
		// The policy may be newer than the policies last applied.
		s.ApplyPolicies()
		acquisition, refusal = s.beginAcquisition(organisation, tokens)
	}
	if refusal != nil {
		s.metrics.countRefusal(refusal)
		return nil, refusal
	}
	s.assertWithinShare(organisation)
	if !s.grant(acquisition) && !s.borrow(ctx, organisation, acquisition) {
		return nil, s.refuse(organisation, tokens, acquisition)
	}
	s.metrics.granted.Inc()
	return &reservation{service: s, organisation: organisation, acquisition: acquisition}, nil
}

// beginAcquisition starts to acquire the tokens of a request, with those that
// this host's share provides.
func (s *Service) beginAcquisition(organisation string, tokens float64) (*ratelimit.Acquisition, *ratelimit.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.BeginAcquisition(s.config.Now(), organisation, tokens)
}

// maxBurstExcess is the permitted rounding error of a bucket's level, in tokens.
const maxBurstExcess = 1e-3

func (s *Service) assertWithinShare(organisation string) {
	s.mu.Lock()
	excess := s.limiter.BurstExcess(organisation)
	s.mu.Unlock()
	invariant.Assert(excess <= maxBurstExcess, invariant.RateWithinShare, logrus.Fields{"organisation": organisation, "overdrawn_tokens": excess})
}

// grant makes the tokens usable if all of them are available, and reports
// whether they are. A process that was paused between the clock reading and
// the result may have lost its share meanwhile, so it repeats the decision.
func (s *Service) grant(acquisition *ratelimit.Acquisition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := s.config.Now()
		if !s.limiter.Grant(now, acquisition) {
			return false
		}
		if s.config.Now().Sub(now) <= maxDecisionTime {
			return true
		}
	}
}

// refuse closes an acquisition that lacks tokens and returns the error for the
// caller of the request.
func (s *Service) refuse(organisation string, tokens float64, acquisition *ratelimit.Acquisition) *ratelimit.RefusedError {
	s.mu.Lock()
	refusal := s.limiter.Refusal(organisation, tokens, acquisition.Missing())
	s.settlements.add(acquisition.Close(s.config.Now()))
	s.mu.Unlock()
	s.metrics.countRefusal(refusal)
	return refusal
}

// reservation is the reservation of a request whose tokens were granted.
type reservation struct {
	service      *Service
	organisation string
	acquisition  *ratelimit.Acquisition
}

// Consume implements ratelimit.Reservation.
func (r *reservation) Consume(tokens float64) {
	r.service.mu.Lock()
	excess := r.acquisition.Consume(max(0, tokens))
	r.service.mu.Unlock()
	if excess > roundingTokens {
		r.service.metrics.excess.Add(excess)
		invariant.Assert(false, invariant.RateWithinShare, logrus.Fields{"organisation": r.organisation, "excess_tokens": excess})
	}
}

// Settle implements ratelimit.Reservation.
func (r *reservation) Settle() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.settlements.add(r.acquisition.Close(r.service.config.Now()))
	delete(r.service.borrowing, r.acquisition)
}

// unlimited is the reservation of a request without an organisation.
type unlimited struct{}

// Consume implements ratelimit.Reservation.
func (unlimited) Consume(float64) {}

// Settle implements ratelimit.Reservation.
func (unlimited) Settle() {}

func newID() string { return uuid.NewString() }

package claims

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	defaultClaimTimeout     = 2 * time.Second
	defaultMaxSendDelay     = 10 * time.Second
	defaultMaxResponseBytes = 256 << 10
	defaultRetention        = 24 * time.Hour
	// defaultRetryAfter applies if the platform gave no Retry-After.
	defaultRetryAfter = 2 * time.Second
)

// UnavailableError reports that a claim could not be made or looked up. The
// request was not sent to an endpoint by this attempt.
type UnavailableError struct {
	// RetryAfter is how long the caller should wait before retrying.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("request not run, because its idempotency key could not be claimed: %v; retry with the same key after %v", e.Cause, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RetryDelay returns how long the caller should wait before retrying.
func (e *UnavailableError) RetryDelay() time.Duration { return e.RetryAfter }

// StoreConfig configures a Store. Zero durations and sizes select the defaults.
type StoreConfig struct {
	// ObjectStore is the platform's object store, which holds the claims.
	ObjectStore objectstore.Store
	// Self identifies this process as the owner of its claims.
	Self Owner
	// Alive reports whether a process is known to be alive.
	Alive func(Owner) bool
	// Clock returns the current time. Nil means time.Now.
	Clock func() time.Time
	// ClaimTimeout bounds making a claim, including the retries of a write
	// whose response was lost. It also bounds a lookup and each attempt to
	// write a final state. Zero means 2 s.
	ClaimTimeout time.Duration
	// MaxSendDelay is the longest time from the call of Begin to the sending
	// of the request. Zero means 10 s.
	MaxSendDelay time.Duration
	// MaxResponseBytes bounds the recorded body of a response; a larger body is
	// dropped. Zero means 256 KiB.
	MaxResponseBytes int
	// Retention is how long a claim is kept after its last write. Zero means
	// 24 h.
	Retention time.Duration
}

// Store makes claims and records their final states in the platform. Serve
// retries the writes that failed and deletes claims after their retention. A
// Store is safe for concurrent use.
type Store struct {
	config  StoreConfig
	metrics *storeMetrics
	// wake signals Serve that a write is pending.
	wake chan struct{}

	mu sync.Mutex
	// local holds, by name, this process's claims whose final state may not
	// be stored in the platform yet.
	local map[string]*Claim
	// pending holds the writes of final states that have not succeeded yet,
	// by claim name.
	pending map[string]*pendingWrite
}

// NewStore returns a Store. Serve must run for failed writes to be retried.
func NewStore(config StoreConfig) *Store {
	config.ClaimTimeout = cmp.Or(config.ClaimTimeout, defaultClaimTimeout)
	config.MaxSendDelay = cmp.Or(config.MaxSendDelay, defaultMaxSendDelay)
	config.MaxResponseBytes = cmp.Or(config.MaxResponseBytes, defaultMaxResponseBytes)
	config.Retention = cmp.Or(config.Retention, defaultRetention)
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Store{
		config:  config,
		metrics: newStoreMetrics(),
		wake:    make(chan struct{}, 1),
		local:   make(map[string]*Claim),
		pending: make(map[string]*pendingWrite),
	}
}

// Outcome is the result of Begin or Lookup.
type Outcome struct {
	State Result
	// Claim is set if State is Claimed.
	Claim *Claim
	// Answer is the recorded response. It is set if State is Recorded.
	Answer *Response
}

// Begin claims a request or returns the outcome of an earlier attempt. An
// error is always an *UnavailableError: this attempt did not run the request.
func (s *Store) Begin(ctx context.Context, req Request) (Outcome, error) {
	outcome, err := s.begin(ctx, req)
	s.metrics.observe(outcome, err)
	return outcome, err
}

func (s *Store) begin(ctx context.Context, req Request) (Outcome, error) {
	claim := &Claim{
		store: s, name: req.name(), startedAt: s.config.Clock(), writeID: uuid.NewString(),
		record: Record{State: StateStarted, Owner: s.config.Self, Fingerprint: req.Fingerprint},
	}
	if own := s.reserve(claim); own != nil {
		return decideOwn(own, req), nil
	}
	outcome, err := s.write(ctx, claim, req)
	if outcome.State != Claimed {
		s.releaseUnlessPending(claim)
	}
	return outcome, err
}

// Lookup returns the outcome of an earlier attempt and claims nothing. It costs
// the platform at most one read. An error is always an *UnavailableError.
func (s *Store) Lookup(ctx context.Context, req Request) (Outcome, error) {
	s.mu.Lock()
	own := s.local[req.name()]
	s.mu.Unlock()
	if own != nil {
		return decideOwn(own, req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout)
	defer cancel()
	existing, err := s.config.ObjectStore.Get(ctx, objectstore.KindClaim, req.name())
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return Outcome{State: NotClaimed}, nil
	}
	if err != nil {
		return Outcome{}, unavailable(err)
	}
	outcome := s.decide(existing, req)
	if outcome.State == takeOver {
		return Outcome{State: NotClaimed}, nil
	}
	return outcome, nil
}

// reserve registers the claim as this process's claim for its name, or returns
// the one that is already registered. Two attempts in one process thus cost the
// platform one write, and the response to the first can be replayed while the
// platform is down.
func (s *Store) reserve(claim *Claim) (own *Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own := s.local[claim.name]; own != nil {
		return own
	}
	s.local[claim.name] = claim
	return nil
}

func (s *Store) releaseUnlessPending(claim *Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[claim.name] == nil && s.local[claim.name] == claim {
		delete(s.local, claim.name)
	}
}

// decideOwn returns the outcome of a request that this process has claimed. A
// claim that ended as not run is reported as StillRunning until that state is
// written, which is when a retry may take it over.
func decideOwn(own *Claim, req Request) Outcome {
	record := own.current()
	result := Decide(record, req, true)
	switch result {
	case takeOver:
		return Outcome{State: StillRunning}
	case Recorded:
		return Outcome{State: Recorded, Answer: record.Answer}
	default:
		return Outcome{State: result}
	}
}

// write creates the claim in the platform. If the object exists, write takes it
// over if its request was never sent, and returns its outcome otherwise.
func (s *Store) write(ctx context.Context, claim *Claim, req Request) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout)
	defer cancel()
	value, err := s.encode(claim.record)
	if err != nil {
		return Outcome{}, unavailable(err)
	}
	for {
		obj, err := s.put(ctx, claim, value)
		if err == nil {
			claim.base = obj.Version
			return Outcome{State: Claimed, Claim: claim}, nil
		}
		var conflict *objectstore.ConflictError
		if !errors.As(err, &conflict) {
			s.abandon(claim, err)
			return Outcome{}, unavailable(err)
		}
		outcome := s.decide(conflict.Current, req)
		if outcome.State != takeOver {
			return outcome, nil
		}
		claim.base = conflict.Current.Version
	}
}

// put creates the claim if its base is zero and updates that version otherwise.
func (s *Store) put(ctx context.Context, claim *Claim, value json.RawMessage) (objectstore.Object, error) {
	if claim.base == 0 {
		return objectstore.CreateSettled(ctx, s.config.ObjectStore, objectstore.KindClaim, claim.name, claim.writeID, value)
	}
	return objectstore.UpdateSettled(ctx, s.config.ObjectStore, objectstore.KindClaim, claim.name, claim.base, claim.writeID, value)
}

func (s *Store) decide(existing objectstore.Object, req Request) Outcome {
	record, err := decode(existing)
	if err != nil {
		logrus.WithError(err).Error("claim unreadable; the outcome of its request is reported as unknown")
		return Outcome{State: Unknown}
	}
	result := Decide(record, req, s.config.Alive(record.Owner))
	if result == Recorded {
		return Outcome{State: Recorded, Answer: record.Answer}
	}
	return Outcome{State: result}
}

// abandon schedules the not-run state of a claim whose write failed but may
// still take effect.
func (s *Store) abandon(claim *Claim, err error) {
	var unavailable *objectstore.UnavailableError
	if !errors.As(err, &unavailable) || unavailable.Outcome != objectstore.OutcomeUnknown {
		return
	}
	if claim.setFinal(StateNotRun, nil) {
		s.enqueue(claim)
	}
}

func (s *Store) encode(record Record) (json.RawMessage, error) {
	record.UnixMillis = s.config.Clock().UnixMilli()
	value, err := json.Marshal(record)
	return value, errors.Wrap(err, "encoding claim")
}

func decode(obj objectstore.Object) (Record, error) {
	var record Record
	err := json.Unmarshal(obj.Value, &record)
	return record, errors.Wrapf(err, "decoding claim %q; delete the object once the outcome of its request is known", obj.Name)
}

func unavailable(cause error) error {
	retryAfter := defaultRetryAfter
	var down *objectstore.UnavailableError
	if errors.As(cause, &down) && down.RetryAfter > 0 {
		retryAfter = down.RetryAfter
	}
	return &UnavailableError{RetryAfter: retryAfter, Cause: cause}
}

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
	defaultClaimTimeout   = 2 * time.Second
	defaultMaxSendDelay   = 10 * time.Second
	defaultMaxAnswerBytes = 256 << 10
	defaultRetention      = 24 * time.Hour
	// defaultRetryAfter is the advice where the platform gave none.
	defaultRetryAfter = 2 * time.Second
)

// UnavailableError reports that no claim could be made. Nothing was sent: the
// request was not run.
type UnavailableError struct {
	// RetryAfter is how long the caller should wait.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the request was not run, because it could not be claimed: %v; send it again with the same idempotency key after %v", e.Cause, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RetryDelay returns how long the caller should wait.
func (e *UnavailableError) RetryDelay() time.Duration { return e.RetryAfter }

// BookConfig configures a Book. Zero numbers mean the defaults.
type BookConfig struct {
	Store objectstore.Store
	// Self is this process.
	Self Owner
	// Alive reports whether a process is known to be alive.
	Alive func(Owner) bool
	// Clock tells the time. Nil means time.Now.
	Clock func() time.Time
	// ClaimTimeout bounds the making of a claim, the settling of lost answers
	// included. Zero means 2 s.
	ClaimTimeout time.Duration
	// MaxSendDelay is the longest time between the start of a claim and the
	// sending of its request. Zero means 10 s.
	MaxSendDelay time.Duration
	// MaxAnswerBytes bounds the body of an answer that is kept. Zero means
	// 256 KiB.
	MaxAnswerBytes int
	// Retention is how long a claim is kept after its last write. Zero means
	// 24 h.
	Retention time.Duration
}

// Book makes and keeps claims. Serve writes what could not be written at
// once, and deletes claims after their retention.
type Book struct {
	config  BookConfig
	metrics *bookMetrics
	// wake tells Serve that there is something to write.
	wake chan struct{}

	mu sync.Mutex
	// local holds this process's own claims that the platform may not show
	// in their final state yet, by name.
	local map[string]*Claim
	// pending holds the writes that are still to be made, by name.
	pending map[string]*pendingWrite
}

// NewBook returns a book.
func NewBook(config BookConfig) *Book {
	config.ClaimTimeout = cmp.Or(config.ClaimTimeout, defaultClaimTimeout)
	config.MaxSendDelay = cmp.Or(config.MaxSendDelay, defaultMaxSendDelay)
	config.MaxAnswerBytes = cmp.Or(config.MaxAnswerBytes, defaultMaxAnswerBytes)
	config.Retention = cmp.Or(config.Retention, defaultRetention)
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Book{
		config:  config,
		metrics: newBookMetrics(),
		wake:    make(chan struct{}, 1),
		local:   make(map[string]*Claim),
		pending: make(map[string]*pendingWrite),
	}
}

// Outcome is what became of a request.
type Outcome struct {
	State Result
	// Claim is set where State is Claimed.
	Claim *Claim
	// Answer is set where State is Recorded.
	Answer *Answer
}

// Begin claims a request, or tells what became of the earlier attempt. An
// error is always *UnavailableError: nothing was sent and the request was not
// run by this attempt.
func (b *Book) Begin(ctx context.Context, req Request) (Outcome, error) {
	outcome, err := b.begin(ctx, req)
	b.metrics.observe(outcome, err)
	return outcome, err
}

func (b *Book) begin(ctx context.Context, req Request) (Outcome, error) {
	claim := &Claim{
		book: b, name: req.name(), startedAt: b.config.Clock(), writeID: uuid.NewString(),
		record: Record{State: StateStarted, Owner: b.config.Self, Fingerprint: req.Fingerprint},
	}
	if own := b.reserve(claim); own != nil {
		return decideOwn(own, req), nil
	}
	outcome, err := b.write(ctx, claim, req)
	if outcome.State != Claimed {
		b.releaseUnlessPending(claim)
	}
	return outcome, err
}

// Lookup tells what became of an earlier attempt and claims nothing. It costs
// the platform one read. An error is always *UnavailableError.
func (b *Book) Lookup(ctx context.Context, req Request) (Outcome, error) {
	b.mu.Lock()
	own := b.local[req.name()]
	b.mu.Unlock()
	if own != nil {
		return decideOwn(own, req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.ClaimTimeout)
	defer cancel()
	existing, err := b.config.Store.Get(ctx, objectstore.KindClaim, req.name())
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return Outcome{State: NotClaimed}, nil
	}
	if err != nil {
		return Outcome{}, unavailable(err)
	}
	outcome := b.decide(existing, req)
	if outcome.State == takeOver {
		return Outcome{State: NotClaimed}, nil
	}
	return outcome, nil
}

// reserve makes the claim the process's own for its name, unless there is one
// already, which it returns. Two attempts in one process thus cost the
// platform one write, and the answer of the first can be given while the
// platform is down.
func (b *Book) reserve(claim *Claim) (own *Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if own := b.local[claim.name]; own != nil {
		return own
	}
	b.local[claim.name] = claim
	return nil
}

func (b *Book) releaseUnlessPending(claim *Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending[claim.name] == nil && b.local[claim.name] == claim {
		delete(b.local, claim.name)
	}
}

// decideOwn decides on a claim of this process. One that was not run but
// isn't written as such yet still counts as running: it will soon be free.
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

// write creates the claim in the platform, or decides on the one that is
// there and takes it over where it is free.
func (b *Book) write(ctx context.Context, claim *Claim, req Request) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, b.config.ClaimTimeout)
	defer cancel()
	value, err := b.encode(claim.record)
	if err != nil {
		return Outcome{}, unavailable(err)
	}
	for {
		obj, err := b.put(ctx, claim, value)
		if err == nil {
			claim.base = obj.Version
			return Outcome{State: Claimed, Claim: claim}, nil
		}
		var conflict *objectstore.ConflictError
		if !errors.As(err, &conflict) {
			b.abandon(claim, err)
			return Outcome{}, unavailable(err)
		}
		outcome := b.decide(conflict.Current, req)
		if outcome.State != takeOver {
			return outcome, nil
		}
		claim.base = conflict.Current.Version
	}
}

// put makes the conditional write that the claim's base calls for.
func (b *Book) put(ctx context.Context, claim *Claim, value json.RawMessage) (objectstore.Object, error) {
	if claim.base == 0 {
		return objectstore.CreateSettled(ctx, b.config.Store, objectstore.KindClaim, claim.name, claim.writeID, value)
	}
	return objectstore.UpdateSettled(ctx, b.config.Store, objectstore.KindClaim, claim.name, claim.base, claim.writeID, value)
}

func (b *Book) decide(existing objectstore.Object, req Request) Outcome {
	record, err := decode(existing)
	if err != nil {
		logrus.WithError(err).Error("claim unreadable; its request counts as unknown")
		return Outcome{State: Unknown}
	}
	result := Decide(record, req, b.config.Alive(record.Owner))
	if result == Recorded {
		return Outcome{State: Recorded, Answer: record.Answer}
	}
	return Outcome{State: result}
}

// abandon sees to it that a claim whose write may yet take effect ends as not
// run.
func (b *Book) abandon(claim *Claim, err error) {
	var unavailable *objectstore.UnavailableError
	if !errors.As(err, &unavailable) || unavailable.Outcome != objectstore.OutcomeUnknown {
		return
	}
	if claim.set(StateNotRun, nil) {
		b.enqueue(claim)
	}
}

func (b *Book) encode(record Record) (json.RawMessage, error) {
	record.UnixMillis = b.config.Clock().UnixMilli()
	value, err := json.Marshal(record)
	return value, errors.Wrap(err, "encoding a claim")
}

func decode(obj objectstore.Object) (Record, error) {
	var record Record
	err := json.Unmarshal(obj.Value, &record)
	return record, errors.Wrapf(err, "decoding claim %q; delete the object if it is known what became of its request", obj.Name)
}

func unavailable(cause error) error {
	retryAfter := defaultRetryAfter
	var down *objectstore.UnavailableError
	if errors.As(cause, &down) && down.RetryAfter > 0 {
		retryAfter = down.RetryAfter
	}
	return &UnavailableError{RetryAfter: retryAfter, Cause: cause}
}

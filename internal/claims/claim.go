package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Claim is this process's right to send a request once. It must be ended by
// Finish, NotRun or Unknown.
type Claim struct {
	book    *Book
	name    string
	writeID string
	// startedAt is when the claim was begun, before its write was sent.
	startedAt time.Time
	// base is the version that the claim's next write replaces. Zero means
	// that there must be no object.
	base objectstore.Version

	mu     sync.Mutex
	record Record
}

// Valid reports whether the request may still be sent. A claim made long ago,
// as by a process that was paused, is not used: end it with NotRun.
func (c *Claim) Valid() bool {
	return c.book.config.Clock().Sub(c.startedAt) < c.book.config.MaxSendDelay
}

// Finish records the answer of the request, which ran. An error means that
// the record is not written yet; the book goes on trying, and repeats that
// reach this process meanwhile get the answer.
func (c *Claim) Finish(ctx context.Context, answer Answer) error {
	if len(answer.Body) > c.book.config.MaxAnswerBytes {
		answer.Body = nil
		answer.TooLarge = true
	}
	return c.end(ctx, StateRan, &answer)
}

// NotRun frees the claim, so that a repeat may run. It may be called only if
// nothing was sent.
func (c *Claim) NotRun(ctx context.Context) error { return c.end(ctx, StateNotRun, nil) }

// Unknown records that the request was sent and it can't be known whether it
// ran.
func (c *Claim) Unknown(ctx context.Context) error { return c.end(ctx, StateUnknown, nil) }

// errEnded reports a claim that was ended twice.
var errEnded = errors.New("the claim has ended already; end it once")

func (c *Claim) end(ctx context.Context, state State, answer *Answer) error {
	if !c.set(state, answer) {
		return errEnded
	}
	return c.book.writeNow(ctx, c.book.enqueue(c))
}

// set moves the claim from started to a final state.
func (c *Claim) set(state State, answer *Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.State != StateStarted {
		return false
	}
	c.record.State = state
	c.record.Answer = answer
	return true
}

// current returns a copy of the claim's record.
func (c *Claim) current() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record
}

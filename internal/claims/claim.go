package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Claim is this process's right to send a request once. It must be ended by
// exactly one call of Finish, NotRun or Unknown.
type Claim struct {
	store   *Store
	name    string
	writeID string
	// startedAt is when Begin was called, before the claim was written.
	startedAt time.Time
	// base is the version that the claim's next write replaces. Zero means
	// that the object must not exist.
	base objectstore.Version

	mu     sync.Mutex
	record Record
}

// Valid reports whether the request may still be sent. A claim becomes invalid
// MaxSendDelay after Begin was called, for example because the process was
// paused. It must then be ended with NotRun.
func (c *Claim) Valid() bool {
	return c.store.config.Clock().Sub(c.startedAt) < c.store.config.MaxSendDelay
}

// Finish records the response to the request, which ran. An error means that
// the record is not written yet. Serve keeps retrying the write, and in the
// meantime Begin and Lookup in this process return the response.
func (c *Claim) Finish(ctx context.Context, response Response) error {
	if len(response.Body) > c.store.config.MaxResponseBytes {
		response.Body = nil
		response.TooLarge = true
	}
	return c.end(ctx, StateRan, &response)
}

// NotRun releases the claim, so that a retry may run. It must be called only if
// nothing was sent.
func (c *Claim) NotRun(ctx context.Context) error { return c.end(ctx, StateNotRun, nil) }

// Unknown records that the request was sent and that whether it ran can't be
// determined.
func (c *Claim) Unknown(ctx context.Context) error { return c.end(ctx, StateUnknown, nil) }

// errEnded is returned when a claim is ended twice.
var errEnded = errors.New("claim already ended; call only one of Finish, NotRun and Unknown, once")

func (c *Claim) end(ctx context.Context, state State, response *Response) error {
	if !c.setFinal(state, response) {
		return errEnded
	}
	return c.store.writeNow(ctx, c.store.enqueue(c))
}

// setFinal moves the claim from started to a final state. It reports whether the
// claim was still started.
func (c *Claim) setFinal(state State, response *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.State != StateStarted {
		return false
	}
	c.record.State = state
	c.record.Answer = response
	return true
}

// current returns a copy of the claim's record.
func (c *Claim) current() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record
}

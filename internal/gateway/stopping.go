package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/drain"
)

const (
	// AbortTimeout bounds the time in which requests that are aborted at the limit of a
	// shutdown are answered.
	AbortTimeout = 500 * time.Millisecond
	// abortedReadTimeout bounds the rest of the time for reading an aborted request's body.
	abortedReadTimeout = 100 * time.Millisecond
	// abortedCallTimeout bounds how long the caller of an aborted call that may not be
	// repeated waits for what became of it, and abortedRecordTimeout the first attempt to
	// record that. Claim records that it leaves are flushed later in the shutdown.
	abortedCallTimeout   = 300 * time.Millisecond
	abortedRecordTimeout = 200 * time.Millisecond
)

// errAborted is the cancellation cause of requests that still run at the limit of a
// shutdown.
var errAborted = errors.New("the shutdown of this host has reached its limit")

// isAborted reports whether the request of a context was aborted at the limit of a
// shutdown.
func isAborted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errAborted) }

// abortError returns the error response to a request that was aborted.
func abortError(run RunState) *Error {
	switch run {
	case RunStateNotRun:
		return errStopping()
	case RunStateRan:
		return errAnswerCut()
	default:
		return errStoppedBeforeAnswer()
	}
}

// checkShutdown returns an error if this host is expected to end before a request does
// that is about to start.
func (g *Gateway) checkShutdown(ctx context.Context, size drain.Request) *Error {
	if isAborted(ctx) {
		return errStopping()
	}
	left := maxTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = deadline.Sub(g.config.Clock())
	}
	if g.config.Stop.Decide(left, size).Admitted {
		return nil
	}
	return errStopping()
}

// size returns what the duration of the generation depends on.
func (c *completion) size() drain.Request {
	return drain.Request{Service: c.model, OutputTokens: int(c.maxTokens)}
}

// size returns what the duration of the call depends on.
func (c *serviceCall) size() drain.Request { return drain.Request{Service: c.service} }

// recordDuration records the duration of a request that was served.
func (r *request) recordDuration(size drain.Request) {
	r.gateway.config.Stop.Record(size, r.gateway.config.Clock().Sub(r.started))
}

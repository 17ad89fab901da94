package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/repeat"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// runOnce serves a call on a non-repeatable route, which runs at most once for
// each idempotency key.
func (c *serviceCall) runOnce(ctx context.Context) error {
	key, failure := c.idempotencyKey()
	if failure != nil {
		return failure
	}
	if key == "" {
		return c.sendOnce(ctx, nopClaim{})
	}
	outcome, err := c.gateway().config.Claims.Begin(ctx, c.claimRequest(key))
	if err != nil {
		return claimError(err)
	}
	if outcome.State == claims.Claimed {
		return c.sendOnce(ctx, outcome.Claim)
	}
	return c.respondFromClaim(outcome)
}

// replayOrReject responds to a call that is rejected with failure. The call is
// reported as "not run" only if no earlier attempt with the same idempotency
// key may have run; otherwise the response is the outcome of that attempt.
func (c *serviceCall) replayOrReject(ctx context.Context, failure *Error) error {
	key, invalid := c.idempotencyKey()
	if c.route.GetRepeatable() || invalid != nil || key == "" {
		return failure
	}
	outcome, err := c.gateway().config.Claims.Lookup(ctx, c.claimRequest(key))
	if err != nil || outcome.State == claims.NotClaimed {
		return failure
	}
	return c.respondFromClaim(outcome)
}

func (c *serviceCall) claimRequest(key string) claims.Request {
	return claims.Request{
		Organisation:   c.request.caller.organisation.GetName(),
		Route:          c.route.GetName(),
		IdempotencyKey: key,
		Fingerprint:    c.fingerprint(),
	}
}

// respondFromClaim responds to a repeated call with the recorded outcome of the
// earlier attempt.
func (c *serviceCall) respondFromClaim(outcome claims.Outcome) error {
	switch outcome.State {
	case claims.Recorded:
		return c.replay(outcome.Answer)
	case claims.StillRunning:
		return errStillRunning()
	case claims.Mismatch:
		return errIdempotencyKeyReused()
	default:
		return errRepeatOutcomeUnknown()
	}
}

func claimError(err error) *Error {
	var unavailable *claims.UnavailableError
	if errors.As(err, &unavailable) {
		return errClaimUnavailable(unavailable.RetryAfter)
	}
	return errClaimUnavailable(time.Second)
}

func (c *serviceCall) replay(response *claims.Response) error {
	if response.TooLarge {
		return errAnswerNotKept()
	}
	return c.writeResponse(response, true)
}

func (c *serviceCall) idempotencyKey() (string, *Error) {
	values := c.request.http.Header.Values(HeaderIdempotencyKey)
	if len(values) > 1 {
		return "", errHeaderInvalid(HeaderIdempotencyKey, "send it once")
	}
	if len(values) == 0 || values[0] == "" {
		if c.route.GetAllowWithoutIdempotencyKey() {
			return "", nil
		}
		return "", errIdempotencyKeyMissing()
	}
	if len(values[0]) > maxIdempotencyKeyBytes {
		return "", errHeaderInvalid(HeaderIdempotencyKey, "send at most 255 bytes")
	}
	if c.request.caller.anonymous() {
		// Idempotency keys are scoped to an organisation. Without one, a caller
		// could receive the response to another caller's request.
		return "", errNotPermitted("non-repeatable route without a key", c.route.GetName())
	}
	return values[0], nil
}

// fingerprint returns a digest of the request, by which different requests
// with the same idempotency key are detected.
func (c *serviceCall) fingerprint() string {
	digest := sha256.New()
	parts := []string{c.request.http.Method, c.path, c.query, c.request.http.Header.Get("Content-Type")}
	for _, part := range parts {
		fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	_, _ = digest.Write(c.body) // never fails
	return hex.EncodeToString(digest.Sum(nil))
}

// onceResult is the result of a claimed call: a response or an error.
type onceResult struct {
	response *claims.Response
	failure  *Error
}

// sendOnce sends a claimed call. The call and the recording of its outcome
// continue if the caller's timeout expires or the caller disconnects.
func (c *serviceCall) sendOnce(ctx context.Context, cl claim) error {
	sl, failure := c.acquire(ctx)
	if failure != nil {
		c.recordClaimEnd(ctx, "not_run", cl.NotRun)
		return failure
	}
	runCtx, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	detached := c.detach(abort)
	done := make(chan onceResult, 1)
	c.gateway().running.add(detached.request)
	endUse := c.held.use()
	go func() {
		defer endUse()
		defer c.gateway().running.remove(detached.request)
		defer abort(context.Canceled)
		done <- detached.execute(ctx, runCtx, sl, cl)
	}()
	select {
	case result := <-done:
		return c.respondOnce(detached, result)
	case <-ctx.Done():
	}
	if isAborted(ctx) { // the detached call is aborted as well
		select {
		case result := <-done:
			return c.respondOnce(detached, result)
		case <-time.After(abortedCallTimeout):
		}
	}
	c.request.sent = true // may have been sent by the detached call
	if isAborted(ctx) {
		return errOutcomeUnknown(http.StatusBadGateway)
	}
	return errOutcomeUnknown(http.StatusGatewayTimeout).withRetryAfter(c.gateway().config.ServiceFirstByteTimeout)
}

// respondOnce responds with the result of a detached call that has ended.
func (c *serviceCall) respondOnce(detached *serviceCall, result onceResult) error {
	c.request.mergeDetached(detached.request)
	if result.failure != nil {
		return result.failure
	}
	return c.writeResponse(result.response, false)
}

// detach returns a copy of the call that doesn't use the caller's connection.
func (c *serviceCall) detach(abort context.CancelCauseFunc) *serviceCall {
	detached := *c
	detached.request = c.request.detach(abort)
	return &detached
}

// execute sends the call and records its outcome. It tries another endpoint
// only if provably nothing was sent to the previous one. runCtx is the context of
// the call, which outlives ctx, that of the caller's request.
func (c *serviceCall) execute(ctx, runCtx context.Context, sl *slot, cl claim) onceResult {
	for attempts := 1; ; attempts++ {
		if !cl.Valid() {
			c.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
			c.recordClaimEnd(runCtx, "not_run", cl.NotRun)
			return onceResult{failure: errClaimUnavailable(time.Second)}
		}
		invariant.Assert(!c.request.sent, invariant.AtMostOnce, logrus.Fields{"request": c.request.id})
		response, err := c.sendAttempt(runCtx, sl, true)
		c.gateway().scheduler.finish(sl, serviceOutcome(runCtx, response, err), int64(c.tokens()))
		if err == nil {
			c.recordResponse(runCtx, cl, response)
			return onceResult{response: response}
		}
		var notSent *endpoint.NotSentError
		if !errors.As(err, &notSent) {
			c.recordClaimEnd(runCtx, "unknown", cl.Unknown)
			return onceResult{failure: c.outcomeUnknown(err)}
		}
		c.tried = append(c.tried, sl.attempt.Endpoint())
		failure := errEndpointFailed(RunStateNotRun)
		if isAborted(runCtx) {
			failure = errStopping()
		} else if c.gateway().retryAllowed(false, attempts, repeat.NotReached) {
			sl, failure = c.acquire(ctx)
		}
		if failure != nil {
			c.recordClaimEnd(runCtx, "not_run", cl.NotRun)
			return onceResult{failure: failure}
		}
	}
}

// outcomeUnknown logs and returns the error for a call that may have run.
func (c *serviceCall) outcomeUnknown(err error) *Error {
	logrus.WithFields(logrus.Fields{
		"request":  c.request.id,
		"endpoint": c.request.lastEndpoint,
	}).WithError(err).Warn("outcome of non-repeatable call is unknown")
	var timeout *endpoint.ProgressTimeoutError
	if errors.As(err, &timeout) {
		return errOutcomeUnknown(http.StatusGatewayTimeout)
	}
	return errOutcomeUnknown(http.StatusBadGateway)
}

func (c *serviceCall) recordResponse(ctx context.Context, cl claim, response *claims.Response) {
	c.recordClaimEnd(ctx, "recorded", func(ctx context.Context) error { return cl.Finish(ctx, *response) })
}

// recordClaimEnd records the outcome of a claim. If that fails, repeats with the
// same idempotency key get the response that the call is still running or that
// its outcome is unknown, never that it did not run.
func (c *serviceCall) recordClaimEnd(ctx context.Context, end string, record func(context.Context) error) {
	timeout := claimRecordTimeout
	if isAborted(ctx) {
		timeout = abortedRecordTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	if err := record(ctx); err != nil {
		logrus.WithFields(logrus.Fields{
			"request": c.request.id,
			"end":     end,
		}).WithError(err).Warn("failed to record the outcome of a claim")
	}
}

// nopClaim is the claim of a call without an idempotency key, on a route that
// allows that. It is always valid and records nothing.
type nopClaim struct{}

func (nopClaim) Valid() bool                                   { return true }
func (nopClaim) Finish(context.Context, claims.Response) error { return nil }
func (nopClaim) NotRun(context.Context) error                  { return nil }
func (nopClaim) Unknown(context.Context) error                 { return nil }

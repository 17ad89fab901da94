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

// maxIdempotencyKeyBytes bounds an idempotency key.
const maxIdempotencyKeyBytes = 255

// runOnce serves a call that may not be repeated.
func (c *serviceCall) runOnce(ctx context.Context) error {
	key, failure := c.idempotencyKey()
	if failure != nil {
		return failure
	}
	if key == "" {
		return c.sendOnce(ctx, unclaimed{})
	}
	outcome, err := c.gateway().config.Claims.Begin(ctx, c.claimRequest(key))
	if err != nil {
		return claimFailure(err)
	}
	if outcome.State == claims.Claimed {
		return c.sendOnce(ctx, outcome.Claim)
	}
	return c.recall(outcome)
}

// refuse answers a call that can't be taken up now. It is "not run" only if
// no earlier attempt with its idempotency key may have run.
func (c *serviceCall) refuse(ctx context.Context, failure *Error) error {
	key, invalid := c.idempotencyKey()
	if c.route.GetRepeatable() || invalid != nil || key == "" {
		return failure
	}
	outcome, err := c.gateway().config.Claims.Lookup(ctx, c.claimRequest(key))
	if err != nil || outcome.State == claims.NotClaimed {
		return failure
	}
	return c.recall(outcome)
}

func (c *serviceCall) claimRequest(key string) claims.Request {
	return claims.Request{
		Organisation:   c.request.caller.organisation.GetName(),
		Route:          c.route.GetName(),
		IdempotencyKey: key,
		Fingerprint:    c.fingerprint(),
	}
}

// recall answers a repeat by what became of the earlier attempt.
func (c *serviceCall) recall(outcome claims.Outcome) error {
	switch outcome.State {
	case claims.Recorded:
		return c.replay(outcome.Answer)
	case claims.StillRunning:
		return errStillRunning()
	case claims.Mismatch:
		return errIdempotencyReused()
	default:
		return errUnknownRepeat()
	}
}

func claimFailure(err error) *Error {
	var unavailable *claims.UnavailableError
	if errors.As(err, &unavailable) {
		return errClaimUnavailable(unavailable.RetryAfter)
	}
	return errClaimUnavailable(time.Second)
}

func (c *serviceCall) replay(answer *claims.Response) error {
	if answer.TooLarge {
		return errAnswerNotKept()
	}
	return c.write(answer, true)
}

func (c *serviceCall) idempotencyKey() (string, *Error) {
	values := c.request.http.Header.Values(HeaderIdempotencyKey)
	if len(values) > 1 {
		return "", errHeader(HeaderIdempotencyKey, "send it once")
	}
	if len(values) == 0 || values[0] == "" {
		if c.route.GetAllowWithoutIdempotencyKey() {
			return "", nil
		}
		return "", errIdempotencyMissing()
	}
	if len(values[0]) > maxIdempotencyKeyBytes {
		return "", errHeader(HeaderIdempotencyKey, "send at most 255 bytes")
	}
	if c.request.caller.anonymous() {
		// Without an organisation one caller's key could show another's answer.
		return "", errNotPermitted("non-repeatable route without a key", c.route.GetName())
	}
	return values[0], nil
}

// fingerprint tells requests apart that came with the same idempotency key.
func (c *serviceCall) fingerprint() string {
	digest := sha256.New()
	parts := []string{c.request.http.Method, c.path, c.query, c.request.http.Header.Get("Content-Type")}
	for _, part := range parts {
		fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	_, _ = digest.Write(c.body) // never fails
	return hex.EncodeToString(digest.Sum(nil))
}

// onceResult is how a claimed call ended.
type onceResult struct {
	answer  *claims.Response
	failure *Error
}

// sendOnce sends a claimed call. The run and the record of its outcome go on
// when the caller's time limit passes or the caller goes away.
func (c *serviceCall) sendOnce(ctx context.Context, own claim) error {
	sl, failure := c.acquire(ctx)
	if failure != nil {
		c.settle(ctx, "not_run", own.NotRun)
		return failure
	}
	detached := c.detach()
	done := make(chan onceResult, 1)
	c.gateway().running.add(detached.request)
	go func() {
		defer c.gateway().running.remove(detached.request)
		done <- detached.carryOut(ctx, sl, own)
	}()
	select {
	case result := <-done:
		c.request.adopt(detached.request)
		if result.failure != nil {
			return result.failure
		}
		return c.write(result.answer, false)
	case <-ctx.Done():
		c.request.sent = true // for all that is known here
		return errOutcomeUnknown(http.StatusGatewayTimeout).retryIn(c.gateway().config.ServiceFirstByte)
	}
}

// detach returns a call that shares nothing with the caller's connection.
func (c *serviceCall) detach() *serviceCall {
	detached := *c
	detached.request = c.request.detach()
	return &detached
}

// carryOut sends the call. Only an endpoint that provably got nothing is
// followed by another one.
func (c *serviceCall) carryOut(ctx context.Context, sl *slot, own claim) onceResult {
	runCtx := context.WithoutCancel(ctx)
	for attempts := 1; ; attempts++ {
		if !own.Valid() {
			c.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
			c.settle(runCtx, "not_run", own.NotRun)
			return onceResult{failure: errClaimUnavailable(time.Second)}
		}
		invariant.Assert(!c.request.sent, invariant.AtMostOnce, logrus.Fields{"request": c.request.id})
		answer, err := c.attempt(runCtx, sl, true)
		c.gateway().scheduler.finish(sl, serviceOutcome(runCtx, answer, err), int64(c.tokens()))
		if err == nil {
			c.recordAnswer(runCtx, own, answer)
			return onceResult{answer: answer}
		}
		var notSent *endpoint.NotSentError
		if !errors.As(err, &notSent) {
			c.settle(runCtx, "unknown", own.Unknown)
			return onceResult{failure: c.unknown(err)}
		}
		c.tried = append(c.tried, sl.attempt.Endpoint())
		failure := errEndpointFailed(RunNot)
		if c.gateway().retryAllowed(false, attempts, repeat.NotReached) {
			sl, failure = c.acquire(ctx)
		}
		if failure != nil {
			c.settle(runCtx, "not_run", own.NotRun)
			return onceResult{failure: failure}
		}
	}
}

func (c *serviceCall) unknown(err error) *Error {
	logrus.WithFields(logrus.Fields{
		"request":  c.request.id,
		"endpoint": c.request.lastEndpoint,
	}).WithError(err).Warn("outcome of a non-repeatable call is unknown")
	var silent *endpoint.ProgressTimeoutError
	if errors.As(err, &silent) {
		return errOutcomeUnknown(http.StatusGatewayTimeout)
	}
	return errOutcomeUnknown(http.StatusBadGateway)
}

func (c *serviceCall) recordAnswer(ctx context.Context, own claim, answer *claims.Response) {
	c.settle(ctx, "recorded", func(ctx context.Context) error { return own.Finish(ctx, *answer) })
}

// settle records how a claim ended. Where that fails, a repeat of the key
// is told that it still runs or that the outcome is unknown, never that it
// did not run.
func (c *serviceCall) settle(ctx context.Context, end string, record func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := record(ctx); err != nil {
		logrus.WithFields(logrus.Fields{
			"request": c.request.id,
			"end":     end,
		}).WithError(err).Warn("end of a claim was not recorded")
	}
}

// unclaimed is the claim of a call without an idempotency key, on a route
// that allows it.
type unclaimed struct{}

func (unclaimed) Valid() bool                                   { return true }
func (unclaimed) Finish(context.Context, claims.Response) error { return nil }
func (unclaimed) NotRun(context.Context) error                  { return nil }
func (unclaimed) Unknown(context.Context) error                 { return nil }

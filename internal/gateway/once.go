package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/endpoint"
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
	outcome, err := c.gateway().config.Claims.Begin(ctx, ClaimRequest{
		Organisation:   c.request.caller.organisation.GetName(),
		Route:          c.route.GetName(),
		IdempotencyKey: key,
		Fingerprint:    c.fingerprint(),
	})
	if err != nil {
		var unavailable RetryDelayer
		if errors.As(err, &unavailable) {
			return errClaimUnavailable(unavailable.RetryDelay())
		}
		return errClaimUnavailable(0)
	}
	switch outcome.State {
	case ClaimClaimed:
		return c.sendOnce(ctx, outcome.Claim)
	case ClaimRecorded:
		return c.write(outcome.Answer, true)
	case ClaimStillRunning:
		return errStillRunning()
	case ClaimMismatch:
		return errIdempotencyReused()
	default:
		return errUnknownRepeat()
	}
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

// sendOnce sends a claimed call. Only an endpoint that provably got nothing
// is followed by another one.
func (c *serviceCall) sendOnce(ctx context.Context, claim Claim) error {
	// The run and its record go on when the caller goes away.
	runCtx := context.WithoutCancel(ctx)
	for attempts := 1; ; attempts++ {
		sl, failure := c.acquire(ctx)
		if failure != nil {
			c.settle(runCtx, "not_run", claim.NotRun)
			return failure
		}
		answer, err := c.attempt(runCtx, sl, true)
		c.gateway().scheduler.finish(sl, serviceOutcome(runCtx, answer, err), int64(c.tokens()))
		if err == nil {
			c.recordAnswer(runCtx, claim, answer)
			return c.write(answer, false)
		}
		var notSent *endpoint.NotSentError
		if !errors.As(err, &notSent) {
			c.settle(runCtx, "unknown", claim.Unknown)
			return c.unknown(err)
		}
		if attempts >= c.gateway().config.MaxAttempts || !c.gateway().retryAllowed() {
			c.settle(runCtx, "not_run", claim.NotRun)
			return errEndpointFailed(RunNot)
		}
		c.tried = append(c.tried, sl.attempt.Endpoint())
	}
}

func (c *serviceCall) unknown(err error) *Error {
	logrus.WithFields(logrus.Fields{
		"request":  c.request.id,
		"endpoint": c.request.lastEndpoint,
	}).WithError(err).Warn("outcome of a non-repeatable call is unknown")
	var silent *endpoint.SilentError
	if errors.As(err, &silent) {
		return errOutcomeUnknown(http.StatusGatewayTimeout)
	}
	return errOutcomeUnknown(http.StatusBadGateway)
}

// maxRecordedBytes bounds the body of a recorded answer.
const maxRecordedBytes = 256 << 10

func (c *serviceCall) recordAnswer(ctx context.Context, claim Claim, answer *RecordedAnswer) {
	recorded := *answer
	if len(recorded.Body) > maxRecordedBytes {
		recorded.Body = nil
	}
	c.settle(ctx, "recorded", func(ctx context.Context) error { return claim.Finish(ctx, recorded) })
}

// settle records how a claim ended. Where that fails, a repeat of the key
// is told that it still runs or that the outcome is unknown, never that it
// did not run.
func (c *serviceCall) settle(ctx context.Context, end string, record func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
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

// Finish implements Claim.
func (unclaimed) Finish(context.Context, RecordedAnswer) error { return nil }

// NotRun implements Claim.
func (unclaimed) NotRun(context.Context) error { return nil }

// Unknown implements Claim.
func (unclaimed) Unknown(context.Context) error { return nil }


package forward

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/repeat"
)

// again decides whether the request is sent once more.
func (x *run) again(end repeat.Outcome) bool {
	if x.ctx.Err() != nil {
		return false
	}
	rule := repeat.Policy{Repeatable: x.route.MayRepeat(), MaxAttempts: x.route.MaxAttempts, MaxDialFailures: maxDials}
	decision := x.forwarder.config.Retry.Decide(x.service, rule, x.sent, end)
	switch decision {
	case repeat.OverBudget:
		x.log().Info("no send left in the retry budget")
	case repeat.AllowedWithinBudget:
		x.forwarder.metrics.retries.WithLabelValues(x.service).Inc()
	}
	return decision.IsRetry()
}

// giveUp returns the final answer after the last send.
func (x *run) giveUp(end repeat.Outcome, err error) error {
	switch {
	case x.begun:
		return ErrBroken
	case end == repeat.CallerGone && errors.Is(context.Cause(x.ctx), errLimit):
		return &Failure{Reason: ReasonTimeout, NotRun: !x.mayHaveRun, Cause: err}
	case end == repeat.CallerGone:
		return &Failure{Reason: ReasonCallerGone, NotRun: !x.mayHaveRun, Cause: err}
	case x.mayHaveRun:
		return &Failure{Reason: ReasonEndpointFailed, Cause: err}
	case end == repeat.NotReached:
		return &Failure{Reason: ReasonNoEndpoint, NotRun: true, RetryAfter: capacityPause, Cause: err}
	default:
		return &Failure{Reason: ReasonOverloaded, NotRun: true, RetryAfter: capacityPause, Cause: err}
	}
}

func (x *run) log() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"request": x.call.ID, "service": x.service})
}

func (x *run) logSend(attempt *fleet.Attempt, event string, err error) {
	x.log().WithError(err).WithFields(logrus.Fields{
		"endpoint": attempt.Endpoint.ID, "address": attempt.Endpoint.Address, "send": x.sent.Sent,
	}).Info(event)
}

// finish logs and counts the end of the call.
func (x *run) finish(err error) {
	elapsed := x.forwarder.config.Clock().Sub(x.started)
	fields := logrus.Fields{
		"request": x.call.ID, "config": x.version, "service": x.service, "model": x.call.Model, "adapter": x.call.Adapter,
		"sends": x.sent.Sent, "duration_ms": elapsed.Milliseconds(), "first_byte_ms": x.firstByte.Milliseconds(),
	}
	if x.route != nil {
		fields["route"] = x.route.Name
	}
	if x.organisation != nil {
		fields["organisation"] = x.organisation.Name
	}
	if len(x.tried) > 0 {
		fields["endpoint"] = x.tried[len(x.tried)-1]
	}
	outcome := "served"
	var failure *Failure
	switch {
	case errors.As(err, &failure):
		outcome = string(failure.Reason)
		fields["not_run"] = failure.NotRun
		fields["choice"] = x.lastReason
		fields["retry_after_ms"] = failure.RetryAfter.Milliseconds()
	case err != nil:
		outcome = "broken"
	default:
		fields["status"] = x.status
	}
	fields["outcome"] = outcome
	x.forwarder.metrics.finished(x.service, outcome, elapsed, x.firstByte)
	logrus.WithFields(fields).Info("request ended")
}

package forward

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// shouldRetry reports whether the request is to be sent again after an attempt
// with the given outcome, and charges the retry budget if so.
func (x *inflightCall) shouldRetry(outcome repeat.Outcome) bool {
	if x.ctx.Err() != nil {
		return false
	}
	policy := repeat.Policy{Repeatable: x.route.MayRepeat(), MaxAttempts: x.route.MaxAttempts, MaxDialFailures: maxDials}
	decision := x.forwarder.config.Retry.Decide(x.service, policy, x.attempts, outcome)
	switch decision {
	case repeat.OverBudget:
		x.log().Info("retry budget exhausted; request not retried")
	case repeat.AllowedWithinBudget:
		x.forwarder.metrics.retries.WithLabelValues(x.service).Inc()
	}
	return decision.IsRetry()
}

// finalError returns the error of the call after its last attempt.
func (x *inflightCall) finalError(outcome repeat.Outcome, err error) error {
	switch {
	case x.responseStarted:
		return ErrTruncated
	case outcome == repeat.CallerGone && errors.Is(context.Cause(x.ctx), errStopped):
		return x.stoppedFailure(err)
	case outcome == repeat.CallerGone && errors.Is(context.Cause(x.ctx), errDeadline):
		return &Failure{Reason: ReasonTimeout, NotRun: !x.mayHaveRun, Cause: err}
	case outcome == repeat.CallerGone:
		return &Failure{Reason: ReasonCallerGone, NotRun: !x.mayHaveRun, Cause: err}
	case x.mayHaveRun:
		return &Failure{Reason: ReasonEndpointFailed, Cause: err}
	case outcome == repeat.NotReached:
		return &Failure{Reason: ReasonNoEndpoint, NotRun: true, RetryAfter: capacityRetryAfter, Cause: err}
	default:
		return &Failure{Reason: ReasonOverloaded, NotRun: true, RetryAfter: capacityRetryAfter, Cause: err}
	}
}

func (x *inflightCall) log() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"request": x.call.ID, "service": x.service})
}

// maxLoggedID bounds an event identifier in the log, in characters; endpoints choose them.
const maxLoggedID = 64

func (x *inflightCall) logAttempt(attempt *fleet.Attempt, event string, err error) {
	entry := x.log()
	if x.received.lastID != "" {
		entry = entry.WithField("last_event", fmt.Sprintf("%.*s", maxLoggedID, x.received.lastID))
	}
	entry.WithError(err).WithFields(logrus.Fields{
		"endpoint": attempt.Endpoint.ID, "software": attempt.Endpoint.Software, "address": attempt.Endpoint.Address, "send": x.attempts.Sent, "via": x.via,
		"events": x.events, "shared_segments": segmentIDs(x.call.SharedSegments()), "request_hash": x.suspects[0].HashText(),
	}).Info(event)
}

// segmentIDs returns the identifiers of prompt segments, separated by commas.
func segmentIDs(segments []traffic.PromptSegment) string {
	ids := make([]string, len(segments))
	for i, segment := range segments {
		ids[i] = segment.ID
	}
	return strings.Join(ids, ",")
}

// notableUnread is how long a request may lie unread before its end is logged with its
// arrival. A process with enough processor time reads it within a few milliseconds.
const notableUnread = 100 * time.Millisecond

// logsArrival reports whether the request's arrival is logged with its outcome: it may explain
// requests that a shutdown cut or that outlasted their callers.
func (x *inflightCall) logsArrival(outcome string) bool {
	switch Reason(outcome) {
	case ReasonCallerGone, ReasonTimeout:
		return true
	}
	_, stopping := x.forwarder.config.Stop.Elapsed()
	a := x.call.Arrival
	return stopping || a.HeadAt.Sub(a.ReceivedAt) >= notableUnread
}

// recordUnacknowledged records how much of a request was not acknowledged when an attempt
// ended without a response.
func (x *inflightCall) recordUnacknowledged(err error) {
	var noResponse *upstream.NoResponseError
	if errors.As(err, &noResponse) {
		x.unacknowledged = noResponse.Unacknowledged
	}
}

// finish logs the outcome of the call and counts it in the metrics.
func (x *inflightCall) finish(err error) {
	elapsed := x.forwarder.config.Clock().Sub(x.started)
	fields := logrus.Fields{
		"request": x.call.ID, "config": x.version, "service": x.service, "model": x.call.Model, "adapter": x.call.Adapter,
		"sends": x.attempts.Sent, "duration_ms": elapsed.Milliseconds(), "first_byte_ms": x.firstByte.Milliseconds(),
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
	if x.software != "" {
		fields["software"] = x.software
	}
	if x.via != "" {
		fields["via"] = x.via
	}
	if x.call.ResumeAfter != "" {
		fields["resumes"] = x.call.Resumes
	}
	if x.framing != "" {
		fields["framing"] = x.framing
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
	if x.logsArrival(outcome) {
		maps.Copy(fields, x.arrivalFields())
	}
	if x.mayHaveRun && (outcome == string(ReasonCallerGone) || outcome == string(ReasonTimeout)) {
		fields["unacked_bytes"] = x.unacknowledged
	}
	fields["outcome"] = outcome
	x.forwarder.metrics.recordRequest(x.service, outcome, elapsed, x.firstByte)
	x.recordDuration(err, elapsed)
	logrus.WithFields(fields).Info("request ended")
}

package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/drain"
)

// errStopped is the cancellation cause of calls that still run at the end of a shutdown.
var errStopped = errors.New("this host has shut down")

// checkShutdown returns a refusal if this host is expected to end before the call does.
func (x *inflightCall) checkShutdown() *Failure {
	f := x.forwarder
	decision := f.config.Stop.Decide(x.deadline.Add(responseGrace).Sub(f.config.Clock()), x.size())
	if decision.Basis != drain.BasisNone {
		x.progress.admission.Store(&decision)
	}
	if decision.Admitted {
		return nil
	}
	return newRefusal(ReasonStopping, f.config.Stop.RetryAfter())
}

// size returns what the duration of the call depends on.
func (x *inflightCall) size() drain.Request {
	return drain.Request{Service: x.service, OutputTokens: x.call.OutputTokens}
}

// recordDuration records the duration of a call that an endpoint has run to its end or to
// the caller's deadline. Errors of endpoints come sooner than responses.
func (x *inflightCall) recordDuration(err error, elapsed time.Duration) {
	var failure *Failure
	timedOut := errors.As(err, &failure) && failure.Reason == ReasonTimeout && x.mayHaveRun || x.status == http.StatusGatewayTimeout
	if err == nil && x.status < http.StatusMultipleChoices || timedOut {
		x.forwarder.config.Stop.Record(x.size(), elapsed)
	}
}

// stoppedFailure returns the error of a call that was aborted before its response began.
func (x *inflightCall) stoppedFailure(cause error) *Failure {
	failure := &Failure{Reason: ReasonStopping, NotRun: !x.mayHaveRun, Cause: cause}
	if failure.NotRun {
		failure.RetryAfter = x.forwarder.config.Stop.RetryAfter()
	}
	return failure
}

// Abort logs and ends the calls that still run at the end of a shutdown. Those whose
// response has not begun are answered; streams end after a whole event if their callers
// may take them up elsewhere.
func (f *Forwarder) Abort() {
	f.LogUnfinished()
	for _, x := range f.running.list() {
		x.abort(errStopped)
	}
}

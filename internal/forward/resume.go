package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

// takesUp reports whether the caller takes up a stream that it has received in part.
func (x *inflightCall) takesUp() bool { return x.route.Resumable && x.call.ResumeAfter != "" }

// streamAttempt returns the caller's attempt that names the stream in all its attempts:
// the one that brought its first event. It is empty if the caller did not say.
func (x *inflightCall) streamAttempt() string {
	if x.takesUp() {
		return x.call.Resumes
	}
	return x.call.ID
}

// mayGoOn reports whether a further attempt can yield the rest of the response, or all of
// it if it has not begun.
func (x *inflightCall) mayGoOn() bool { return !x.responseStarted || x.received.resumable() }

// relaysAsStream reports whether a response is relayed as it arrives.
func (x *inflightCall) relaysAsStream(response *http.Response) bool {
	return x.route.Kind == traffic.Streaming && response.StatusCode == http.StatusOK && !x.call.NeedsLength
}

// checkContinuation returns an error if the header of a response shows that it does not go
// on with the one that has begun. Only a stream of events can, and one that says so if the
// first answer did.
func (x *inflightCall) checkContinuation(response *http.Response) error {
	switch {
	case !x.responseStarted:
		return nil
	case response.StatusCode != http.StatusOK:
		return errors.Newf("status %d", response.StatusCode)
	case !mayBeEventStream(response.Header), x.namesEvents && !isEventStream(response.Header):
		return errors.Newf("media type %q", response.Header.Get("Content-Type"))
	default:
		return nil
	}
}

// checkWhole returns an error if a whole response to a caller that takes up a stream has an
// event that the caller has received.
func (x *inflightCall) checkWhole(response *http.Response, body []byte) error {
	if !x.takesUp() || response.StatusCode != http.StatusOK || !mayBeEventStream(response.Header) {
		return nil
	}
	received := x.received // nothing of the body has been relayed
	received.beginAnswer(false)
	_, err := received.accept(body)
	return err
}

// rejectContinuation records the outcome of an attempt whose answer does not go on with the
// stream. One that brought nothing is not held against its endpoint, which may have had
// nothing left to send.
func (x *inflightCall) rejectContinuation(attempt *fleet.Attempt, reason error) (repeat.Outcome, error) {
	if errors.Is(reason, errNothingNew) {
		attempt.Finish(endpoint.OutcomeCancelled)
	} else {
		attempt.Finish(endpoint.OutcomeFailed)
	}
	x.logAttempt(attempt, "answer does not go on with the stream", reason)
	return repeat.Unknown, reason
}

// bindTakenUp binds a stream that the caller takes up to the software version that began
// it. It returns a refusal if no host knows that version.
func (x *inflightCall) bindTakenUp() error {
	if !x.takesUp() {
		return nil
	}
	software, known := x.forwarder.config.Origins.Find(x.ctx, x.service, x.streamAttempt())
	if !known {
		refusal := newRefusal(ReasonStreamUnknown, restartRetryAfter)
		refusal.Cause = errors.Newf("stream of attempt %q", x.streamAttempt())
		return refusal
	}
	x.boundTo = software
	return nil
}

// beginResponse writes the header of a response to the caller. From then on, a stream
// may go on only at the software version of its endpoint.
func (x *inflightCall) beginResponse(attempt *fleet.Attempt, response *http.Response) {
	if x.route.Resumable && response.StatusCode == http.StatusOK {
		x.boundTo = attempt.Endpoint.Software
		x.endStream = x.forwarder.config.Origins.Begin(x.service, x.streamAttempt(), x.boundTo)
	}
	x.namesEvents = isEventStream(response.Header)
	x.writeHeader(response)
}

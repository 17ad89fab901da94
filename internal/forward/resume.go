package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/fleet"
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

// relaysAsStream reports whether a response is relayed as it arrives. After the response
// to the caller has begun, only a stream of events can go on with it.
func (x *inflightCall) relaysAsStream(response *http.Response) bool {
	return x.route.Kind == traffic.Streaming && response.StatusCode == http.StatusOK && !x.call.NeedsLength &&
		(!x.responseStarted || mayBeEventStream(response.Header))
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
	x.writeHeader(response)
}

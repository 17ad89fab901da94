package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// maxSharedSegments bounds the shared prompt segments of a request that may be blamed
// for crashes.
const maxSharedSegments = 64

// suspectsOf returns what may be to blame if an endpoint crashes under a call: the call
// itself, which is the same suspect in all its repeats, then its shared prompt segments.
func suspectsOf(call *Call, organisation *traffic.Organisation) []quarantine.Suspect {
	key := quarantine.RequestKey{Method: call.Method, Host: call.Host, Target: call.Target, Body: call.Body}
	if organisation != nil {
		key.Organisation = organisation.Name
	}
	suspects := []quarantine.Suspect{quarantine.RequestOf(key)}
	shared := call.SharedSegments()
	for _, segment := range shared[:min(len(shared), maxSharedSegments)] {
		suspects = append(suspects, quarantine.SegmentOf(segment.ID))
	}
	return suspects
}

// checkHeld returns a refusal if the call, or one of its prompt's segments, is held
// back.
func (x *inflightCall) checkHeld() *Failure {
	for i, suspect := range x.suspects {
		if left, held := x.forwarder.config.Quarantine.Held(suspect); held {
			return x.heldRefusal(i, left)
		}
	}
	return nil
}

// heldRefusal logs that a suspect of the call is held back, and returns the refusal. The
// suspect at index zero is the call itself; those after it are its segments in order.
func (x *inflightCall) heldRefusal(index int, left time.Duration) *Failure {
	suspect := x.suspects[index]
	fields := logrus.Fields{suspect.Kind.String() + "_hash": suspect.HashText(), "left_ms": left.Milliseconds()}
	refusal := newRefusal(ReasonRequestHeld, left)
	refusal.Cause = errors.Newf("request hash %s", suspect.HashText())
	if suspect.Kind == quarantine.KindSegment {
		id := x.call.PromptSegments[index-1].ID
		fields["segment"] = id
		refusal.Reason, refusal.Cause = ReasonSegmentHeld, errors.Newf("prompt segment %s", id)
	}
	x.log().WithFields(fields).Info("request held back")
	return refusal
}

// recordBreak records an attempt that broke off after it may have started to run. It
// tells nothing about the request if the endpoint survived the start of the response.
func (x *inflightCall) recordBreak(attempt *fleet.Attempt) {
	if x.events >= quarantine.SurvivedEvents {
		return
	}
	if x.forwarder.config.Quarantine.RecordBreak(incarnation(attempt), x.suspects) && x.via == "" {
		go x.forwarder.checkGone(x.service, attempt.Endpoint.Address, incarnation(attempt))
	}
}

// checkGone finds out whether an endpoint crashed, so that this need not wait for the
// next request to it or for its entry to expire.
func (f *Forwarder) checkGone(service, address string, endpoint quarantine.Incarnation) {
	conn, err := upstream.DialEndpoint(context.Background(), address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.recordRefused(service, endpoint)
	}
}

// recordUnreached records an attempt whose endpoint was not reached.
func (x *inflightCall) recordUnreached(attempt *fleet.Attempt, err error) {
	if x.via == "" && errors.Is(err, syscall.ECONNREFUSED) {
		x.forwarder.recordRefused(x.service, incarnation(attempt))
		return
	}
	x.recordPathFailure()
}

// recordRefused records that an endpoint refused a connection. No process listens there
// any more, unless this host has lost its path to all endpoints.
func (f *Forwarder) recordRefused(service string, endpoint quarantine.Incarnation) {
	f.config.Paths.RecordFailure(context.Background(), service, func(works bool) {
		if works {
			f.config.Quarantine.RecordGone(endpoint)
		}
	})
}

func (x *inflightCall) recordAnswer(attempt *fleet.Attempt, sentAt time.Time) {
	x.forwarder.config.Quarantine.RecordAnswer(incarnation(attempt), sentAt)
}

// recordSurvival records that the endpoint survived the start of its response.
func (x *inflightCall) recordSurvival() {
	x.forwarder.config.Quarantine.RecordSurvival(x.suspects)
}

func incarnation(attempt *fleet.Attempt) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: attempt.Endpoint.ID, StartedMillis: attempt.Endpoint.StartedMillis()}
}

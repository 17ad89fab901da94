package forward

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// maxSharedSegments bounds the shared prompt segments of a request that may be blamed
// for crashes.
const maxSharedSegments = 64

// sharedSegments returns the hashes of the call's shared prompt segments.
func sharedSegments(call *Call) []quarantine.Segment {
	shared := call.SharedSegments()
	segments := make([]quarantine.Segment, 0, len(shared))
	for _, segment := range shared[:min(len(shared), maxSharedSegments)] {
		segments = append(segments, quarantine.SegmentOf(segment.ID))
	}
	return segments
}

// requestHash returns the hash of the request, which is the same for all its repeats.
func (x *inflightCall) requestHash() string {
	key := quarantine.RequestKey{Method: x.call.Method, Host: x.call.Host, Target: x.call.Target, Body: x.call.Body}
	if x.organisation != nil {
		key.Organisation = x.organisation.Name
	}
	return fmt.Sprintf("%016x", key.Hash())
}

// checkHeld returns a refusal if one of the prompt's segments is held back.
func (x *inflightCall) checkHeld() *Failure {
	for i, segment := range x.segments {
		if left, held := x.forwarder.config.Quarantine.Held(segment); held {
			id := x.call.PromptSegments[i].ID
			x.log().WithFields(logrus.Fields{"segment": id, "segment_hash": segment, "left_ms": left.Milliseconds()}).Info("request held back")
			refusal := newRefusal(ReasonSegmentHeld, left)
			refusal.Cause = errors.Newf("prompt segment %s", id)
			return refusal
		}
	}
	return nil
}

// recordBreak records an attempt that broke off after it may have started to run. It
// tells nothing about the prompt's segments if the endpoint survived the start of the
// response.
func (x *inflightCall) recordBreak(attempt *fleet.Attempt) {
	if x.events >= quarantine.SurvivedEvents {
		return
	}
	if x.forwarder.config.Quarantine.RecordBreak(incarnation(attempt), x.segments) {
		go x.forwarder.checkGone(attempt.Endpoint.Address, incarnation(attempt))
	}
}

// checkGone finds out whether an endpoint crashed, so that this need not wait for the
// next request to it or for its entry to expire.
func (f *Forwarder) checkGone(address string, endpoint quarantine.Incarnation) {
	conn, err := upstream.Dial(context.Background(), "tcp", address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.config.Quarantine.RecordGone(endpoint)
	}
}

// recordUnreached records an attempt whose endpoint was not reached. A refused
// connection means that no process listens there any more.
func (x *inflightCall) recordUnreached(attempt *fleet.Attempt, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		x.forwarder.config.Quarantine.RecordGone(incarnation(attempt))
	}
}

func (x *inflightCall) recordAnswer(attempt *fleet.Attempt, sentAt time.Time) {
	x.forwarder.config.Quarantine.RecordAnswer(incarnation(attempt), sentAt)
}

// recordSurvival records that the endpoint survived the start of its response.
func (x *inflightCall) recordSurvival() {
	x.forwarder.config.Quarantine.RecordSurvival(x.segments)
}

func incarnation(attempt *fleet.Attempt) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: attempt.Endpoint.ID, StartedMillis: attempt.Endpoint.StartedMillis()}
}

package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// streamReadSize is the size of one read of a stream, in bytes; events are far
// smaller.
const streamReadSize = 4 << 10

const (
	// maxBufferedResponse limits the body of a response that is read completely
	// before it is relayed, in bytes.
	maxBufferedResponse = 4 << 20
	// defaultBufferBudget bounds all such bodies together without a setting, in bytes.
	defaultBufferBudget = 32 << 20
)

var errBodyTooLarge = &upstream.TooLargeError{Part: upstream.PartBody, Limit: maxBufferedResponse}

// relayBuffered reads the complete response before it writes any of it to the
// caller, so that the request can still be retried if the response is cut short.
func (x *inflightCall) relayBuffered(attempt *fleet.Attempt, exchange *upstream.Exchange) (repeat.Outcome, error) {
	response := exchange.Response
	body, release, err := x.forwarder.buffers.Read(response.Body, maxBufferedResponse, errBodyTooLarge)
	defer release()
	if err == nil && isEventStream(response.Header) {
		err = checkEvents(body, exchange.Framing())
	}
	if err != nil {
		return x.handleReadError(attempt, exchange, err)
	}
	x.recordComplete(exchange)
	if response.StatusCode < http.StatusMultipleChoices {
		x.recordSurvival()
	}
	if mismatch := x.checkWhole(response, body); mismatch != nil {
		return x.rejectContinuation(attempt, mismatch)
	}
	if response.StatusCode < http.StatusInternalServerError {
		attempt.Finish(endpoint.OutcomeAnswered)
		return x.writeResponse(attempt, response, body), nil
	}
	attempt.Finish(endpoint.OutcomeFailed)
	x.logAttempt(attempt, "endpoint answered with an error", errors.Newf("status %d", response.StatusCode))
	if x.shouldRetry(repeat.Unknown) {
		return x.retryOrRelay(attempt, response, body)
	}
	return x.writeResponse(attempt, response, body), nil
}

// retryOrRelay retries a request to which an endpoint responded with an error. If
// the retry yields no response, it relays that error response.
func (x *inflightCall) retryOrRelay(failed *fleet.Attempt, response *http.Response, body []byte) (repeat.Outcome, error) {
	attempt, failure := x.startAttempt()
	if failure != nil {
		return x.writeResponse(failed, response, body), nil
	}
	if outcome, err := x.send(attempt); outcome == repeat.Final || x.responseStarted {
		return outcome, err
	}
	if x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), errDeadline) { // a caller may still take it
		return repeat.CallerGone, x.ctx.Err()
	}
	return x.writeResponse(failed, response, body), nil
}

// writeResponse writes a buffered response to the caller, with its length, so that the
// caller notices a cut whatever its protocol version.
func (x *inflightCall) writeResponse(attempt *fleet.Attempt, response *http.Response, body []byte) repeat.Outcome {
	if len(body) > 0 {
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.beginResponse(attempt, response)
	// The HTTP server detects a caller that has disconnected.
	_, _ = x.writer.Write(body)
	return repeat.Final
}

// writeHeader writes the header of a response to the caller.
func (x *inflightCall) writeHeader(response *http.Response) {
	x.forwarder.config.Codec.CopyHeader(x.writer.Header(), response.Header)
	x.status = response.StatusCode
	x.responseStarted = true
	x.firstByte = x.forwarder.config.Clock().Sub(x.started)
	x.writer.WriteHeader(response.StatusCode)
}

// recordComplete records that the whole body of a response was read.
func (x *inflightCall) recordComplete(exchange *upstream.Exchange) {
	exchange.MarkBodyRead()
	x.forwarder.metrics.recordResponse(x.service, exchange.Framing(), endComplete)
}

// handleReadError records the outcome of an attempt whose response ended early or
// is too large.
func (x *inflightCall) handleReadError(attempt *fleet.Attempt, exchange *upstream.Exchange, err error) (repeat.Outcome, error) {
	if x.ctx.Err() != nil {
		attempt.Finish(endpoint.OutcomeCancelled)
		return repeat.CallerGone, err
	}
	err = errors.CombineErrors(context.Cause(x.attemptCtx), err)
	attempt.Finish(chargeTo(err))
	x.forwarder.metrics.recordResponse(x.service, exchange.Framing(), endCut)
	if !errors.Is(err, errPathCut) && !x.recordOversized(err) {
		x.recordPathFailure()
		x.recordBreak(attempt)
	}
	x.logAttempt(attempt, "answer broke off", err)
	return repeat.Unknown, err
}

// recordOversized counts a response that exceeds a bound, and reports whether err means
// that.
func (x *inflightCall) recordOversized(err error) bool {
	var tooLarge *upstream.TooLargeError
	if !errors.As(err, &tooLarge) {
		return false
	}
	x.forwarder.metrics.oversized.WithLabelValues(x.service, tooLarge.Part).Inc()
	return true
}

// relayStream relays events as they arrive. For a resumable stream it relays only
// complete events, so that another endpoint can resume it, and only those that go on with
// what the caller has received.
func (x *inflightCall) relayStream(attempt *fleet.Attempt, exchange *upstream.Exchange) (repeat.Outcome, error) {
	events := &eventSplitter{
		wholeEvents: x.route.Resumable, continues: x.responseStarted,
		bound: upstream.TooLargeError{Part: upstream.PartEvent, Limit: maxEventBytes},
	}
	if !mayBeEventStream(exchange.Response.Header) {
		events.bound = upstream.TooLargeError{Part: upstream.PartBody, Limit: maxBufferedResponse}
	}
	x.received.beginAnswer(x.responseStarted)
	control := http.NewResponseController(x.writer)
	buffer := make([]byte, streamReadSize)
	var timer streamTimer
	for {
		n, err := exchange.Response.Body.Read(buffer)
		if n > 0 {
			x.recordReceived()
		}
		ready := events.feed(buffer[:n])
		if err == nil {
			err = events.checkOpen()
		}
		if x.events < quarantine.SurvivedEvents && events.boundaries.events >= quarantine.SurvivedEvents {
			x.recordSurvival()
		}
		x.events = events.boundaries.events
		x.progress.events.Store(int64(x.events))
		readAt := x.forwarder.config.Clock()
		timer.recordEvents(readAt, x.events)
		ready, mismatch := x.accept(exchange.Response, ready)
		if len(ready) > 0 {
			if !x.responseStarted {
				x.beginResponse(attempt, exchange.Response)
			}
			if !x.writeAndFlush(control, ready) {
				attempt.Finish(endpoint.OutcomeCancelled)
				return repeat.CallerGone, errCallerGone
			}
			timer.blocked += x.forwarder.config.Clock().Sub(readAt)
		}
		if mismatch != nil {
			return x.rejectContinuation(attempt, mismatch)
		}
		if errors.Is(err, io.EOF) {
			err = events.checkEnd(exchange.Framing())
			if mismatch := x.received.checkEnd(); err == nil && mismatch != nil {
				return x.rejectContinuation(attempt, mismatch)
			}
			if err == nil || !mayBeEventStream(exchange.Response.Header) {
				attempt.RecordStream(timer.pace)
				return x.finishStream(attempt, exchange, events, control)
			}
		}
		if err != nil {
			return x.handleReadError(attempt, exchange, err)
		}
	}
}

// accept returns what may be relayed of the bytes that have arrived, and records that the
// caller receives it. The error says why the rest does not go on with a resumable stream.
func (x *inflightCall) accept(response *http.Response, ready []byte) ([]byte, error) {
	switch {
	case !x.route.Resumable || len(ready) == 0:
		return ready, nil
	case mayBeEventStream(response.Header):
		return x.received.accept(ready)
	default:
		x.received.readOpaque()
		return ready, nil
	}
}

var errCallerGone = errors.New("the caller closed its connection")

func (x *inflightCall) writeAndFlush(control *http.ResponseController, data []byte) bool {
	if _, err := x.writer.Write(data); err != nil {
		return false
	}
	return control.Flush() == nil
}

func (x *inflightCall) finishStream(attempt *fleet.Attempt, exchange *upstream.Exchange, events *eventSplitter, control *http.ResponseController) (repeat.Outcome, error) {
	x.recordComplete(exchange)
	x.recordSurvival()
	attempt.Finish(endpoint.OutcomeAnswered)
	if !x.responseStarted {
		x.beginResponse(attempt, exchange.Response)
	}
	if rest := events.remainder(); len(rest) > 0 && !x.writeAndFlush(control, rest) {
		return repeat.CallerGone, errCallerGone
	}
	return repeat.Final, nil
}

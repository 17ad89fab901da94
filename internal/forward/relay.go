package forward

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// streamBuffer is the size of one read of a stream; events are far smaller.
const streamBuffer = 4 << 10

// relayWhole reads a whole answer before the caller sees any of it, so that
// one that breaks off can still be replaced.
func (x *run) relayWhole(attempt *fleet.Attempt, exchange *upstream.Exchange) (repeat.Outcome, error) {
	response := exchange.Response
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlainAnswer+1))
	if err == nil && len(body) > maxPlainAnswer {
		err = errors.Newf("answer is over %d bytes", maxPlainAnswer)
	}
	if err != nil {
		return x.broke(attempt, err)
	}
	exchange.Finished()
	if x.begun { // no resumed stream
		attempt.Finish(endpoint.OutcomeFailed)
		return repeat.Unknown, errors.Newf("stream not resumed, status %d", response.StatusCode)
	}
	if response.StatusCode < http.StatusInternalServerError {
		attempt.Finish(endpoint.OutcomeAnswered)
		return x.answer(response, body), nil
	}
	attempt.Finish(endpoint.OutcomeFailed)
	x.logSend(attempt, "endpoint answered with an error", errors.Newf("status %d", response.StatusCode))
	if x.again(repeat.Unknown) {
		return x.sendAgain(response, body)
	}
	return x.answer(response, body), nil
}

// sendAgain sends a request again whose endpoint failed, and passes that
// endpoint's own answer on where nothing better comes.
func (x *run) sendAgain(response *http.Response, body []byte) (repeat.Outcome, error) {
	attempt, failure := x.choose()
	if failure != nil {
		return x.answer(response, body), nil
	}
	if v, err := x.send(attempt); v == repeat.Final || x.begun {
		return v, err
	}
	if x.ctx.Err() != nil {
		return repeat.CallerGone, x.ctx.Err()
	}
	return x.answer(response, body), nil
}

// answer passes a whole answer on.
func (x *run) answer(response *http.Response, body []byte) repeat.Outcome {
	x.begin(response)
	// A caller that went away meanwhile is noticed by its connection.
	_, _ = x.writer.Write(body)
	return repeat.Final
}

// begin passes on the header of an answer.
func (x *run) begin(response *http.Response) {
	x.forwarder.config.Codec.CopyHeader(x.writer.Header(), response.Header)
	x.status = response.StatusCode
	x.begun = true
	x.firstByte = x.forwarder.config.Clock().Sub(x.started)
	x.writer.WriteHeader(response.StatusCode)
}

// broke takes account of an answer that ended early.
func (x *run) broke(attempt *fleet.Attempt, err error) (repeat.Outcome, error) {
	if x.ctx.Err() != nil {
		attempt.Finish(endpoint.OutcomeCancelled)
		return repeat.CallerGone, err
	}
	attempt.Finish(endpoint.OutcomeFailed)
	x.logSend(attempt, "answer broke off", err)
	return repeat.Unknown, err
}

// relayStream passes events on as they arrive. Of a stream that may be
// resumed only whole events are passed on, so that it can go on elsewhere.
func (x *run) relayStream(attempt *fleet.Attempt, exchange *upstream.Exchange) (repeat.Outcome, error) {
	events := &splitter{whole: x.route.Resumable}
	control := http.NewResponseController(x.writer)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := exchange.Response.Body.Read(buffer)
		if ready := events.feed(buffer[:n]); len(ready) > 0 {
			if !x.begun {
				x.begin(exchange.Response)
			}
			if !x.pass(control, ready) {
				attempt.Finish(endpoint.OutcomeCancelled)
				return repeat.CallerGone, errCallerGone
			}
			x.lastEvent = events.lastID
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(attempt, exchange, events, control)
		}
		if err != nil {
			return x.broke(attempt, err)
		}
	}
}

var errCallerGone = errors.New("the caller closed its connection")

func (x *run) pass(control *http.ResponseController, data []byte) bool {
	if _, err := x.writer.Write(data); err != nil {
		return false
	}
	return control.Flush() == nil
}

func (x *run) endStream(attempt *fleet.Attempt, exchange *upstream.Exchange, events *splitter, control *http.ResponseController) (repeat.Outcome, error) {
	exchange.Finished()
	attempt.Finish(endpoint.OutcomeAnswered)
	if !x.begun {
		x.begin(exchange.Response)
	}
	if rest := events.rest(); len(rest) > 0 && !x.pass(control, rest) {
		return repeat.CallerGone, errCallerGone
	}
	return repeat.Final, nil
}

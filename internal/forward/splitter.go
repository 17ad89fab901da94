package forward

import (
	"bytes"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/upstream"
)

// errEndInsideEvent means that a stream ended inside an event, so that its endpoint
// broke it off, whatever its framing says.
var errEndInsideEvent = errors.New("stream ended inside an event")

// errEndBeforeEvents means that a stream that ends with its connection ended before
// its first event.
var errEndBeforeEvents = errors.New("connection closed before the first event of the stream")

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether the media type of a response is that of a stream of
// server-sent events.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// mayBeEventStream reports whether a response on a streaming route is to be taken for a
// stream of events: its media type says so, or is missing or invalid.
func mayBeEventStream(header http.Header) bool {
	_, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err != nil || isEventStream(header)
}

// maxEventBytes bounds one event of a stream, in bytes, with the comments before it.
const maxEventBytes = 64 << 10

// eventSplitter finds the ends of server-sent events in a stream.
type eventSplitter struct {
	// wholeEvents makes feed hold back bytes until their event is complete.
	wholeEvents bool
	// continues is set if the caller has received earlier parts of the response, within
	// which a byte order mark would be taken for a part of a line.
	continues bool
	// bound bounds the bytes that follow the last complete event, open counts them.
	bound      upstream.TooLargeError
	open       int
	boundaries boundaryTracker
	pending    []byte
	// returned is set once bytes were returned.
	returned bool
}

// feed adds bytes of the stream and returns those that may be relayed. The result
// is valid until the next call.
func (s *eventSplitter) feed(data []byte) []byte {
	events := s.boundaries.events
	boundary := s.boundaries.feed(data)
	if s.open += len(data); s.boundaries.events > events {
		s.open = len(data) - boundary
	}
	if !s.wholeEvents {
		return data
	}
	end := len(s.pending) + boundary
	s.pending = append(s.pending, data...)
	if boundary == noBoundary {
		return nil
	}
	ready := s.withoutMark(bytes.Clone(s.pending[:end]))
	s.pending, s.returned = s.pending[end:], true
	return ready
}

// withoutMark removes the byte order mark from the first bytes of a stream that
// continues a response.
func (s *eventSplitter) withoutMark(data []byte) []byte {
	if !s.continues || s.returned {
		return data
	}
	return bytes.TrimPrefix(data, []byte(byteOrderMark))
}

// checkEvents returns an error if body, a whole response, can't be a complete stream.
func checkEvents(body []byte, framing upstream.Framing) error {
	var events eventSplitter
	events.feed(body)
	return events.checkEnd(framing)
}

// checkEnd returns an error if the stream can't be complete with the bytes so far.
func (s *eventSplitter) checkEnd(framing upstream.Framing) error {
	switch {
	case s.boundaries.insideEvent():
		return errEndInsideEvent
	case framing == upstream.FramingClose && s.boundaries.events == 0:
		return errEndBeforeEvents
	default:
		return nil
	}
}

// checkOpen returns an error if too many bytes follow the last complete event.
func (s *eventSplitter) checkOpen() error {
	if s.open > s.bound.Limit {
		return &s.bound
	}
	return nil
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.withoutMark(s.pending) }

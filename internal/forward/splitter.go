package forward

import (
	"bytes"
	"strings"
)

// eventSplitter finds the ends of server-sent events in a stream.
type eventSplitter struct {
	// wholeEvents makes feed hold back bytes until their event is complete.
	wholeEvents bool
	pending     []byte
	// lastID is the identifier of the last complete event.
	lastID string
}

// feed adds bytes of the stream and returns those that may be relayed. The result
// is valid until the next call.
func (s *eventSplitter) feed(data []byte) []byte {
	if !s.wholeEvents {
		return data
	}
	s.pending = append(s.pending, data...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil
	}
	ready := bytes.Clone(s.pending[:end])
	s.pending = s.pending[end:]
	if id := lastID(ready); id != "" {
		s.lastID = id
	}
	return ready
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.pending }

// lastEventEnd returns the length of the complete events at the start of data, in
// bytes.
func lastEventEnd(data []byte) int {
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		return at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		return at + 4
	}
	return 0
}

// lastID returns the identifier of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range strings.Lines(string(events)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

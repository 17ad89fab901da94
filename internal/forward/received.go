package forward

import (
	"bytes"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// receivedEvents is what the caller of a resumable stream has received of its events, in
// earlier responses and in this one, as the format of server-sent events reads them. An
// identifier is remembered until an event has another one.
type receivedEvents struct {
	// lastID is the last event identifier; empty if there was none or an event reset it.
	lastID string
	// any is set once the caller has received an event with content, and unnumbered if
	// one came after the event that set lastID and had no identifier of its own.
	any, unnumbered bool
	// begun is set once the caller has received bytes of this response.
	begun bool
}

// receivedBefore returns the state of a caller whose last event was lastID; empty if it
// has received none.
func receivedBefore(lastID string) receivedEvents {
	return receivedEvents{lastID: lastID, any: lastID != ""}
}

// read adds bytes that consist of whole events.
func (r *receivedEvents) read(events []byte) {
	if !r.begun {
		r.begun = true
		events = bytes.TrimPrefix(events, []byte(byteOrderMark))
	}
	var event eventFields
	for len(events) > 0 {
		var line []byte
		line, events = cutLine(events)
		if len(line) > 0 {
			event.add(string(line))
			continue
		}
		r.add(event)
		event = eventFields{}
	}
}

// readOpaque adds bytes that are no server-sent events, so that nothing can follow them
// but the rest of the same response.
func (r *receivedEvents) readOpaque() { r.begun, r.any, r.unnumbered = true, true, true }

func (r *receivedEvents) add(event eventFields) {
	if event.hasID {
		r.lastID, r.unnumbered = event.id, false
	} else if event.hasContent {
		r.unnumbered = true
	}
	r.any = r.any || event.hasContent
}

// resumable reports whether another endpoint can go on so that the caller misses no
// event and receives none twice: from the start if it has received none, else after
// lastID, if that can be sent in a header field and names the caller's last event.
func (r *receivedEvents) resumable() bool {
	if strings.Trim(r.lastID, " \t") == "" {
		return !r.any
	}
	return !r.unnumbered && httpguts.ValidHeaderFieldValue(r.lastID)
}

// eventFields is what matters here of the fields of one event.
type eventFields struct {
	id                string
	hasID, hasContent bool
}

// add adds a line that is not blank.
func (e *eventFields) add(line string) {
	if line[0] == ':' {
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		if !strings.Contains(value, "\x00") { // the format ignores such identifiers
			e.id, e.hasID = value, true
		}
	case "event", "retry":
	default:
		e.hasContent = true
	}
}

// cutLine returns the first line of data, without its line end, and the rest.
func cutLine(data []byte) (line, rest []byte) {
	end := lineLength(data)
	line, rest = data[:end], data[end:]
	if bytes.HasPrefix(rest, []byte("\r\n")) {
		return line, rest[2:]
	}
	return line, rest[min(1, len(rest)):]
}

package forward

import "bytes"

// boundaryTracker follows the lines of a stream of server-sent events and tells
// whether the bytes so far end inside an event. Lines end in LF, CR or CRLF; a blank
// line ends an event.
type boundaryTracker struct {
	// events is the number of complete events.
	events int
	// eventOpen is set from the first field of an event to the blank line that ends
	// it. Comments belong to no event.
	eventOpen bool
	// lineOpen is set within a line that has begun and has not ended.
	lineOpen bool
	// afterCR is set if the last byte was a CR, which an LF may follow as part of the
	// same line end. usesCRLF is set once one did.
	afterCR, usesCRLF bool
}

// feed adds bytes of the stream. It returns the length of the part of data that ends
// with the last blank line; zero if there is none.
func (t *boundaryTracker) feed(data []byte) int {
	boundary := 0
	for at := 0; at < len(data); {
		switch c := data[at]; {
		case c == '\n' && t.afterCR:
			t.afterCR, t.usesCRLF = false, true
			at++
			if !t.insideEvent() {
				boundary = at
			}
		case c == '\n' || c == '\r':
			t.afterCR = c == '\r'
			at++
			if t.endLine() {
				boundary = at
			}
		default:
			t.beginLine(c)
			at += lineLength(data[at:])
		}
	}
	return boundary
}

// beginLine records bytes of a line, of which first is the first one.
func (t *boundaryTracker) beginLine(first byte) {
	t.afterCR = false
	if t.lineOpen {
		return
	}
	t.lineOpen = true
	if first != ':' {
		t.eventOpen = true
	}
}

// endLine records a line end and reports whether the line was blank.
func (t *boundaryTracker) endLine() bool {
	if t.lineOpen {
		t.lineOpen = false
		return false
	}
	if t.eventOpen {
		t.eventOpen = false
		t.events++
	}
	return true
}

// insideEvent reports whether the bytes so far end inside an event, a line or a
// line end.
func (t *boundaryTracker) insideEvent() bool {
	return t.eventOpen || t.lineOpen || t.afterCR && t.usesCRLF
}

// lineLength returns the number of bytes before the first line end in data.
func lineLength(data []byte) int {
	if end := bytes.IndexAny(data, "\r\n"); end >= 0 {
		return end
	}
	return len(data)
}

package forward

import "bytes"

// byteOrderMark may begin a stream of server-sent events, of which it is no part.
const byteOrderMark = "\xEF\xBB\xBF"

// noBoundary is returned by boundaryTracker.feed if no blank line ended.
const noBoundary = -1

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
	// blank is set if the last complete line was blank. blankHeld is set if it ended in
	// CR and counts only once the next byte has come, since the stream uses CRLF.
	blank, blankHeld bool
	// markBytes is the number of bytes of a byte order mark that began the stream. begun
	// is set once it is known whether there is one.
	markBytes int
	begun     bool
}

// feed adds bytes of the stream. It returns the length of the part of data that ends
// with the last blank line, or noBoundary. The length is zero if the line end before
// data turns out to be that of a blank line.
func (t *boundaryTracker) feed(data []byte) int {
	boundary := noBoundary
	for at := t.skipMark(data); at < len(data); {
		c := data[at]
		if t.blankHeld && c != '\n' {
			t.endBlankLine()
			boundary = at
		}
		switch {
		case c == '\n' && t.afterCR:
			t.afterCR, t.usesCRLF = false, true
			at++
			if t.blankHeld {
				t.endBlankLine()
			}
			if t.blank {
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

// skipMark skips a byte order mark at the start of the stream and returns the number of
// bytes of data that belong to it.
func (t *boundaryTracker) skipMark(data []byte) int {
	for at, c := range data {
		switch {
		case t.begun:
			return at
		case c != byteOrderMark[t.markBytes]:
			t.begun = true
			if t.markBytes > 0 { // those bytes began a line
				t.beginLine(byteOrderMark[0])
			}
			return at
		}
		t.markBytes++
		t.begun = t.markBytes == len(byteOrderMark)
	}
	return len(data)
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

// endLine records a line end and reports whether a blank line is complete.
func (t *boundaryTracker) endLine() bool {
	t.blank = !t.lineOpen
	if t.lineOpen {
		t.lineOpen = false
		return false
	}
	if t.afterCR && t.usesCRLF {
		t.blankHeld = true
		return false
	}
	t.endBlankLine()
	return true
}

// endBlankLine records a complete blank line.
func (t *boundaryTracker) endBlankLine() {
	t.blankHeld = false
	if t.eventOpen {
		t.eventOpen = false
		t.events++
	}
}

// insideEvent reports whether the bytes so far end inside an event, a line, a line end
// or a byte order mark.
func (t *boundaryTracker) insideEvent() bool {
	return t.eventOpen || t.lineOpen || t.afterCR && t.usesCRLF || !t.begun && t.markBytes > 0
}

// lineLength returns the number of bytes before the first line end in data.
func lineLength(data []byte) int {
	if end := bytes.IndexAny(data, "\r\n"); end >= 0 {
		return end
	}
	return len(data)
}

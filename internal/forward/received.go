package forward

import (
	"bytes"
	"cmp"
	"hash/maphash"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
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
	// ids are the hashes of the first maxKnownIDs identifiers.
	ids []uint64
	// checksIDs is set if the events of the answer that is read must follow those received.
	// needsID is set until an event of it has an identifier, needsContent until one has
	// content.
	checksIDs, needsID, needsContent bool
}

// maxKnownIDs bounds the identifiers that are remembered for a stream: 4 KiB. The first ones
// are kept, since an endpoint that restarts a stream repeats them first.
const maxKnownIDs = 512

// Reasons why an answer does not go on with a stream.
var (
	errNotFollowing = errors.New("the identifier of an event does not follow those that the caller has received")
	errNoIdentifier = errors.New("the first event has no identifier, so that it may be no part of the stream")
	errNothingNew   = errors.New("the answer ended without a further event, which does not prove that the stream was complete")
)

// receivedBefore returns the state of a caller whose last event was lastID; empty if it
// has received none.
func receivedBefore(lastID string) receivedEvents {
	r := receivedEvents{lastID: lastID, any: lastID != ""}
	r.remember(lastID)
	return r
}

// beginAnswer prepares for the answer of another endpoint. continues is set if it continues
// a response that the caller has received in part. Then it must bring an event, and if the
// caller has received any, the first one must have an identifier that follows them: without
// one, an error message or the events of another run would pass for the rest of the stream.
//
// What can't be told apart from the rest of a stream: events of another run with identifiers
// that follow, and events that the endpoint leaves out, since identifiers may have gaps. In
// an answer that begins a response, events without identifiers can't be told from others
// either, nor the answer of an endpoint that failed with nothing sent from the end of a stream.
func (r *receivedEvents) beginAnswer(continues bool) {
	r.checksIDs = r.any || trimID(r.lastID) != ""
	r.needsID, r.needsContent = continues && r.checksIDs, continues
}

// accept reads bytes that consist of whole events, comments and other parts, up to the first
// event that does not go on with the stream. It returns the bytes before that event, which
// may be relayed, and why the event does not go on.
func (r *receivedEvents) accept(parts []byte) ([]byte, error) {
	rest := parts
	if !r.begun {
		rest = bytes.TrimPrefix(parts, []byte(byteOrderMark))
	}
	accepted := 0
	var event eventFields
	for len(rest) > 0 {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) > 0 {
			event.add(string(line))
			continue
		}
		if err := r.check(event); err != nil {
			return parts[:accepted], err
		}
		r.add(event)
		event, accepted, r.begun = eventFields{}, len(parts)-len(rest), true
	}
	return parts, nil
}

// checkEnd returns an error if an answer that ends now can't be the rest of the stream.
func (r *receivedEvents) checkEnd() error {
	if r.needsContent {
		return errNothingNew
	}
	return nil
}

// readOpaque adds bytes that are no server-sent events, so that nothing can follow them
// but the rest of the same response.
func (r *receivedEvents) readOpaque() { r.begun, r.any, r.unnumbered = true, true, true }

// check returns an error if an event does not go on with the stream.
func (r *receivedEvents) check(event eventFields) error {
	switch {
	case !event.hasID && !event.hasContent: // a comment, a retry field or a blank line
		return nil
	case r.needsID && trimID(event.id) == "":
		return errNoIdentifier
	case r.checksIDs && event.hasID && !r.isNew(event.id):
		return errNotFollowing
	default:
		return nil
	}
}

func (r *receivedEvents) add(event eventFields) {
	if event.hasID {
		r.lastID, r.unnumbered, r.needsID = event.id, false, false
		r.remember(event.id)
	} else if event.hasContent {
		r.unnumbered = true
	}
	r.any = r.any || event.hasContent
	r.needsContent = r.needsContent && !event.hasContent
}

func (r *receivedEvents) remember(id string) {
	if id = trimID(id); id != "" && len(r.ids) < maxKnownIDs {
		r.ids = append(r.ids, hashID(id))
	}
}

// isNew reports whether an identifier can be that of an event which the caller has not
// received: as a number, it is above the last one; else it is none that is remembered. One
// that resets the identifier always can.
func (r *receivedEvents) isNew(id string) bool {
	id, last := trimID(id), trimID(r.lastID)
	switch {
	case id == "":
		return true
	case isNumber(id) && isNumber(last):
		return compareNumbers(id, last) > 0
	default:
		return id != last && !slices.Contains(r.ids, hashID(id))
	}
}

// trimID removes the white space around an identifier, as header fields do.
func trimID(id string) string { return strings.Trim(id, " \t") }

var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

func isNumber(text string) bool { return text != "" && strings.Trim(text, "0123456789") == "" }

// compareNumbers compares numbers of any length as cmp.Compare does.
func compareNumbers(a, b string) int {
	a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// resumable reports whether another endpoint can go on so that the caller misses no
// event and receives none twice: from the start if it has received none, else after
// lastID, if that can be sent in a header field and names the caller's last event.
func (r *receivedEvents) resumable() bool {
	if trimID(r.lastID) == "" {
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

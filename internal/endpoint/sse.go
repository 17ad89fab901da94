package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// maxLineBytes is the maximum length of a line of a server-sent event stream.
const maxLineBytes = 1 << 20

// Event is one server-sent event that an EventReader has verified.
type Event struct {
	// Offset is the event's position in the stream, starting at 0.
	Offset int64
	Data   []byte
	// Done marks the final event of a complete response.
	Done bool
}

// EventReader reads the server-sent events of an attempt's response. It verifies
// that each event belongs to the attempt and directly follows the previous one.
type EventReader struct {
	endpoint string
	attempt  string
	next     int64
	// begun is set once the first event was read.
	begun  bool
	reader *bufio.Reader
}

// NewEventReader returns an EventReader for body. The first event that it
// returns has the offset next.
func NewEventReader(endpoint, attempt string, next int64, body io.Reader) *EventReader {
	return &EventReader{endpoint: endpoint, attempt: attempt, next: next, reader: bufio.NewReader(body)}
}

// Next returns the next event. It skips duplicate events. It returns a
// MismatchError for an event of another attempt, a NotResumedError if the first event comes
// before the one to begin at, since what follows it may be another generation, a
// ProgressTimeoutError if a progress limit expires, and an IncompleteResponseError for a gap
// or the end of the body. Callers must stop at the event that has Done set.
func (r *EventReader) Next() (Event, error) {
	for {
		id, data, err := r.read()
		if err != nil {
			return Event{}, err
		}
		offset, err := r.offset(id)
		if err != nil {
			return Event{}, err
		}
		if offset < r.next && !r.begun {
			return Event{}, &NotResumedError{Endpoint: r.endpoint, Attempt: r.attempt, Want: r.next, Got: offset}
		}
		r.begun = true
		if offset < r.next {
			continue
		}
		if offset > r.next {
			return Event{}, r.incomplete(errors.Newf("event %d received after event %d", offset, r.next-1))
		}
		r.next++
		return Event{Offset: offset, Data: data, Done: string(data) == engineapi.DoneMarker}, nil
	}
}

// Offset returns the offset of the next event.
func (r *EventReader) Offset() int64 { return r.next }

// offset parses an event id of the form ATTEMPT/OFFSET.
func (r *EventReader) offset(id string) (int64, error) {
	mismatch := &MismatchError{Endpoint: r.endpoint, Attempt: r.attempt, Got: id}
	prefix := r.attempt + "/"
	if len(id) <= len(prefix) || id[:len(prefix)] != prefix {
		return 0, mismatch
	}
	offset, err := strconv.ParseInt(id[len(prefix):], 10, 64)
	if err != nil || offset < 0 {
		return 0, mismatch
	}
	return offset, nil
}

// read parses the stream and returns the id and data of the next event that has
// data.
func (r *EventReader) read() (id string, data []byte, err error) {
	hasData := false
	for {
		line, err := r.line()
		if err != nil {
			return "", nil, err
		}
		if len(line) == 0 {
			if hasData {
				return id, data, nil
			}
			id = ""
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id = string(value)
		case "data":
			if hasData {
				data = append(data, '\n')
			}
			data = append(data, value...)
			hasData = true
		}
	}
}

func (r *EventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, r.incomplete(errors.Newf("line of the event stream exceeds %d bytes", maxLineBytes))
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, r.readError(err)
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

func (r *EventReader) readError(err error) error {
	var timeout *ProgressTimeoutError
	if errors.As(err, &timeout) {
		return timeout
	}
	return r.incomplete(err)
}

func (r *EventReader) incomplete(cause error) error {
	return &IncompleteResponseError{Endpoint: r.endpoint, Attempt: r.attempt, Cause: cause}
}

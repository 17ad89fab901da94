package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// maxLineBytes bounds one line of an SSE answer.
const maxLineBytes = 1 << 20

// Event is one verified event of a streamed answer.
type Event struct {
	Offset int64
	Data   []byte
	// Done marks the final event of a whole answer.
	Done bool
}

// EventReader reads the events of one attempt's streamed answer and verifies
// that each belongs to the attempt and follows the one before.
type EventReader struct {
	endpoint string
	attempt  string
	next     int64
	reader   *bufio.Reader
}

// NewEventReader reads from the event with the offset next on.
func NewEventReader(endpoint, attempt string, next int64, body io.Reader) *EventReader {
	return &EventReader{endpoint: endpoint, attempt: attempt, next: next, reader: bufio.NewReader(body)}
}

// Next returns the next event. A doubled event is passed over; one that
// belongs to another attempt is a MismatchError, and a gap or an end without
// the final event is a CutError.
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
		if offset < r.next {
			continue
		}
		if offset > r.next {
			return Event{}, r.cut(errors.Newf("event %d follows event %d", offset, r.next-1))
		}
		r.next++
		return Event{Offset: offset, Data: data, Done: string(data) == engineapi.DoneMarker}, nil
	}
}

// Offset returns the offset that the next event must have.
func (r *EventReader) Offset() int64 { return r.next }

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

// read returns the id and data of the next event that has data.
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
			return nil, r.cut(errors.Newf("a line is over %d bytes", maxLineBytes))
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, r.ended(err)
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

func (r *EventReader) ended(err error) error {
	var silent *SilentError
	if errors.As(err, &silent) {
		return silent
	}
	return r.cut(err)
}

func (r *EventReader) cut(cause error) error {
	return &CutError{Endpoint: r.endpoint, Attempt: r.attempt, Cause: cause}
}

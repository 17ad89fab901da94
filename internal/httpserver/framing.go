package httpserver

import (
	"bytes"
	"math"
	"strconv"
)

// maxFramingLine is the length of the part of a head's line that framing keeps while the rest
// has not arrived. It holds any Content-Length or Transfer-Encoding that net/http accepts,
// short of excessive white space.
const maxFramingLine = 96

// maxLeadingBreaks is how many bytes of line breaks net/http skips before the request that
// follows a POST.
const maxLeadingBreaks = 4

// framing counts the requests in the bytes of a connection that are read as HTTP/1. It follows
// net/http in where a request ends. It need not detect malformed requests, after which
// net/http reads nothing more. If it can't tell where a request ends, it is lost for good, and
// all that follows counts as a part of that request.
type framing struct {
	// begun is the number of requests of which a byte was seen, whole of those seen to their
	// last byte.
	begun, whole int
	lost         bool

	part framingPart
	// left is what is left of the part: bytes of a body, a chunk or the line break after a
	// chunk.
	left int64
	// line is the beginning of an incomplete line of the head or the trailers; of a request
	// line, which may be long, it has the first and the last bytes.
	line       [maxFramingLine]byte
	lineLength int
	lineCut    bool
	// What the head says so far.
	afterPost, post, http10, chunked, hasLength bool
	// afterFraming is set if the last field says how the request is framed.
	afterFraming bool
	length       int64
	breaks       int
	// State of a chunk's size line.
	chunkSize   int64
	chunkDigits int
	sizeEnded   bool
}

type framingPart uint8

const (
	partStart framingPart = iota
	partRequestLine
	partFields
	partBody
	partChunkSize
	partChunk
	partChunkEnd
	partTrailers
)

// add follows the next bytes of the connection.
func (f *framing) add(data []byte) {
	for len(data) > 0 && !f.lost {
		switch f.part {
		case partStart:
			if f.afterPost && f.breaks < maxLeadingBreaks && (data[0] == '\r' || data[0] == '\n') {
				f.breaks++
				data = data[1:]
				continue
			}
			f.begun++
			f.part, f.breaks = partRequestLine, 0
			f.post, f.http10, f.chunked, f.hasLength, f.length = false, false, false, false, 0
		case partRequestLine, partFields, partTrailers:
			data = f.addLine(data)
		case partBody, partChunk, partChunkEnd:
			n := min(f.left, int64(len(data)))
			f.left -= n
			data = data[n:]
			if f.left == 0 {
				f.endPart()
			}
		case partChunkSize:
			f.addSize(data[0])
			data = data[1:]
		}
	}
}

// endPart begins the part after one whose length was known.
func (f *framing) endPart() {
	switch f.part {
	case partBody:
		f.endRequest()
	case partChunk:
		f.part, f.left = partChunkEnd, int64(len("\r\n"))
	case partChunkEnd:
		f.beginSize()
	}
}

func (f *framing) endRequest() {
	f.whole++
	f.part, f.afterPost = partStart, f.post
}

// addLine follows a line of the head or the trailers and returns the bytes after it.
func (f *framing) addLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		f.keep(data)
		return nil
	}
	line, rest := data[:end], data[end+1:]
	if f.lineLength > 0 {
		f.keep(line)
		line = f.line[:f.lineLength]
	}
	cut := f.lineCut
	f.lineLength, f.lineCut = 0, false
	line = bytes.TrimSuffix(line, []byte{'\r'})
	switch {
	case f.part == partRequestLine:
		f.endRequestLine(line)
	case len(line) > 0 && f.part == partFields:
		f.addField(line, cut)
	case len(line) > 0:
	case f.part == partTrailers:
		f.endRequest()
	default:
		f.endHead()
	}
	return rest
}

// keep adds to the incomplete line.
func (f *framing) keep(data []byte) {
	n := copy(f.line[f.lineLength:], data)
	f.lineLength += n
	if n == len(data) {
		return
	}
	f.lineCut = true
	if f.part == partRequestLine {
		// Keeps the method at the front and the version at the back.
		const tail = maxFramingLine / 2
		kept := f.line[tail:]
		if data = data[n:]; len(data) < len(kept) {
			copy(kept, kept[len(data):])
			copy(kept[len(kept)-len(data):], data)
		} else {
			copy(kept, data[len(data)-len(kept):])
		}
	}
}

func (f *framing) endRequestLine(line []byte) {
	f.post = bytes.HasPrefix(line, []byte("POST "))
	if i := bytes.LastIndex(line, []byte(" HTTP/1.")); i < 0 || i != len(line)-len(" HTTP/1.1") {
		f.lost = true // malformed, or HTTP/2
		return
	}
	f.http10 = line[len(line)-1] == '0'
	f.part, f.afterFraming = partFields, true // a line that continues none is malformed
}

var (
	lengthName   = []byte("Content-Length")
	encodingName = []byte("Transfer-Encoding")
)

// addField follows a field of the head. It is lost on a line that net/http joins with a field
// that says how the request is framed, and on any framing that net/http refuses.
func (f *framing) addField(line []byte, cut bool) {
	switch line[0] {
	case 'C', 'c', 'T', 't':
	case ' ', '\t':
		f.lost = f.afterFraming
		return
	default:
		f.afterFraming = false
		return
	}
	f.afterFraming = false
	name, value, _ := bytes.Cut(line, []byte{':'})
	exact := bytes.TrimSpace(name)
	isLength, isEncoding := bytes.EqualFold(exact, lengthName), bytes.EqualFold(exact, encodingName)
	if !isLength && !isEncoding {
		return
	}
	f.afterFraming = true
	if cut || len(exact) != len(name) {
		f.lost = true
		return
	}
	value = bytes.Trim(value, " \t")
	if isLength {
		length, ok := parseLength(value)
		if !ok || f.hasLength && length != f.length {
			f.lost = true
		}
		f.length, f.hasLength = length, true
		return
	}
	if f.http10 {
		return // net/http ignores it
	}
	if f.chunked || !bytes.EqualFold(value, []byte("chunked")) {
		f.lost = true
	}
	f.chunked = true
}

// parseLength parses a Content-Length without allocating.
func parseLength(text []byte) (length int64, ok bool) {
	for _, c := range text {
		if c < '0' || c > '9' || length > (math.MaxInt64-9)/10 {
			return 0, false
		}
		length = length*10 + int64(c-'0')
	}
	return length, len(text) > 0
}

func (f *framing) endHead() {
	switch {
	case f.chunked:
		f.beginSize()
	case f.length > 0:
		f.part, f.left = partBody, f.length
	default:
		f.endRequest()
	}
}

func (f *framing) beginSize() {
	f.part, f.chunkSize, f.chunkDigits, f.sizeEnded = partChunkSize, 0, 0, false
}

// addSize follows a byte of the line with a chunk's size and extensions.
func (f *framing) addSize(c byte) {
	switch {
	case c == '\n':
		switch {
		case f.chunkDigits == 0:
			f.lost = true
		case f.chunkSize == 0:
			f.part = partTrailers
		default:
			f.part, f.left = partChunk, f.chunkSize
		}
	case f.sizeEnded:
	case c == ';' || c == ' ' || c == '\t' || c == '\r':
		f.sizeEnded = true
	default:
		digit, err := strconv.ParseUint(string(c), 16, 8)
		const maxDigits = 15 // more would overflow
		if err != nil || f.chunkDigits == maxDigits {
			f.lost = true
			return
		}
		f.chunkSize = f.chunkSize<<4 | int64(digit)
		f.chunkDigits++
	}
}

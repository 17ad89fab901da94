// Package endless plays endpoints whose responses have no end: bytes that are no
// response, or are none any more, until the other side closes the connection.
package endless

import (
	"fmt"
	"io"
	"strings"
)

// Place is where in a response the bytes without end are.
type Place string

// The places.
const (
	StatusLine     Place = "status line"
	HeaderLine     Place = "header line"
	HeaderList     Place = "list of headers"
	Informational  Place = "informational responses"
	StrayBody      Place = "body of a stray response"
	StrayResponses Place = "stray responses"
	ChunkExtension Place = "chunk extension"
	Trailer        Place = "trailer"
	Body           Place = "body"
	ChunkedBody    Place = "body in chunks"
	Event          Place = "event of a stream"
	Comments       Place = "comments of a stream"
)

// Places returns all places. Those of streams come last.
func Places() []Place {
	return []Place{
		StatusLine, HeaderLine, HeaderList, Informational, StrayBody, StrayResponses, ChunkExtension, Trailer, Body, ChunkedBody, Event, Comments,
	}
}

// maxBytes ends a response whose reader never closes the connection.
const maxBytes = 4 << 30

// Write writes a response without end to conn until the other side closes it. header
// holds header lines of the response, each with its line end. It returns the number of
// bytes written.
func Write(conn io.Writer, place Place, header string) int64 {
	start, filler := parts(place, header)
	written, err := io.WriteString(conn, start)
	total := int64(written)
	block := strings.Repeat(filler, max(1, 64<<10/len(filler)))
	for err == nil && total < maxBytes {
		written, err = io.WriteString(conn, block)
		total += int64(written)
	}
	return total
}

// parts returns the start of a response and what follows it again and again.
func parts(place Place, header string) (start, filler string) {
	const ok = "HTTP/1.1 200 OK\r\n"
	stray := ok + "Request-Id: stray\r\n"
	switch place {
	case StatusLine:
		return "HTTP/1.1 200 ", "x"
	case HeaderLine:
		return ok + header + "Filler: ", "x"
	case HeaderList:
		return ok + header, "Filler: x\r\n"
	case Informational:
		return "", "HTTP/1.1 102 Processing\r\n\r\n"
	case StrayBody:
		return stray + "\r\n", "x"
	case StrayResponses:
		return "", stray + "Content-Length: 1\r\n\r\nx"
	case ChunkExtension:
		return ok + header + "Transfer-Encoding: chunked\r\n\r\n1;", "x"
	case Trailer:
		return ok + header + "Transfer-Encoding: chunked\r\n\r\n0\r\nFiller: ", "x"
	case Body:
		return ok + header + "\r\n", "x"
	case ChunkedBody:
		chunk := strings.Repeat("x", 1<<10)
		return ok + header + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	case Event:
		return ok + header + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"
	case Comments:
		return ok + header + "Content-Type: text/event-stream\r\n\r\n", ": x\n"
	}
	panic("unknown place " + string(place))
}

// Package responsehead checks the heads of HTTP/1 responses more strictly than net/http, which
// passes over what it can't read: a field whose name holds a blank hides the length of the
// body, and a status below 100 hides the whole response, so that what follows is taken for it.
package responsehead

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedError means that what arrived in place of a response's head is none.
type MalformedError struct {
	// Reason says what is wrong with Line, which is cut to maxShownLine bytes.
	Reason, Line string
}

const maxShownLine = 80

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed head of a response (%s: %q); check what the other side sends", e.Reason, e.Line)
}

// checker checks the bytes of response heads as they arrive. The zero value passes over
// everything until expect is called.
type checker struct {
	// allowUpgrade is set if the request asked for another protocol.
	allowUpgrade bool

	part headPart
	// line is the beginning of a line that has not arrived completely.
	line []byte
	// What the head says so far.
	informational, http10, hasLength, hasCoding bool
	err                                         error
}

type headPart uint8

const (
	partNone headPart = iota
	partStatus
	partFields
)

// expect begins a head.
func (c *checker) expect() { c.part, c.line = partStatus, nil }

// complete reports whether the last head that was expected has arrived.
func (c *checker) complete() bool { return c.part == partNone }

// feed checks the next bytes as far as they belong to heads, and returns how many of them come
// before the end of a malformed line.
func (c *checker) feed(p []byte) (int, error) {
	fed := 0
	for c.err == nil && c.part != partNone {
		end := bytes.IndexByte(p[fed:], '\n')
		if end < 0 {
			c.line = append(c.line, p[fed:]...)
			break
		}
		line := strings.TrimSuffix(string(c.line)+string(p[fed:fed+end]), "\r")
		c.line = nil
		if c.err = c.checkLine(line); c.err != nil {
			return fed + end, c.err
		}
		fed += end + 1
	}
	return len(p), c.err
}

func (c *checker) checkLine(line string) error {
	reason := ""
	switch {
	case c.part == partStatus:
		reason = c.checkStatus(line)
		c.part = partFields
	case len(line) > 0:
		reason = c.checkField(line)
	default:
		reason = c.checkEnd()
	}
	if reason == "" {
		return nil
	}
	return &MalformedError{Reason: reason, Line: line[:min(len(line), maxShownLine)]}
}

// checkStatus checks a status line, and returns what is wrong with it.
func (c *checker) checkStatus(line string) string {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	switch {
	case !ok || major != 1:
		return "not HTTP/1"
	case len(status) != 3 || status < "100" || status > "599" || strings.Trim(status, "0123456789") != "":
		return "status not from 100 to 599"
	case !httpguts.ValidHeaderFieldValue(reason):
		return "control byte"
	case status == "101" && !c.allowUpgrade:
		return "change of protocol that was not asked for"
	}
	c.informational = status[0] == '1' && status != "101"
	c.http10, c.hasLength, c.hasCoding = minor == 0, false, false
	return ""
}

// checkField checks a field line, and returns what is wrong with it. It rejects a field that is
// continued on a further line, as RFC 9112 (5.2) allows a gateway to.
func (c *checker) checkField(line string) string {
	name, value, found := strings.Cut(line, ":")
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return "line that begins with a blank"
	case !found:
		return "field without a colon"
	case !httpguts.ValidHeaderFieldName(name):
		return "invalid field name"
	case !httpguts.ValidHeaderFieldValue(value):
		return "control byte in a field"
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		c.hasLength = true
	case strings.EqualFold(name, "Transfer-Encoding"):
		c.hasCoding = true
	}
	return ""
}

// checkEnd checks a head at its end, and returns what is wrong with it. After an
// informational response, the head of another follows.
func (c *checker) checkEnd() string {
	switch {
	case c.hasLength && c.hasCoding:
		return "both Content-Length and Transfer-Encoding" // RFC 9112, 6.3
	case c.http10 && c.hasCoding:
		return "Transfer-Encoding in HTTP/1.0" // RFC 9112, 6.1
	}
	c.part = partNone
	if c.informational {
		c.part = partStatus
	}
	return ""
}

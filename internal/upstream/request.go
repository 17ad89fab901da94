package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// framingFields are the fields of a request that Message.write sets itself.
var framingFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// check returns an error if the message can't be written so that an endpoint reads it as
// one request with exactly this method and target.
func (m Message) check() error {
	switch {
	case !httpguts.ValidHeaderFieldName(m.Method): // a token, too
		return errors.Newf("invalid method %q", m.Method)
	case m.Target == "" || strings.ContainsFunc(m.Target, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return errors.Newf("invalid request target %q", m.Target)
	case !httpguts.ValidHostHeader(m.Host):
		return errors.Newf("invalid host %q", m.Host)
	}
	return nil
}

// write writes the message. Its method, target, host and body are sent as they are; a
// http.Request would parse and rewrite the target.
func (m Message) write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(buffered, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		_, _ = fmt.Fprintf(buffered, "Content-Length: %d\r\n", len(m.Body))
	}
	// bufio.Writer keeps the first error for Flush.
	_ = m.Header.WriteSubset(buffered, framingFields)
	_, _ = buffered.WriteString("\r\n")
	_, _ = buffered.Write(m.Body)
	return buffered.Flush()
}

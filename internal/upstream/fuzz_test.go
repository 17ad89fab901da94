package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bilberryslip.example/bilberryslip/internal/standin/endless"
)

// recordedConn is a connection on which an endpoint has sent some bytes, and then went
// on with filler without end or closed it.
type recordedConn struct {
	net.Conn
	sent   *bytes.Reader
	filler string
	// taken counts the bytes that were read.
	taken int
}

func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.sent.Read(p)
	if errors.Is(err, io.EOF) && c.filler != "" {
		for n = 0; n < len(p); {
			n += copy(p[n:], c.filler)
		}
		err = nil
	}
	c.taken += n
	return n, err
}

// FuzzResponse feeds the reader of responses what an endpoint may send. It never reads
// more than its bounds, and a body with a length or chunks is complete only if it was
// sent to its end.
func FuzzResponse(f *testing.F) {
	for _, place := range endless.Places() {
		var start bytes.Buffer
		endless.Write(&limitedWriter{&start, 2000}, place, "Request-Id: 1\r\n")
		f.Add(start.Bytes(), "x")
	}
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n",
	} {
		f.Add([]byte(whole), "")
	}
	f.Fuzz(func(t *testing.T, sent []byte, filler string) {
		raw := &recordedConn{sent: bytes.NewReader(sent), filler: filler}
		x := &Exchange{conn: newConn(raw)}
		err := x.readHeader(&http.Request{Method: http.MethodGet}, func(h http.Header) bool { return h.Get("Request-Id") == "1" })
		if most := (maxStrayResponses+maxInformational+1)*maxHeadBytes + maxStrayResponses*maxStrayBytes; raw.taken > most {
			t.Fatalf("%d bytes taken before the response, at most %d", raw.taken, most)
		}
		if err != nil {
			return
		}
		length := x.Response.ContentLength
		if x.Framing() == FramingClose && filler != "" {
			return // has no end
		}
		const enough = 64 << 10
		n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, enough))
		if x.Framing() == FramingLength && err == nil && n < enough && length > 0 && n != length {
			t.Fatalf("%d bytes passed as a complete body of %d", n, length)
		}
		if x.Framing() == FramingChunked && err == nil && n < enough && filler == "" && !strings.Contains(string(sent), "0\r\n") && !strings.Contains(string(sent), "0\n") {
			t.Fatalf("%d bytes passed as a complete body without a last chunk", n)
		}
	})
}

// limitedWriter fails after a number of bytes.
type limitedWriter struct {
	to   io.Writer
	left int
}

func (w *limitedWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p[:min(len(p), w.left)])
	if w.left -= n; err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	return n, err
}

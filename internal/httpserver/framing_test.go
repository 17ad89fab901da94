package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

const (
	plainGet  = "GET /a HTTP/1.1\r\nHost: test\r\n\r\n"
	post      = "POST /a HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nhello"
	chunkPost = "POST /a HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=\"a\"\r\nhello\r\n0\r\nA: b\r\n\r\n"
)

// TestFraming guards against requests whose beginning or end is missed, however the bytes
// are split.
func TestFraming(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, text   string
		begun, whole int
		lost         bool
	}{
		{"nothing", "", 0, 0, false},
		{"one byte", "G", 1, 0, false},
		{"head without its end", strings.TrimSuffix(plainGet, "\r\n"), 1, 0, false},
		{"each framing", plainGet + post + chunkPost + plainGet, 4, 4, false},
		{"a byte of the next", post + "P", 2, 1, false},
		{"body not complete", post[:len(post)-1], 1, 0, false},
		{"trailers not complete", chunkPost[:len(chunkPost)-2], 1, 0, false},
		{"bare line feeds", "GET / HTTP/1.1\nHost: test\n\n", 1, 1, false},
		{"long request line", "GET /" + long + " HTTP/1.1\r\nHost: test\r\n\r\n" + post, 2, 2, false},
		{"long field", "GET / HTTP/1.1\r\nHost: test\r\nCookie: " + long + "\r\n\r\n" + post, 2, 2, false},
		{"line breaks after POST", post + "\r\n", 1, 1, false},
		{"request after line breaks after POST", post + "\r\n" + plainGet, 2, 2, false},
		{"line breaks after GET", plainGet + "\r\n", 2, 1, true},
		{"encoding ignored in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nxG", 2, 1, false},
		{"equal lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\nxG", 2, 1, false},
		{"unequal lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxG", 1, 0, true},
		{"length too large", "POST / HTTP/1.1\r\nContent-Length: 9223372036854775808\r\n\r\nxG", 1, 0, true},
		{"unknown encoding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nxG", 1, 0, true},
		{"folded field", "POST / HTTP/1.1\r\nX-Note: a\r\n b\r\nContent-Length: 1\r\n\r\nxG", 2, 1, false},
		{"joined field", "POST / HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\nxG", 1, 0, true},
		{"padded length", "POST / HTTP/1.1\r\nContent-Length: " + strings.Repeat(" ", 20) + "1\r\n\r\nxG", 2, 1, false},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 1, 0, true},
	} {
		for _, step := range []int{len(c.text) + 1, 1, 2, 7, 64} {
			var f framing
			for at := 0; at < len(c.text); at += step {
				f.add([]byte(c.text[at:min(at+step, len(c.text))]))
			}
			if f.begun != c.begun || f.whole != c.whole || f.lost != c.lost {
				t.Errorf("%s by %d bytes: begun %d, whole %d, lost %t; want %d, %d, %t", c.name, step, f.begun, f.whole, f.lost, c.begun, c.whole, c.lost)
			}
		}
	}
}

// countRequests reads requests as net/http's server does. ok is false if one is malformed, for
// which the server closes the connection.
func countRequests(data []byte) (begun, whole int, ok bool) {
	reader := bufio.NewReader(bytes.NewReader(data))
	for method := ""; ; {
		if method == http.MethodPost {
			peeked, _ := reader.Peek(maxLeadingBreaks)
			_, _ = reader.Discard(len(peeked) - len(bytes.TrimLeft(peeked, "\r\n")))
		}
		if _, err := reader.Peek(1); err != nil {
			return begun, whole, true
		}
		begun++
		request, err := http.ReadRequest(reader)
		if err == nil {
			method = request.Method
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			return begun, whole, err == io.ErrUnexpectedEOF
		}
		whole++
	}
}

// FuzzFraming compares the count of requests with that of net/http, with the bytes at once
// and in two parts.
func FuzzFraming(f *testing.F) {
	for _, text := range []string{plainGet + post + chunkPost, post + "\r\n\r\n" + plainGet, chunkPost + chunkPost[:60], "GET / HTTP/1.0\nTransfer-Encoding: chunked\n\n" + plainGet} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	f.Fuzz(func(t *testing.T, data []byte, at uint16) {
		begun, whole, ok := countRequests(data)
		if !ok {
			return
		}
		for _, split := range []int{0, min(int(at), len(data))} {
			var got framing
			got.add(data[:split])
			got.add(data[split:])
			if !got.lost && (got.begun != begun || got.whole != whole) {
				t.Fatalf("begun %d, whole %d of %q split at %d; net/http reads %d, %d", got.begun, got.whole, data, split, begun, whole)
			}
		}
	})
}

// BenchmarkFraming measures one request of the usual size that arrives in one read.
func BenchmarkFraming(b *testing.B) {
	data := []byte("POST /service/path HTTP/1.1\r\nHost: service.example\r\nX-Request: 9c41d07be2a35f68\r\nX-Model: model-1\r\n" +
		"X-Segments: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Deadline: 5000\r\nX-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: 2048\r\n\r\n" + fmt.Sprintf("%2048d", 0))
	var f framing
	b.ReportAllocs()
	for b.Loop() {
		f.add(data)
	}
	if f.whole != f.begun || f.lost {
		b.Fatal("requests were not followed")
	}
}

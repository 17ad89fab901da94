package responsehead

import (
	"errors"
	"strings"
	"testing"
)

const lines = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

// malformedHeads are heads that net/http takes in part or in whole.
var malformedHeads = map[string]string{
	"status 000":                             "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n",
	"status 099":                             "HTTP/1.1 099 OK\r\n\r\n" + lines + "\r\n",
	"status 600":                             "HTTP/1.1 600 OK\r\n\r\n",
	"status with a sign":                     "HTTP/1.1 +20 OK\r\n\r\n",
	"other major version":                    "HTTP/2.7 200 OK\r\n\r\n",
	"control byte behind the status":         "HTTP/1.1 200 O\x01K\r\n\r\n",
	"other protocol, not asked for":          "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"blank in a name":                        lines + "X Oops: 1\r\n\r\n",
	"blank behind a name":                    lines + "Content-Length : 4\r\n\r\n",
	"blank behind the name of the coding":    lines + "Transfer-Encoding : chunked\r\n\r\n",
	"tab behind a name":                      lines + "Content-Length\t: 4\r\n\r\n",
	"blank before the first name":            "HTTP/1.1 200 OK\r\n Content-Length: 4\r\n\r\n",
	"continued field":                        lines + " Content-Length: 4\r\n\r\n",
	"control byte in a name":                 lines + "X-\x01Oops: 1\r\n\r\n",
	"NUL in a name":                          lines + "X\x00: 1\r\n\r\n",
	"byte over 0x7e in a name":               lines + "X-\xe9: 1\r\n\r\n",
	"no name":                                lines + ": 1\r\n\r\n",
	"no colon":                               lines + "Oops\r\n\r\n",
	"NUL in a value":                         lines + "X: a\x00b\r\n\r\n",
	"carriage return in a value":             lines + "X: a\rContent-Length: 4\r\n\r\n",
	"length and coding":                      lines + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
	"coding in HTTP/1.0":                     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"blank in a name of an early hint":       "HTTP/1.1 103 Early Hints\r\nX Oops: 1\r\n\r\n" + lines + "\r\n",
	"malformed head after an early response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
}

var soundHeads = map[string]string{
	"length":              lines + "content-length: 4\r\n\r\n",
	"chunks":              lines + "Transfer-Encoding: chunked\r\n\r\n",
	"neither":             "HTTP/1.0 200 OK\r\n\r\n",
	"no reason":           "HTTP/1.1 204\r\n\r\n",
	"line feeds alone":    "HTTP/1.1 200 OK\nX: 1\n\n",
	"odd but valid bytes": "HTTP/1.1 503 caf\xe9\r\nX!#$%&'*+-.^_`|~: \ta\tb\xff\r\nEmpty:\r\n\r\n",
	"early responses":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + lines + "\r\n",
}

// feedAll feeds a head in pieces of the given length, and returns the error.
func feedAll(c *checker, head string, piece int) error {
	for len(head) > 0 {
		n := min(piece, len(head))
		if _, err := c.feed([]byte(head[:n])); err != nil {
			return err
		}
		head = head[n:]
	}
	return nil
}

func TestMalformedHeads(t *testing.T) {
	for name, head := range malformedHeads {
		for _, piece := range []int{1, 2, 7, len(head)} {
			var c checker
			c.expect()
			var malformed *MalformedError
			if err := feedAll(&c, head, piece); !errors.As(err, &malformed) {
				t.Errorf("%s, in pieces of %d: error %v", name, piece, err)
			}
		}
	}
}

func TestSoundHeads(t *testing.T) {
	for name, head := range soundHeads {
		for _, piece := range []int{1, 2, 7, len(head)} {
			var c checker
			c.expect()
			if err := feedAll(&c, head, piece); err != nil || !c.complete() {
				t.Errorf("%s, in pieces of %d: error %v, complete: %v", name, piece, err, c.complete())
			}
			if err := feedAll(&c, "\r\n : \x00 a body, not a head", piece); err != nil {
				t.Errorf("%s, the body: %v", name, err)
			}
		}
	}
}

// FuzzPieces looks for a head that is malformed or not by the pieces in which it arrives.
func FuzzPieces(f *testing.F) {
	for _, head := range malformedHeads {
		f.Add(head, 3)
	}
	for _, head := range soundHeads {
		f.Add(head, 5)
	}
	f.Fuzz(func(t *testing.T, head string, piece int) {
		var whole, pieces checker
		whole.expect()
		pieces.expect()
		first := feedAll(&whole, head, max(1, len(head)))
		second := feedAll(&pieces, head, max(1, piece))
		if (first == nil) != (second == nil) || whole.complete() != pieces.complete() {
			t.Errorf("whole: %v, complete: %v; in pieces of %d: %v, complete: %v", first, whole.complete(), piece, second, pieces.complete())
		}
		if first != nil && strings.TrimSpace(first.Error()) == "" {
			t.Error("an error without a text")
		}
	})
}

package forward

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Boundary tracker", func() {
	It("gives the same result however the bytes are split", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"\n", "\r", "\r\n", ":", "id: 1", "data:x", "\xEF", "\xBB", "\xBF", byteOrderMark})).Draw(t, "pieces"), "")
			var whole, split boundaryTracker
			wholeBoundary := whole.feed([]byte(text))
			splitBoundary := noBoundary
			for at := 0; at < len(text); {
				n := rapid.IntRange(1, len(text)-at).Draw(t, "length")
				if boundary := split.feed([]byte(text[at : at+n])); boundary != noBoundary {
					splitBoundary = at + boundary
				}
				at += n
			}
			if whole != split || wholeBoundary != splitBoundary {
				t.Fatalf("%q: whole %+v up to %d, in pieces %+v up to %d", text, whole, wholeBoundary, split, splitBoundary)
			}
		})
	})

	It("tells whether a stream ends inside an event", func() {
		for text, inside := range map[string]bool{
			"":                             false,
			"data: x\n\n":                  false,
			"data: x\r\n\r\n":              false,
			"data: x\r\r":                  false,
			": comment\n":                  false,
			"data: x\n\n: comment\n":       false,
			"data: x\n":                    true,
			"data: x":                      true,
			"data: x\r\n\r":                true,
			"data: x\n\nid":                true,
			"data: x\n\n: comm":            true,
			": comment\ndata: x\n":         true,
			"event: a\n: comment\ndata: x": true,
			"\uFEFF":                       false,
			"\uFEFF: comment\n":            false,
			"\uFEFFdata: x\n\n":            false,
			"\uFEFFdata: x\n":              true,
			"\xEF\xBB":                     true,
			"\xEF\xBB: no comment\n":       true,
		} {
			var tracker boundaryTracker
			tracker.feed([]byte(text))
			Expect(tracker.insideEvent()).To(Equal(inside), "%q", text)
		}
	})
})

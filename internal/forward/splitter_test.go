package forward

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("The splitter of streams", func() {
	It("passes whole events only, however the bytes come", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			stream := ""
			for i := range rapid.IntRange(1, 20).Draw(t, "events") {
				stream += "id: " + string(rune('a'+i)) + "\ndata: x\n\n"
			}
			cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
			s := splitter{whole: true}
			passed := ""
			for rest := stream[:cut]; rest != ""; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
				passed += string(s.feed([]byte(rest[:n])))
				rest = rest[n:]
			}
			if !strings.HasPrefix(stream, passed) || passed != "" && !strings.HasSuffix(passed, "\n\n") {
				t.Fatalf("passed %q of %q", passed, stream[:cut])
			}
			if passed+string(s.rest()) != stream[:cut] {
				t.Fatalf("lost bytes: %q and %q of %q", passed, s.rest(), stream[:cut])
			}
			events := strings.Count(passed, "\n\n")
			if events > 0 && s.lastID != string(rune('a'+events-1)) {
				t.Fatalf("last event %q after %d", s.lastID, events)
			}
		})
	})

	It("passes bytes at once where the stream can't be resumed", func() {
		s := splitter{}
		Expect(string(s.feed([]byte("id: 1\nda")))).To(Equal("id: 1\nda"))
	})

	It("takes events with either line end", func() {
		s := splitter{whole: true}
		Expect(string(s.feed([]byte("id: 7\r\ndata: x\r\n\r\nid: 8")))).To(Equal("id: 7\r\ndata: x\r\n\r\n"))
		Expect(s.lastID).To(Equal("7"))
	})
})

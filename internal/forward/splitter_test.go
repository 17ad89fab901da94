package forward

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Event splitter", func() {
	It("returns only complete events, however the bytes are split", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			stream := ""
			for i := range rapid.IntRange(1, 20).Draw(t, "events") {
				stream += "id: " + string(rune('a'+i)) + "\ndata: x\n\n"
			}
			cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
			s := eventSplitter{wholeEvents: true}
			var received receivedEvents
			returned := ""
			for rest := stream[:cut]; rest != ""; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
				ready := s.feed([]byte(rest[:n]))
				_, _ = received.accept(ready)
				returned += string(ready)
				rest = rest[n:]
			}
			if !strings.HasPrefix(stream, returned) || returned != "" && !strings.HasSuffix(returned, "\n\n") {
				t.Fatalf("returned %q of %q", returned, stream[:cut])
			}
			if returned+string(s.remainder()) != stream[:cut] {
				t.Fatalf("lost bytes: %q and %q of %q", returned, s.remainder(), stream[:cut])
			}
			events := strings.Count(returned, "\n\n")
			if events > 0 && received.lastID != string(rune('a'+events-1)) {
				t.Fatalf("last event %q after %d", received.lastID, events)
			}
		})
	})

	It("returns bytes immediately if the stream is not resumable", func() {
		s := eventSplitter{}
		Expect(string(s.feed([]byte("id: 1\nda")))).To(Equal("id: 1\nda"))
	})

	It("recognises events with either line ending", func() {
		s := eventSplitter{wholeEvents: true}
		ready := s.feed([]byte("id: 7\r\ndata: x\r\n\r\nid: 8"))
		Expect(string(ready)).To(Equal("id: 7\r\ndata: x\r\n\r\n"))
		var received receivedEvents
		_, _ = received.accept(ready)
		Expect(received.lastID).To(Equal("7"))
	})
})

package forward

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/upstream"
)

var _ = Describe("An answer that is cut at any byte", func() {
	// Guards against a 200 with an empty or short body that is framed as whole, from an
	// endpoint that closes its connection in the middle of its answer.
	DescribeTable("does not reach the caller as a whole one",
		func(framing upstream.Framing, mediaType, body string) {
			head := "HTTP/1.1 200 OK\r\nContent-Type: " + mediaType + "\r\nX-Request: id\r\nX-Signature: e1.id\r\n"
			switch framing {
			case upstream.FramingLength:
				head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
			case upstream.FramingChunked:
				head += "Transfer-Encoding: chunked\r\n\r\n"
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			case upstream.FramingClose:
				head += "\r\n"
			}
			answer := head + body
			cuts := 0
			for _, route := range []string{"plain", "resumable", "lookup"} {
				_, err := serveStream(newStreamForwarder(startEndpoint(func(int, *http.Request) string { return answer })), route)
				Expect(err).NotTo(HaveOccurred(), "the whole answer")
				for cut := range answer {
					if framing == upstream.FramingClose && cut >= len(head) && !strings.HasPrefix(mediaType, eventStreamType) {
						break // the end of the connection is all that marks the end
					}
					if framing == upstream.FramingClose && cut > len(head) && strings.HasSuffix(answer[:cut], "\n\n") {
						continue // between events, as above
					}
					f := newStreamForwarder(startEndpoint(func(int, *http.Request) string { return answer[:cut] }))
					recorder, err := serveStream(f, route)
					Expect(err).To(HaveOccurred(), "%s, cut after %d bytes: status %d, %q", route, cut, recorder.Code, recorder.Body)
					if !errors.Is(err, ErrTruncated) {
						Expect(recorder.Body.Len()+len(recorder.Header())).To(BeZero(), "%s, cut after %d bytes: something was written", route, cut)
					}
					cuts++
				}
			}
			GinkgoWriter.Printf("%d cuts\n", cuts)
		},
		Entry("events, by length", upstream.FramingLength, eventStreamType, eventsFrom(1, 2, "\n")),
		Entry("events, by chunks", upstream.FramingChunked, eventStreamType, eventsFrom(1, 2, "\n")),
		Entry("events, by the connection's end", upstream.FramingClose, eventStreamType, eventsFrom(1, 2, "\n")),
		Entry("JSON, by length", upstream.FramingLength, "application/json", `{"text":"x"}`),
		Entry("JSON, by chunks", upstream.FramingChunked, "application/json", `{"text":"x"}`),
		Entry("JSON, by the connection's end", upstream.FramingClose, "application/json", `{"text":"x"}`),
	)
})

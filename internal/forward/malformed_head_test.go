package forward

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An answer with a malformed head", func() {
	const (
		signed = "Content-Type: text/event-stream\r\nX-Request: id\r\nX-Signature: e1.id\r\n"
		head   = "HTTP/1.1 200 OK\r\n" + signed
	)
	events := eventsFrom(1, 2, "\n")
	chunked := "10\r\n" + events + "\r\n0\r\n\r\n"

	// Guards against bytes that are no answer, or another body than the endpoint's, with the
	// signature of the endpoint.
	DescribeTable("does not reach the caller",
		func(answer string) {
			for _, route := range []string{"plain", "resumable", "lookup"} {
				recorder, err := serveStream(newStreamForwarder(startEndpoint(func(int, *http.Request) string { return answer })), route)
				Expect(err).To(HaveOccurred(), "%s: status %d, %q", route, recorder.Code, recorder.Body)
				Expect(recorder.Body.Len()+len(recorder.Header())).To(BeZero(), "%s: something was written", route)
			}
		},
		Entry("status 000", "HTTP/1.1 000 OK\r\n"+signed+"\r\n"+events),
		Entry("status 000 before another response", "HTTP/1.1 000 OK\r\n\r\n"+head+"\r\n"+events),
		Entry("status 099 before another response", "HTTP/1.1 099 OK\r\n\r\n"+head+"\r\n"+events),
		Entry("status 600", "HTTP/1.1 600 OK\r\n"+signed+"\r\n"+events),
		Entry("other major version", "HTTP/2.7 200 OK\r\n"+signed+"\r\n"+events),
		Entry("blank in a name", head+"X Oops: 1\r\n\r\n"+events),
		Entry("control byte in a name", head+"X-\x01Oops: 1\r\n\r\n"+events),
		Entry("blank behind the length", head+"Content-Length : 4\r\n\r\n"+events),
		Entry("blank before the length", head+" Content-Length: 4\r\n\r\n"+events),
		Entry("blank behind the coding", head+"Transfer-Encoding : chunked\r\n\r\n"+chunked),
		Entry("coding in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+signed+"Transfer-Encoding: chunked\r\n\r\n"+chunked),
		Entry("length and coding", head+"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked),
		Entry("blank in a name of an early hint", "HTTP/1.1 103 Early Hints\r\nX Oops: 1\r\n\r\n"+head+"\r\n"+events),
	)
})

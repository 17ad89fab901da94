package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// breakingStream is a resumable stream whose endpoints break it off.
type breakingStream struct {
	// lastEvent is the last event that the caller has received before.
	lastEvent string
	// attempts are the bodies of the endpoints' responses. All but the last break off at
	// their end.
	attempts []string
	// mediaType is that of the last response if it isn't one of events.
	mediaType string
}

// serve serves the stream. It returns the body that the caller received, and after which
// event each attempt had to resume.
func (s breakingStream) serve() (body string, resumedAfter []string, err error) {
	var mu sync.Mutex
	f := newStreamForwarderWith(startEndpoint(func(n int, request *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		resumedAfter = append(resumedAfter, request.Header.Get("Resume-After"))
		part := s.attempts[n-1]
		if n < len(s.attempts) {
			return framedResponses[upstream.FramingChunked](part, len(part)) // without the last chunk
		}
		if s.mediaType != "" {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", s.mediaType, len(part), part)
		}
		return framedResponses[upstream.FramingLength](part, len(part))
	}), len(s.attempts))
	recorder := httptest.NewRecorder()
	call := &Call{
		Request: traffic.Request{ID: "id", Host: "h", Path: "/resumable/x", ResumeAfter: s.lastEvent, Resumes: "id"},
		Method:  "GET", Target: "/resumable/x",
	}
	if s.lastEvent != "" {
		defer f.config.Origins.Begin("s", "id", "")()
	}
	err = f.Serve(context.Background(), call, recorder)
	mu.Lock()
	defer mu.Unlock()
	return recorder.Body.String(), resumedAfter, err
}

var _ = Describe("A stream that breaks off more than once", func() {
	// Guards against a stream that starts over, or repeats events, within one response.
	DescribeTable("goes on after the newest event that the caller has",
		func(s breakingStream, resumedAfter []string, body string) {
			got, after, err := s.serve()
			Expect(after).To(Equal(resumedAfter))
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(body))
		},
		Entry("though a comment precedes the next one",
			breakingStream{attempts: []string{eventsFrom(1, 2, "\n"), ": reading\n\n", eventsFrom(3, 4, "\n")}},
			[]string{"", "2", "2"}, eventsFrom(1, 2, "\n")+": reading\n\n"+eventsFrom(3, 4, "\n")),
		Entry("though a retry field precedes the next one",
			breakingStream{attempts: []string{eventsFrom(1, 2, "\n"), "retry: 100\n\n", eventsFrom(3, 4, "\n")}},
			[]string{"", "2", "2"}, eventsFrom(1, 2, "\n")+"retry: 100\n\n"+eventsFrom(3, 4, "\n")),
		Entry("though blank lines precede the next one",
			breakingStream{attempts: []string{eventsFrom(1, 2, "\n"), "\n\n", eventsFrom(3, 4, "\n")}},
			[]string{"", "2", "2"}, eventsFrom(1, 2, "\n")+"\n\n"+eventsFrom(3, 4, "\n")),
		Entry("which a new one replaces that the caller named",
			breakingStream{lastEvent: "2", attempts: []string{testEvent(3, "\n"), ": reading\n\n", testEvent(4, "\n")}},
			[]string{"2", "3", "3"}, testEvent(3, "\n")+": reading\n\n"+testEvent(4, "\n")),
		Entry("which the caller named, if no event came since",
			breakingStream{lastEvent: "2", attempts: []string{": reading\n\n", testEvent(3, "\n")}},
			[]string{"2", "2"}, ": reading\n\n"+testEvent(3, "\n")),
		Entry("though identifiers with NUL came since, which are ignored",
			breakingStream{attempts: []string{testEvent(1, "\n") + "id: 2\x00\n\n", testEvent(2, "\n")}},
			[]string{"", "1"}, testEvent(1, "\n")+"id: 2\x00\n\n"+testEvent(2, "\n")),
		Entry("whose identifier follows a byte order mark; that of the next response is left out",
			breakingStream{attempts: []string{byteOrderMark + "id:1\ndata:x\n\n", byteOrderMark + testEvent(2, "\n")}},
			[]string{"", "1"}, byteOrderMark+"id:1\ndata:x\n\n"+testEvent(2, "\n")),
		Entry("of which the last line end was not cut",
			breakingStream{attempts: []string{eventsFrom(1, 2, "\r\n")[:len(eventsFrom(1, 2, "\r\n"))-1], testEvent(2, "\r\n")}},
			[]string{"", "1"}, eventsFrom(1, 2, "\r\n")),
		Entry("whose identifier is several lines before its end",
			breakingStream{attempts: []string{"id: 1\ndata: a\ndata\n: note\ndata: b\n\n", testEvent(2, "\n")}},
			[]string{"", "1"}, "id: 1\ndata: a\ndata\n: note\ndata: b\n\n"+testEvent(2, "\n")),
		Entry("whose identifier is a text",
			breakingStream{attempts: []string{"id: b\ndata: x\n\n", "id: a\ndata: y\n\n"}},
			[]string{"", "b"}, "id: b\ndata: x\n\nid: a\ndata: y\n\n"),
		Entry("though identifiers come twice in the first answer, which is passed on as it is",
			breakingStream{attempts: []string{testEvent(2, "\n") + testEvent(1, "\n") + testEvent(1, "\n"), testEvent(3, "\n")}},
			[]string{"", "1"}, testEvent(2, "\n")+testEvent(1, "\n")+testEvent(1, "\n")+testEvent(3, "\n")),
		Entry("from the start if it has none, though events have no identifiers",
			breakingStream{attempts: []string{": reading\n\n", "data: x\n\n"}},
			[]string{"", ""}, ": reading\n\ndata: x\n\n"),
	)

	// Guards against repeated events where nothing names the last one, and against another
	// response in the middle of a stream.
	DescribeTable("breaks off for the caller, too,",
		func(s breakingStream, resumedAfter []string) {
			got, after, err := s.serve()
			Expect(errors.Is(err, ErrTruncated)).To(BeTrue(), "%v, %q", err, got)
			Expect(after).To(Equal(resumedAfter))
			Expect(got).To(Equal(s.attempts[0]))
		},
		Entry("if the last event reset the identifier",
			breakingStream{attempts: []string{testEvent(1, "\n") + "id:\ndata: x\n\n", testEvent(1, "\n")}}, []string{""}),
		Entry("if a field without a colon reset the identifier that the caller named",
			breakingStream{lastEvent: "1", attempts: []string{"id\ndata: x\n\n", testEvent(2, "\n")}}, []string{"1"}),
		Entry("if the last event has no identifier",
			breakingStream{attempts: []string{testEvent(1, "\n") + "data: x\n\n", "data: x\n\n"}}, []string{""}),
		Entry("if no event has an identifier",
			breakingStream{attempts: []string{"data: x\n\n", "data: x\n\n"}}, []string{""}),
		Entry("if the last identifier can't be sent in a header field",
			breakingStream{attempts: []string{"id: 1\x01\ndata: x\n\n", testEvent(2, "\n")}}, []string{""}),
		Entry("if the next response repeats an identifier that is a text",
			breakingStream{attempts: []string{"id: a\ndata: x\n\nid: b\ndata: y\n\n", "id: a\ndata: x\n\nid: b\ndata: y\n\n"}}, []string{"", "b"}),
		Entry("if nothing follows the comments that the caller has",
			breakingStream{attempts: []string{": reading\n\n", ""}}, []string{"", ""}),
		Entry("if the next response is no stream of events",
			breakingStream{attempts: []string{testEvent(1, "\n"), "{\"text\":\n\n\"\"}"}, mediaType: "application/json"}, []string{"", "1"}),
	)
})

var _ = Describe("A stream that its caller takes up after event 1", func() {
	// Guards against sending event 1 again, also to callers whose responses are read completely
	// before they are relayed.
	DescribeTable("does not begin with an event that the caller has",
		func(needsLength bool, body string, relayed bool) {
			f := newStreamForwarder(startEndpoint(func(int, *http.Request) string {
				return framedResponses[upstream.FramingLength](body, len(body))
			}))
			recorder := httptest.NewRecorder()
			call := &Call{
				Request: traffic.Request{ID: "next", Host: "h", Path: "/resumable/x", ResumeAfter: "1", Resumes: "id"},
				Method:  "GET", Target: "/resumable/x", NeedsLength: needsLength,
			}
			defer f.config.Origins.Begin("s", "id", "")()
			err := f.Serve(context.Background(), call, recorder)
			if relayed {
				Expect(err).NotTo(HaveOccurred())
				Expect(recorder.Body.String()).To(Equal(body))
				return
			}
			var failure *Failure
			Expect(errors.As(err, &failure)).To(BeTrue(), "%v, %q", err, recorder.Body)
			Expect(failure.Reason).To(Equal(ReasonEndpointFailed))
			Expect(recorder.Body.String()).To(BeEmpty())
		},
		Entry("relayed as it arrives, the rest", false, eventsFrom(2, 3, "\n"), true),
		Entry("relayed as it arrives, all events", false, eventsFrom(1, 3, "\n"), false),
		Entry("relayed as it arrives, nothing", false, "", true),
		Entry("with a length, the rest", true, eventsFrom(2, 3, "\n"), true),
		Entry("with a length, all events", true, eventsFrom(1, 3, "\n"), false),
		Entry("with a length, event 1 later", true, testEvent(2, "\n")+testEvent(1, "\n"), false),
		Entry("with a length, nothing", true, "", true),
	)
})

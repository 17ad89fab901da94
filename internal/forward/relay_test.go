package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// plainCodec sends only where to resume, and takes every response for a signed one of
// the call.
type plainCodec struct{}

func (plainCodec) Encode(_ *Call, params AttemptParams) http.Header {
	return http.Header{"Resume-After": {params.ResumeAfter}}
}
func (plainCodec) Belongs(*Call, http.Header) bool { return true }
func (plainCodec) Decode(*http.Response) Reply     { return Reply{Signed: true} }
func (plainCodec) CopyHeader(to, from http.Header) {
	to.Set("Content-Type", from.Get("Content-Type"))
}

// fixedSource is a Source whose configuration never changes.
type fixedSource struct{ config *traffic.Config }

func (s fixedSource) Current() *traffic.Config { return s.config }

// testEvent returns the n-th event of a stream with the given line end.
func testEvent(n int, lineEnd string) string {
	return fmt.Sprintf("id: %d%sdata: piece %d%s%s", n, lineEnd, n, lineEnd, lineEnd)
}

func eventsFrom(first, last int, lineEnd string) string {
	text := ""
	for n := first; n <= last; n++ {
		text += testEvent(n, lineEnd)
	}
	return text
}

// startEndpoint starts an endpoint that passes each request to respond and then
// closes the connection. respond gets the number of the request, from one, and
// returns the bytes of the response.
func startEndpoint(respond func(n int, request *http.Request) string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	var requests atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, respond(int(requests.Add(1)), request))
			}()
		}
	}()
	return listener.Addr().String()
}

// newStreamForwarder returns a forwarder with two streaming routes, /plain/ and the
// resumable /resumable/, and the idempotent route /lookup/, whose service has two
// endpoints at the same address.
func newStreamForwarder(address string) *Forwarder { return newStreamForwarderWith(address, 2) }

// newStreamForwarderWith returns such a forwarder whose routes allow that many attempts
// and whose service has as many endpoints.
func newStreamForwarderWith(address string, attempts int) *Forwarder {
	route := func(name string, resumable bool) traffic.Route {
		return traffic.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: traffic.Streaming, Resumable: resumable,
			Timeout: 2 * time.Second, MaxAttempts: attempts, Targets: []traffic.Target{{Service: "s", Weight: 1}},
		}
	}
	lookup := route("lookup", false)
	lookup.Kind = traffic.Idempotent
	endpoints := fleet.NewRegistry(fleet.Config{Zone: "z"})
	for i := range attempts {
		endpoints.Put(fleet.Endpoint{ID: fmt.Sprint("e", i+1), Service: "s", Address: address, Zone: "z", Slots: 64})
	}
	return New(Config{
		Source: fixedSource{traffic.NewConfig(traffic.Spec{
			Routes: []traffic.Route{route("plain", false), route("resumable", true), lookup}, Services: []traffic.Service{{Name: "s"}},
		})},
		Endpoints: endpoints, Upstream: upstream.NewPool(), Codec: plainCodec{},
		Retry: repeat.NewBudgets(repeat.BudgetConfig{Reserve: 1000}, time.Now),
	})
}

func serveStream(f *Forwarder, route string) (*httptest.ResponseRecorder, error) {
	recorder := httptest.NewRecorder()
	call := &Call{Request: traffic.Request{ID: "id", Host: "h", Path: "/" + route + "/x"}, Method: "GET", Target: "/" + route + "/x"}
	return recorder, f.Serve(context.Background(), call, recorder)
}

const eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// lastEvent is the number of the last event of the streams in these specs.
const lastEvent = 3

// framedResponses returns a response whose body is cut after that many bytes, by
// framing.
var framedResponses = map[upstream.Framing]func(body string, cut int) string{
	upstream.FramingLength: func(body string, cut int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", eventStreamHead, len(body), body[:cut])
	},
	upstream.FramingChunked: func(body string, cut int) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", eventStreamHead, len(body), body[:cut])
	},
	upstream.FramingClose: func(body string, cut int) string {
		return eventStreamHead + "\r\n" + body[:cut]
	},
}

var _ = Describe("A stream that its endpoint breaks off", func() {
	// Guards against passing on as complete a stream that ended inside an event.
	It("never ends as complete for the caller, wherever it is cut and however it is framed", func() {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			body := eventsFrom(1, lastEvent, lineEnd)
			eventLength := len(testEvent(1, lineEnd))
			for framing, response := range framedResponses {
				for cut := range body {
					if framing == upstream.FramingClose && cut > 0 && cut%eventLength == 0 {
						continue // a cut between events looks like the end of a shorter stream
					}
					f := newStreamForwarder(startEndpoint(func(int, *http.Request) string { return response(body, cut) }))
					recorder, err := serveStream(f, "plain")
					Expect(err).To(HaveOccurred(), "framing %s, line end %q, cut after %d bytes: got %q", framing, lineEnd, cut, recorder.Body)
					if recorder.Body.Len() > 0 {
						Expect(errors.Is(err, ErrTruncated)).To(BeTrue())
					}
					Expect(strings.HasPrefix(body, recorder.Body.String())).To(BeTrue())
				}
			}
		}
	})

	// Guards against passing on as complete a stream whose last chunk followed a part of an event.
	It("does not end as complete if the last chunk follows a part of an event", func() {
		f := newStreamForwarder(startEndpoint(func(int, *http.Request) string {
			part := eventsFrom(1, 2, "\n") + "id: 3\nda"
			return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", eventStreamHead, len(part), part)
		}))
		_, err := serveStream(f, "plain")
		Expect(errors.Is(err, ErrTruncated)).To(BeTrue())
	})

	// Guards against passing on as complete a resumable stream that ended inside an event.
	It("is resumed at another endpoint if its route allows it", func() {
		body := eventsFrom(1, lastEvent, "\n")
		eventLength := len(testEvent(1, "\n"))
		for cut := 1; cut < len(body); cut++ {
			if cut%eventLength == 0 {
				continue
			}
			resumedAfter := make(chan string, 1)
			f := newStreamForwarder(startEndpoint(func(n int, request *http.Request) string {
				if n == 1 {
					return framedResponses[upstream.FramingClose](body, cut)
				}
				resumedAfter <- request.Header.Get("Resume-After")
				rest := eventsFrom(cut/eventLength+1, lastEvent, "\n")
				return framedResponses[upstream.FramingLength](rest, len(rest))
			}))
			recorder, err := serveStream(f, "resumable")
			Expect(err).NotTo(HaveOccurred(), "cut after %d bytes", cut)
			Expect(recorder.Body.String()).To(Equal(body))
			lastID := ""
			if complete := cut / eventLength; complete > 0 {
				lastID = fmt.Sprint(complete)
			}
			Expect(resumedAfter).To(Receive(Equal(lastID)))
		}
	})

	// Guards against passing on as complete a cut stream of events on a route without streams.
	It("is not passed on by a route without streams, but repeated", func() {
		body := eventsFrom(1, lastEvent, "\n")
		f := newStreamForwarder(startEndpoint(func(n int, _ *http.Request) string {
			if n == 1 {
				return framedResponses[upstream.FramingClose](body, len(body)-1)
			}
			return framedResponses[upstream.FramingClose](body, len(body))
		}))
		recorder, err := serveStream(f, "lookup")
		Expect(err).NotTo(HaveOccurred())
		Expect(recorder.Body.String()).To(Equal(body))
	})
})

var _ = Describe("A stream that its endpoint completes", func() {
	It("is passed on unchanged, however it is framed", func() {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			for _, tail := range []string{"", ": keep-alive" + lineEnd, ": keep-alive" + lineEnd + lineEnd, lineEnd} {
				body := ": start" + lineEnd + lineEnd + eventsFrom(1, lastEvent, lineEnd) + tail
				for framing, response := range framedResponses {
					for _, route := range []string{"plain", "resumable"} {
						f := newStreamForwarder(startEndpoint(func(int, *http.Request) string {
							whole := response(body, len(body))
							if framing == upstream.FramingChunked {
								whole += "\r\n0\r\n\r\n"
							}
							return whole
						}))
						recorder, err := serveStream(f, route)
						Expect(err).NotTo(HaveOccurred(), "framing %s, line end %q, tail %q", framing, lineEnd, tail)
						Expect(recorder.Body.String()).To(Equal(body))
					}
				}
			}
		}
	})

	It("is passed on unchanged if the response is no stream of events", func() {
		for _, route := range []string{"plain", "resumable"} {
			f := newStreamForwarder(startEndpoint(func(int, *http.Request) string {
				return "HTTP/1.1 200 OK\r\nContent-Type: application/json; charset=utf-8\r\n\r\n{\"choices\":[]}"
			}))
			recorder, err := serveStream(f, route)
			Expect(err).NotTo(HaveOccurred())
			Expect(recorder.Body.String()).To(Equal(`{"choices":[]}`))
		}
	})
})

package forward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/traffic"
)

var _ = Describe("A call that nobody waits for any more", func() {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	lookup := func() *Call {
		return &Call{Request: traffic.Request{ID: "id", Host: "h", Path: "/lookup/x"}, Method: "GET", Target: "/lookup/x"}
	}
	// serve serves a call by endpoints that answer, and returns its failure and how many
	// requests they got.
	serve := func(call *Call) (failure *Failure, requests int32) {
		GinkgoHelper()
		var sent atomic.Int32
		f := newStreamForwarder(startEndpoint(func(int, *http.Request) string {
			sent.Add(1)
			return answer
		}))
		err := f.Serve(context.Background(), call, httptest.NewRecorder())
		if err != nil {
			Expect(errors.As(err, &failure)).To(BeTrue())
		}
		return failure, sent.Load()
	}

	// Guards against requests that are sent before the end of the caller's connection is noticed.
	It("is not sent if its caller has closed the connection", func() {
		call := lookup()
		call.CallerEnded = func() bool { return true }
		failure, requests := serve(call)
		Expect(*failure).To(And(HaveField("Reason", ReasonCallerGone), HaveField("NotRun", true)))
		Expect(requests).To(BeZero())
	})

	// Guards against requests that are sent although they lay unread until their time was over.
	It("is not sent if its time was over before it was read", func() {
		call := lookup()
		call.Arrival.ReceivedAt = time.Now().Add(-2 * time.Second) // the route's timeout
		failure, requests := serve(call)
		Expect(*failure).To(And(HaveField("Reason", ReasonTimeout), HaveField("NotRun", true)))
		Expect(requests).To(BeZero())
	})

	// Guards against losing an endpoint's answer for a second attempt that runs out of time.
	It("gets the error that an endpoint has answered if the retry has no answer in time", func() {
		const failed = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed"
		f := newStreamForwarder(startEndpoint(func(n int, _ *http.Request) string {
			if n == 1 {
				return failed
			}
			time.Sleep(time.Second)
			return answer
		}))
		call, recorder := lookup(), httptest.NewRecorder()
		call.Deadline = time.Now().Add(200 * time.Millisecond)
		Expect(f.Serve(context.Background(), call, recorder)).To(Succeed())
		Expect(recorder.Code).To(Equal(http.StatusInternalServerError))
		Expect(recorder.Body.String()).To(Equal("failed"))
	})
})

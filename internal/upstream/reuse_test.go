package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A connection to an endpoint that repeats responses", func() {
	var (
		pool     *Pool
		accepted atomic.Int64
	)
	BeforeEach(func() {
		pool = NewPool()
		accepted.Store(0)
	})
	// send sends a request and returns the body of its response and whether its connection was used before.
	send := func(address, method, id string) (text string, reused bool) {
		GinkgoHelper()
		m := Message{Method: method, Target: "/x", Host: "h", ID: id, Header: http.Header{"Request-Id": {id}}}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		x, err := pool.Send(ctx, address, m, func(h http.Header) bool { return h.Get("Request-Id") == id })
		Expect(err).NotTo(HaveOccurred(), id)
		body, err := io.ReadAll(x.Response.Body)
		Expect(err).NotTo(HaveOccurred(), id)
		x.MarkBodyRead()
		x.Close()
		return string(body), x.Reused
	}
	// serve starts an endpoint that answers the n-th request of a connection as respond says.
	serve := func(respond func(n int, id, method string, earlier string) string) string {
		return endpoint(func(conn net.Conn, reader *bufio.Reader) {
			accepted.Add(1)
			earlier := ""
			for n := 1; ; n++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				response := respond(n, request.Header.Get("Request-Id"), request.Method, earlier)
				if _, err := io.WriteString(conn, response); err != nil {
					return
				}
				earlier = response
			}
		})
	}

	// Guards against the first response to an identifier that is taken for the second one.
	It("carries no two requests with the same identifier, and goes on carrying others", func() {
		count := 0
		address := serve(func(_ int, id, _, earlier string) string {
			count++
			return earlier + responseTo(id, fmt.Sprint("response ", count))
		})
		text, _ := send(address, "POST", "a")
		Expect(text).To(Equal("response 1"))
		text, reused := send(address, "POST", "a")
		Expect(text).To(Equal("response 2"))
		Expect(reused).To(BeFalse())
		Expect(pool.idle[address]).To(HaveLen(2))
	})

	// Guards against a price of new connections for endpoints that are sound.
	It("is reused for as long as only its own responses arrive, at most for the bound", func() {
		address := serve(func(_ int, id, _, _ string) string { return responseTo(id, "to "+id) })
		for i := range maxRequests {
			text, reused := send(address, "POST", fmt.Sprint(i))
			Expect(text).To(Equal(fmt.Sprint("to ", i)))
			Expect(reused).To(Equal(i > 0))
		}
		Expect(accepted.Load()).To(Equal(int64(1)))
		_, reused := send(address, "POST", "next")
		Expect(reused).To(BeFalse())
	})

	DescribeTable("is not used again once it had another response", func(extra string) {
		address := serve(func(n int, id, _, _ string) string {
			if n == 2 {
				return extra + responseTo(id, "to "+id)
			}
			return responseTo(id, "to "+id)
		})
		for i, want := range []bool{false, true, false, true, false} {
			text, reused := send(address, "POST", fmt.Sprint(i))
			Expect(text).To(Equal(fmt.Sprint("to ", i)))
			Expect(reused).To(Equal(want), "request %d", i)
		}
	},
		Entry("to an earlier request", responseTo("0", "late")),
		Entry("without an identifier", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		Entry("to a request that it never carried", responseTo("other", "x")),
	)

	// Guards against reading the head of the next response as the body of a late one to HEAD.
	It("carries a request with HEAD alone", func() {
		address := serve(func(_ int, id, method, earlier string) string {
			if method == http.MethodHead {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 20\r\n\r\n", id)
			}
			return earlier + responseTo(id, "to "+id)
		})
		send(address, http.MethodHead, "head")
		text, reused := send(address, "GET", "get")
		Expect(text).To(Equal("to get"))
		Expect(reused).To(BeFalse())
	})

	It("has a bounded idle timeout", func() {
		Expect(idleTimeout(http.Header{"Keep-Alive": {"timeout=9223372036854775807"}})).To(Equal(maxIdleSeconds*time.Second - idleMargin))
	})
})

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/standin/stalled"
)

var _ = Describe("The response to a request that is still being written", func() {
	// uploadBytes outgrows the buffers of a connection.
	const uploadBytes = 12 << 20
	var listener net.Listener
	BeforeEach(func() {
		var err error
		listener, err = stalled.Listen()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
	})
	// exchange sends a request, whose head alone the endpoint reads before it responds and
	// ends the connection, and returns the body of the response.
	exchange := func(pause time.Duration, response string, end func(conn *net.TCPConn)) (string, error) {
		GinkgoHelper()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, response)
			end(conn.(*net.TCPConn))
		}()
		defer func() { <-ended }()
		m := Message{Method: "POST", Target: "/", Host: "h", Body: make([]byte, uploadBytes)}
		x, err := NewPool().Send(context.Background(), listener.Addr().String(), m, func(http.Header) bool { return true })
		if err != nil {
			return "", err
		}
		defer x.Close()
		time.Sleep(pause)
		body, err := io.ReadAll(x.Response.Body)
		return string(body), err
	}
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}

	// Guards against a part of a response that passes for the whole, since the write that is
	// under way takes the error of the reset.
	DescribeTable("is incomplete if the endpoint resets the connection in a body without a length", func(pause time.Duration) {
		for range 50 {
			_, err := exchange(pause, "HTTP/1.1 200 OK\r\n\r\na part", reset)
			Expect(err).To(HaveOccurred())
		}
	},
		Entry("read at once", time.Duration(0)),
		Entry("read later, as for a slow caller", 5*time.Millisecond),
	)

	It("is whole if the endpoint ends the connection in order", func() {
		for range 20 {
			body, err := exchange(0, "HTTP/1.1 200 OK\r\n\r\nthe whole", func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				_ = conn.Close()
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("the whole"))
		}
	})

	It("is whole if its length says so, however the connection ends", func() {
		for range 20 {
			body, err := exchange(0, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nthe whole", reset)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("the whole"))
		}
	})
})

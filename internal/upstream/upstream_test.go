package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endpoint starts a TCP server that passes each connection to handle, and returns
// its address.
func endpoint(handle func(conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// next reads one request and returns its identifier, and false if it can't.
func next(reader *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Request-Id"), err == nil
}

var _ = Describe("Exchanges with endpoints", func() {
	var pool *Pool
	BeforeEach(func() { pool = NewPool() })
	send := func(ctx context.Context, address, id string, body string, dedicated bool) (*Exchange, string, error) {
		m := Message{Method: "POST", Target: "/x?y=%2F", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte(body), Dedicated: dedicated}
		x, err := pool.Send(ctx, address, m, func(h http.Header) bool { return h.Get("Request-Id") == id })
		if err != nil {
			return nil, "", err
		}
		text, err := io.ReadAll(x.Response.Body)
		if err == nil {
			x.MarkBodyRead()
		}
		x.Close()
		return x, string(text), err
	}
	ctx := context.Background()

	It("reuse a connection for the next request, unless it asks for a connection of its own", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			for id, ok := next(reader); ok; id, ok = next(reader) {
				_, _ = io.WriteString(conn, responseTo(id, "to "+id))
			}
		})
		first, _, err := send(ctx, address, "1", "b", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Reused).To(BeFalse())
		second, text, err := send(ctx, address, "2", "b", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Reused).To(BeTrue())
		Expect(text).To(Equal("to 2"))
		third, _, err := send(ctx, address, "3", "b", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Reused).To(BeFalse())
	})

	It("never mistake an extra response for the next one, whenever it arrives", func() {
		for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
			address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
				for id, ok := next(reader); ok; id, ok = next(reader) {
					_, _ = io.WriteString(conn, responseTo(id, "to "+id))
					time.Sleep(delay)
					_, _ = io.WriteString(conn, responseTo(id, "extra"))
				}
			})
			for i := range 5 {
				_, text, err := send(ctx, address, fmt.Sprint(i), "b", false)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).To(Equal(fmt.Sprint("to ", i)))
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			}
		}
	})

	It("fail if only responses to other requests arrive", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if _, ok := next(reader); ok {
				_, _ = io.WriteString(conn, strings.Repeat(responseTo("other", "x"), 9))
			}
		})
		_, _, err := send(ctx, address, "1", "b", false)
		var noResponse *NoResponseError
		Expect(errors.As(err, &noResponse)).To(BeTrue())
	})

	It("close a connection whose endpoint responded before it had read the body", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = reader.ReadString('\n')
			_, _ = io.WriteString(conn, responseTo("early", "no"))
			time.Sleep(100 * time.Millisecond)
		})
		long := strings.Repeat("b", 8<<20)
		x, text, err := send(ctx, address, "early", long, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("no"))
		Expect(x.reusable()).To(BeFalse())
		Expect(pool.idle[address]).To(BeEmpty())
	})

	It("return distinct errors for a truncated response, a closed connection and an unreachable endpoint", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if _, ok := next(reader); ok {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 100\r\n\r\nhalf")
			}
		})
		_, _, err := send(ctx, address, "1", "b", false)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		closed := endpoint(func(net.Conn, *bufio.Reader) {})
		_, _, err = send(ctx, closed, "1", "b", false)
		var noResponse *NoResponseError
		Expect(errors.As(err, &noResponse)).To(BeTrue(), "the endpoint may have read the request")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, _, err = send(ctx, address, "1", "b", false)
		var notSent *NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue())
	})

	It("send no request twice if an idle connection was closed by the endpoint", func() {
		served := make(chan string, 10)
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if id, ok := next(reader); ok {
				served <- id
				_, _ = io.WriteString(conn, responseTo(id, "x"))
			}
		})
		for i := range 4 {
			_, _, err := send(ctx, address, fmt.Sprint(i), "b", false)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		Expect(served).To(HaveLen(4))
	})

	It("close the connection when the context ends", func() {
		connectionEnd := make(chan error, 1)
		address := endpoint(func(_ net.Conn, reader *bufio.Reader) {
			_, _ = next(reader)
			_, err := reader.ReadByte()
			connectionEnd <- err
		})
		limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, _, err := send(limited, address, "1", "b", false)
		Expect(err).To(HaveOccurred())
		Eventually(connectionEnd, "500ms").Should(Receive(MatchError(io.EOF)))
	})

	It("take the idle timeout from the Keep-Alive header", func() {
		Expect(idleTimeout(http.Header{"Keep-Alive": {"timeout=5, max=10"}})).To(Equal(5*time.Second - idleMargin))
		Expect(idleTimeout(http.Header{"Keep-Alive": {"max=10"}})).To(Equal(defaultIdleTimeout))
		Expect(idleTimeout(http.Header{"Keep-Alive": {"timeout=odd"}})).To(Equal(defaultIdleTimeout))
	})
})

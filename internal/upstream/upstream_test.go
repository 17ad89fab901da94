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

// endpoint serves raw connections; each is given to the next handler.
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

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// next reads one request and returns its identifier.
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
	send := func(ctx context.Context, address, id string, body string, fresh bool) (*Exchange, string, error) {
		m := Message{Method: "POST", Target: "/x?y=%2F", Host: "h", Header: http.Header{"Request-Id": {id}}, Body: []byte(body), Fresh: fresh}
		x, err := pool.Send(ctx, address, m, func(h http.Header) bool { return h.Get("Request-Id") == id })
		if err != nil {
			return nil, "", err
		}
		text, err := io.ReadAll(x.Response.Body)
		if err == nil {
			x.Finished()
		}
		x.Close()
		return x, string(text), err
	}
	ctx := context.Background()

	It("keep a connection for the next request, but not where it was to be fresh", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			for id, ok := next(reader); ok; id, ok = next(reader) {
				_, _ = io.WriteString(conn, answerTo(id, "to "+id))
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

	It("never take an extra answer for the next one, whenever it comes", func() {
		for _, late := range []time.Duration{0, 30 * time.Millisecond} {
			address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
				for id, ok := next(reader); ok; id, ok = next(reader) {
					_, _ = io.WriteString(conn, answerTo(id, "to "+id))
					time.Sleep(late)
					_, _ = io.WriteString(conn, answerTo(id, "extra"))
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

	It("fail where only answers to other requests come", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if _, ok := next(reader); ok {
				_, _ = io.WriteString(conn, strings.Repeat(answerTo("other", "x"), 9))
			}
		})
		_, _, err := send(ctx, address, "1", "b", false)
		var cut *CutError
		Expect(errors.As(err, &cut)).To(BeTrue())
	})

	It("close a connection whose endpoint answered before it had read the body", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			_, _ = reader.ReadString('\n')
			_, _ = io.WriteString(conn, answerTo("early", "no"))
			time.Sleep(100 * time.Millisecond)
		})
		long := strings.Repeat("b", 8<<20)
		x, text, err := send(ctx, address, "early", long, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("no"))
		Expect(x.reusable()).To(BeFalse())
		Expect(pool.idle[address]).To(BeEmpty())
	})

	It("tell a cut answer from a whole one, and one that nobody took", func() {
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if _, ok := next(reader); ok {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 100\r\n\r\nhalf")
			}
		})
		_, _, err := send(ctx, address, "1", "b", false)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		closed := endpoint(func(net.Conn, *bufio.Reader) {})
		_, _, err = send(ctx, closed, "1", "b", false)
		var cut *CutError
		Expect(errors.As(err, &cut)).To(BeTrue(), "it may have been taken")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, _, err = send(ctx, address, "1", "b", false)
		var notSent *NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue())
	})

	It("send nothing twice where a kept connection was closed meanwhile", func() {
		served := make(chan string, 10)
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			if id, ok := next(reader); ok {
				served <- id
				_, _ = io.WriteString(conn, answerTo(id, "x"))
			}
		})
		for i := range 4 {
			_, _, err := send(ctx, address, fmt.Sprint(i), "b", false)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		Expect(served).To(HaveLen(4))
	})

	It("end when their caller goes away", func() {
		gone := make(chan error, 1)
		address := endpoint(func(_ net.Conn, reader *bufio.Reader) {
			_, _ = next(reader)
			_, err := reader.ReadByte()
			gone <- err
		})
		limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, _, err := send(limited, address, "1", "b", false)
		Expect(err).To(HaveOccurred())
		Eventually(gone, "500ms").Should(Receive(MatchError(io.EOF)))
	})

	It("read how long an endpoint keeps connections", func() {
		Expect(keepFor(http.Header{"Keep-Alive": {"timeout=5, max=10"}})).To(Equal(5*time.Second - idleMargin))
		Expect(keepFor(http.Header{"Keep-Alive": {"max=10"}})).To(Equal(idleLimit))
		Expect(keepFor(http.Header{"Keep-Alive": {"timeout=odd"}})).To(Equal(idleLimit))
	})
})

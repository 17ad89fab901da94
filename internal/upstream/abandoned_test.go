package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/socket"
	"bilberryslip.example/bilberryslip/internal/standin/stalled"
)

// stalledEndpoint takes a few kilobytes of each connection, and reads no more before resume is
// closed.
type stalledEndpoint struct {
	net.Listener
	resume chan struct{}
	// begun counts the requests of which a part has arrived, whole those that arrived whole.
	begun, whole atomic.Int32
}

func newStalledEndpoint() *stalledEndpoint {
	listener, err := stalled.Listen()
	Expect(err).NotTo(HaveOccurred())
	e := &stalledEndpoint{Listener: listener, resume: make(chan struct{})}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for socket.Unread(conn) == 0 {
					time.Sleep(time.Millisecond)
				}
				e.begun.Add(1)
				<-e.resume
				if _, ok := next(bufio.NewReader(conn)); ok {
					e.whole.Add(1)
				}
			}()
		}
	}()
	return e
}

var _ = Describe("A request whose context has ended", func() {
	const count = 10
	message := func(n int) Message {
		id := fmt.Sprint(n)
		return Message{Method: "POST", Target: "/x", Host: "h", ID: id, Header: http.Header{"Request-Id": {id}}, Body: []byte(strings.Repeat("x", 30<<10))}
	}
	any := func(http.Header) bool { return true }

	// Guards against requests that reach an endpoint after the attempt has ended: a connection
	// that is closed in order goes on delivering what was written.
	It("does not reach an endpoint whose path stalled meanwhile", func() {
		endpoint := newStalledEndpoint()
		pool := NewPool()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, count)
		for n := range count {
			go func() {
				_, err := pool.Send(ctx, endpoint.Addr().String(), message(n), any)
				ended <- err
			}()
		}
		Eventually(endpoint.begun.Load).Should(BeEquivalentTo(count))
		time.Sleep(50 * time.Millisecond) // all has been written that the sockets take
		cancel()
		for range count {
			Expect(<-ended).To(BeAssignableToTypeOf(&NoResponseError{}))
		}
		close(endpoint.resume)
		Consistently(endpoint.whole.Load, "500ms").Should(BeZero())
	})

	// Guards against requests that are sent on a kept connection although nobody waits for
	// them any more.
	It("is not sent", func() {
		var received atomic.Int32
		address := endpoint(func(conn net.Conn, reader *bufio.Reader) {
			for id, ok := next(reader); ok; id, ok = next(reader) {
				received.Add(1)
				_, _ = conn.Write([]byte(responseTo(id, "")))
			}
		})
		pool := NewPool()
		for n := range count {
			x, err := pool.Send(context.Background(), address, message(n), any)
			Expect(err).NotTo(HaveOccurred())
			x.MarkBodyRead()
			x.Close()
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_, err = pool.Send(ended, address, message(count+n), any)
			Expect(err).To(BeAssignableToTypeOf(&NotSentError{}))
		}
		Consistently(received.Load, "100ms").Should(BeEquivalentTo(count))
	})
})

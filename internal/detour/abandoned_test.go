package detour

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/socket"
	"bilberryslip.example/bilberryslip/internal/standin/stalled"
)

var _ = Describe("A relayed request that the host has given up", func() {
	// Guards against requests that reach their endpoint after the host has given them up: they
	// lay on the way between the peer and an endpoint whose path stalled.
	It("does not reach an endpoint whose path stalled meanwhile", func() {
		const length = 256 << 10
		endpoint, err := stalled.Listen()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(endpoint.Close)
		peer := newRelayingHost(endpoint.Addr().String())
		client := clientOf(Peer{Name: "peer", Address: peer.address, Zone: "z1"})
		near, err := client.Dial(context.Background(), Target{Endpoint: "e", Service: "app", Zone: "z1", Request: "r1"})
		Expect(err).NotTo(HaveOccurred())
		far, err := endpoint.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(far.Close)
		_, err = io.WriteString(near, strings.Repeat("x", length))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return socket.Unread(far) }).Should(BeNumerically(">", 0))
		time.Sleep(100 * time.Millisecond) // the peer has passed on what it can
		Expect(near.Close()).To(Succeed())
		time.Sleep(100 * time.Millisecond) // the end reaches the peer
		Expect(far.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		received, err := io.Copy(io.Discard, far)
		Expect(received).To(BeNumerically("<", length))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against requests that a peer passes on which was paused while the host sent them
	// and gave them up.
	It("is not passed on if its end has arrived with it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		connect := func() (dialed, accepted net.Conn) {
			dialed, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			accepted, err = listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _, _ = dialed.Close(), accepted.Close() })
			return dialed, accepted
		}
		host, near := connect()
		far, endpoint := connect()
		_, err = io.WriteString(host, "request")
		Expect(err).NotTo(HaveOccurred())
		Expect(host.Close()).To(Succeed())
		p := &pipe{near: near, far: far, service: "app", paths: newRelayingHost(listener.Addr().String()).paths}
		_, _, err = p.run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		received, _ := io.ReadAll(endpoint)
		Expect(received).To(BeEmpty())
	})
})

package relay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/standin/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "Relay Suite")
}

// quietPeriod is the time for which a blackholed connection must return no data.
const quietPeriod = 100 * time.Millisecond

// echoServer starts a server that echoes each line and returns its address.
func echoServer() string {
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
				defer func() { _ = conn.Close() }()
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					_, _ = conn.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return conn
}

// roundTrip sends a line and returns the line that it reads within wait.
func roundTrip(conn net.Conn, wait time.Duration) (string, error) {
	_, err := conn.Write([]byte("hello\n"))
	if err != nil {
		return "", err
	}
	Expect(conn.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
	return bufio.NewReader(conn).ReadString('\n')
}

var _ = Describe("Relay", func() {
	var proxy *relay.Relay

	BeforeEach(func() {
		var err error
		proxy, err = relay.New(echoServer())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
	})

	expectEcho := func(conn net.Conn) {
		GinkgoHelper()
		Expect(roundTrip(conn, 5*time.Second)).To(Equal("hello\n"))
	}
	expectNoData := func(conn net.Conn) {
		GinkgoHelper()
		_, err := roundTrip(conn, quietPeriod)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}

	It("forwards both directions and propagates closes", func() {
		conn := dial(proxy.Addr())
		expectEcho(conn)
		Expect(conn.Close()).To(Succeed())
		Eventually(proxy.OpenConnections).Should(BeZero())
	})

	// Guards against hiding a reset from the client as an orderly close.
	It("propagates a reset of the target as a reset", func() {
		between := relayToServer(0, []byte("part"))
		text, err := io.ReadAll(dial(between.Addr()))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "read %q, then %v", text, err)
	})

	It("resets open connections and accepts new ones", func() {
		conn := dial(proxy.Addr())
		expectEcho(conn)
		proxy.Reset()
		_, err := roundTrip(conn, 5*time.Second)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
		expectEcho(dial(proxy.Addr()))
	})

	It("blackholes open connections permanently and accepts new ones", func() {
		conn := dial(proxy.Addr())
		expectEcho(conn)
		proxy.Blackhole()
		expectNoData(conn)
		expectEcho(dial(proxy.Addr()))
		proxy.Unblock()
		expectNoData(conn)
	})

	It("forwards no data of a new connection while it blocks", func() {
		proxy.Block()
		blocked := dial(proxy.Addr())
		expectNoData(blocked)
		proxy.Unblock()
		expectEcho(dial(proxy.Addr()))
		expectNoData(blocked)
	})

	It("blocks only the connections that match the filter", func() {
		first, second := dial(proxy.Addr()), dial(proxy.Addr())
		expectEcho(first)
		expectEcho(second)
		proxy.BlockFrom(func(from, _ net.Addr) bool { return from.String() == first.LocalAddr().String() })
		expectNoData(first)
		expectEcho(second)
		expectEcho(dial(proxy.Addr()))
	})

	DescribeTable("a slow link", func(linger int, whole bool) {
		const size = 100_000
		link := relayToServer(linger, make([]byte, size))
		link.Slow(5*time.Millisecond, 2048)
		text, err := io.ReadAll(dial(link.Addr()))
		if whole {
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(HaveLen(size))
			return
		}
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "read %d bytes, then %v", len(text), err)
		Expect(len(text)).To(BeNumerically("<", size/2))
	},
		// Guards against losses of the relay's own.
		Entry("delivers all that was sent before an orderly close", -1, true),
		// Guards against specs whose link takes all data at once, so that no reset destroys any.
		Entry("doesn't deliver what was on the way when the sender reset the connection", 0, false),
	)

	// Guards against a link that is slow in one direction only.
	It("delays both directions of a slow link", func() {
		const delay = 50 * time.Millisecond
		proxy.Slow(delay, 512)
		conn, started := dial(proxy.Addr()), time.Now()
		expectEcho(conn)
		Expect(time.Since(started)).To(BeNumerically(">=", 2*delay))
	})
})

// relayToServer returns a relay to a server that sends data to its first connection, and
// closes that one after 50 ms with a linger time in seconds.
func relayToServer(linger int, data []byte) *relay.Relay {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(data)
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(linger)
		_ = conn.Close()
	}()
	proxy, err := relay.New(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	return proxy
}

package relay_test

import (
	"bufio"
	"net"
	"os"
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

// silence is how long a silent connection must show nothing.
const silence = 100 * time.Millisecond

// echoServer answers each line with itself.
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

// ask sends a line and returns the answer.
func ask(conn net.Conn, wait time.Duration) (string, error) {
	_, err := conn.Write([]byte("hello\n"))
	if err != nil {
		return "", err
	}
	Expect(conn.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
	return bufio.NewReader(conn).ReadString('\n')
}

var _ = Describe("Relay", func() {
	var between *relay.Relay

	BeforeEach(func() {
		var err error
		between, err = relay.New(echoServer())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(between.Close)
	})

	expectAnswer := func(conn net.Conn) {
		GinkgoHelper()
		Expect(ask(conn, 5*time.Second)).To(Equal("hello\n"))
	}
	expectSilence := func(conn net.Conn) {
		GinkgoHelper()
		_, err := ask(conn, silence)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}

	It("forwards both ways and passes closes on", func() {
		conn := dial(between.Addr())
		expectAnswer(conn)
		Expect(conn.Close()).To(Succeed())
		Eventually(between.Open).Should(BeZero())
	})

	It("resets open connections and takes new ones", func() {
		conn := dial(between.Addr())
		expectAnswer(conn)
		between.Cut()
		_, err := ask(conn, 5*time.Second)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
		expectAnswer(dial(between.Addr()))
	})

	It("silences open connections for good and takes new ones", func() {
		conn := dial(between.Addr())
		expectAnswer(conn)
		between.Silence()
		expectSilence(conn)
		expectAnswer(dial(between.Addr()))
		between.Resume()
		expectSilence(conn)
	})

	It("answers no new connection while it blocks", func() {
		between.Block()
		blocked := dial(between.Addr())
		expectSilence(blocked)
		between.Resume()
		expectAnswer(dial(between.Addr()))
		expectSilence(blocked)
	})

	It("blocks only the connections that are picked", func() {
		first, second := dial(between.Addr()), dial(between.Addr())
		expectAnswer(first)
		expectAnswer(second)
		between.BlockFrom(func(from net.Addr) bool { return from.String() == first.LocalAddr().String() })
		expectSilence(first)
		expectAnswer(second)
		expectAnswer(dial(between.Addr()))
	})
})

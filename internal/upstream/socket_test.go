package upstream

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"bilberryslip.example/bilberryslip/internal/socket"
)

// keepAlive models the timer of Linux that probes an idle connection.
type keepAlive struct{ idle, interval, unacked time.Duration }

// outlasts reports whether a connection on which the last byte arrived at time zero stands
// after a silence in which nothing that is sent is answered.
func (k keepAlive) outlasts(from, until time.Duration) bool {
	received, probes := time.Duration(0), 0
	for now := k.idle; now < until+10*time.Second; {
		switch {
		case now-received >= k.unacked && probes > 0:
			return false
		case now >= from && now < until:
			probes++
			now += k.interval
		default:
			received, probes = now, 0
			now += k.idle
		}
	}
	return true
}

func option(conn net.Conn, level, name int) time.Duration {
	GinkgoHelper()
	raw, err := socket.Innermost(conn).(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	value, optionErr := 0, error(nil)
	Expect(raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, name) })).To(Succeed())
	Expect(optionErr).NotTo(HaveOccurred())
	return time.Duration(value)
}

var _ = Describe("Connections", func() {
	listen := func(unacked time.Duration) net.Listener {
		listener, err := Listen(context.Background(), "127.0.0.1:0", unacked)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		return listener
	}

	// Guards against breaking off requests and streams of a sound endpoint that is silent
	// for a moment.
	It("to endpoints outlast a silence of 1.8 s, whenever it begins", func() {
		conn, err := DialEndpoint(context.Background(), listen(PeerUnackedTimeout).Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		k := keepAlive{
			idle:     option(conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE) * time.Second,
			interval: option(conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL) * time.Second,
			unacked:  option(conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) * time.Millisecond,
		}
		const silence = 1800 * time.Millisecond
		for from := time.Duration(0); from < 3*time.Second; from += 10 * time.Millisecond {
			Expect(k.outlasts(from, from+silence)).To(BeTrue(), "a silence that begins %v after the last byte, with %+v", from, k)
		}
		Expect(k.outlasts(0, time.Minute)).To(BeFalse(), "a path that is lost")
	})

	// Guards against cutting off callers that are sound but read slowly.
	It("of callers outlast a pause of seconds in which the caller reads nothing", func() {
		const pause, size = 3 * time.Second, 24 << 20
		listener := listen(CallerUnackedTimeout)
		written := make(chan error, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				written <- err
				return
			}
			defer conn.Close()
			_, err = conn.Write(make([]byte, size))
			written <- err
		}()
		caller, err := (&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10) })
		}}).Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = caller.Close() })
		time.Sleep(pause)
		read, err := io.Copy(io.Discard, caller)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(BeEquivalentTo(size))
		Expect(<-written).NotTo(HaveOccurred())
	})
})

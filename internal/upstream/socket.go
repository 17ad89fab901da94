package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bilberryslip.example/bilberryslip/internal/socket"
)

const (
	// dialTimeout limits the time to establish a connection. It is well under the three
	// seconds within which a lost path must be noticed.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the probes on
	// an idle connection. The kernel takes whole seconds. It gives up by the unacked
	// timeout, whatever the count.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1
)

// Unacked timeouts: after how long a connection is closed whose data or probes are not
// acknowledged, or whose data is not read by the other side.
const (
	// PeerUnackedTimeout is that of connections to the store and between hosts, whose calls
	// are short and can be repeated.
	PeerUnackedTimeout = 1500 * time.Millisecond
	// EndpointUnackedTimeout is that of connections to endpoints. A sound endpoint may be
	// silent for 1.8 s, of which a probe each second must miss the end by then.
	EndpointUnackedTimeout = 3100 * time.Millisecond
	// CallerUnackedTimeout is that of connections of callers, who may pause for seconds
	// before they read on.
	CallerUnackedTimeout = 10 * time.Second
)

// Dial opens a TCP connection to the store or a peer. It fails soon after the other side
// or the path to it fails. It has the signature of http.Transport.DialContext.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address, PeerUnackedTimeout)
}

// DialEndpoint opens a TCP connection to an endpoint, which outlasts a silence of a sound
// endpoint.
func DialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, "tcp", address, EndpointUnackedTimeout)
}

func dial(ctx context.Context, network, address string, unacked time.Duration) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUnackedTimeout(raw, unacked) },
	}
	return socket.DialRequests(dialer.DialContext)(ctx, network, address)
}

// SetUnackedTimeout limits how long sent data may stay unacknowledged or unread before
// the kernel closes the connection.
func SetUnackedTimeout(raw syscall.RawConn, unacked time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Listen opens a TCP listener whose connections fail once data to the other side was
// unacknowledged or unread for the time, or the other side doesn't answer probes for it.
func Listen(ctx context.Context, address string, unacked time.Duration) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUnackedTimeout(raw, unacked) },
	}
	return config.Listen(ctx, "tcp", address)
}

// openAndIdle reports whether a connection is still open and has nothing to read.
func openAndIdle(conn net.Conn) bool {
	tcp, ok := socket.Innermost(conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = err == unix.EAGAIN
		return true
	})
	return err == nil && nothingToRead
}

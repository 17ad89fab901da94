package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts for a connection whose peer no longer responds. Both the time to dial
// and the time to detect a dead connection are well under the three seconds
// within which a lost path must be noticed.
const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the probes on
	// an idle connection. The kernel takes whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1
	// unackedTimeout is after how long a connection is closed whose data or probes
	// are not acknowledged.
	unackedTimeout = 1500 * time.Millisecond
)

// Dial opens a TCP connection that fails soon after its peer or the path to it
// fails. It has the signature of http.Transport.DialContext.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUnackedTimeout(raw) },
	}
	return dialer.DialContext(ctx, network, address)
}

// SetUnackedTimeout limits how long sent data may stay unacknowledged before the
// kernel closes the connection.
func SetUnackedTimeout(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Listen opens a TCP listener whose connections fail soon after their peer or the
// path to it fails.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUnackedTimeout(raw) },
	}
	return config.Listen(ctx, "tcp", address)
}

// openAndIdle reports whether a connection is still open and has nothing to read.
func openAndIdle(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
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

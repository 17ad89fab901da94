package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on a connection whose peer has gone silent. Both are well under the
// three seconds within which a lost path must be noticed.
const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount make probes on an
	// idle connection; the kernel counts in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1
	// unackedTimeout closes a connection whose data or probes nobody confirms.
	unackedTimeout = 1500 * time.Millisecond
)

// Dial opens a TCP connection that fails soon after its peer or the path to
// it is lost.
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

// SetUnackedTimeout bounds how long sent data may stay unconfirmed.
func SetUnackedTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Listen opens a listener whose connections fail soon after their peer is
// lost.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return SetUnackedTimeout(raw) },
	}
	return config.Listen(ctx, "tcp", address)
}

// quiet reports whether an idle connection is open and has nothing to read.
func quiet(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == unix.EAGAIN
		return true
	})
	return err == nil && waiting
}

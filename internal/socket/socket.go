// Package socket reads and sets what the kernel keeps of TCP connections.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Wrapper is implemented by connections that wrap another, as tls.Conn.
type Wrapper interface{ NetConn() net.Conn }

// Innermost returns the connection that all others wrap.
func Innermost(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(Wrapper)
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}

// unknown is the length of a queue that can't be read.
const unknown = -1

// Unread returns the number of received bytes that were not read, or -1 if it isn't known.
func Unread(conn net.Conn) int { return queue(conn, unix.SIOCINQ) }

// Unacknowledged returns the number of written bytes that the other side's kernel has not
// acknowledged, or -1 if it isn't known.
func Unacknowledged(conn net.Conn) int { return queue(conn, unix.SIOCOUTQ) }

func queue(conn net.Conn, request uint) int {
	length := unknown
	control(conn, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, request); err == nil {
			length = n
		}
	})
	return length
}

// State describes the other side of a connection.
type State struct {
	// Ended is set once the other side has closed the connection or its sending half, or the
	// connection has failed, also if received bytes are still unread.
	Ended bool
	// SinceReceived is the time since data was last received.
	SinceReceived time.Duration
}

// StateOf returns the state of a connection, or false if it isn't known.
func StateOf(conn net.Conn) (state State, ok bool) {
	control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		ok = true
		state.SinceReceived = time.Duration(info.Last_data_recv) * time.Millisecond
		switch info.State { // package unix names the kernel's states for BPF only
		case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
			state.Ended = true
		}
	})
	return state, ok
}

// control calls f with the descriptor of a connection that is open.
func control(conn net.Conn, f func(fd int)) {
	socket, ok := Innermost(conn).(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails only if the connection is closed
}

// Reset closes a connection so that the kernel drops what is not acknowledged, and the other
// side sees that it failed.
func Reset(conn net.Conn) error {
	tcp, ok := Innermost(conn).(interface{ SetLinger(seconds int) error })
	if !ok {
		return conn.Close()
	}
	_ = tcp.SetLinger(0) // fails only if the connection is closed
	return Innermost(conn).Close()
}

// Package stalled plays endpoints whose paths stall: their connections take a few kilobytes
// until they are read.
package stalled

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// window is the receive buffer of the connections, in bytes.
const window = 2 << 10

// Listen opens a listener on a free port of 127.0.0.1.
func Listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		// Before a connection opens, since a window that was announced never shrinks.
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

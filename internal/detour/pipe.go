package detour

import (
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/reach"
)

// pipe relays between the connection of a peer and that to an endpoint.
type pipe struct {
	near, far net.Conn
	service   string
	paths     *reach.Monitor
}

// run relays until the peer closes its connection or one of them fails. It returns the
// bytes sent to the endpoint and received from it, and why the endpoint's side failed; nil
// if it did not.
//
// An orderly end of the endpoint's connection is passed on as such, since it may complete
// a response. A failure resets the peer's connection, so that it can't be taken for one.
func (p *pipe) run(ctx context.Context) (sent, received int64, err error) {
	wait := p.paths.Begin(p.service, nil)
	defer wait.End()
	peerClosed := make(chan struct{})
	go func() {
		sent, _ = copyBytes(p.far, p.near, func() {})
		close(peerClosed)
		_ = p.far.Close() // the peer no longer waits
	}()
	received, err = copyBytes(p.near, p.far, func() {
		wait.Received()
		wait.End() // the peer decides how long to wait for more
	})
	select {
	case <-peerClosed:
		return sent, received, nil
	default:
	}
	p.endNear(ctx, received, err)
	<-peerClosed
	return sent, received, err
}

// endNear passes the end of the endpoint's connection on to the peer.
func (p *pipe) endNear(ctx context.Context, received int64, err error) {
	if err != nil && received == 0 && !errors.Is(err, errWrite) {
		p.paths.RecordFailure(ctx, p.service, nil)
	}
	half, ok := p.near.(interface{ CloseWrite() error })
	if err != nil || !ok || half.CloseWrite() != nil {
		reset(p.near)
	}
}

// errWrite marks errors of the side that is written to.
var errWrite = errors.New("the receiving side failed")

// copyBytes copies until the end of from, and calls arrived after each read. It does not
// use the kernel's shortcuts between sockets, which would hide what arrives.
func copyBytes(to io.Writer, from io.Reader, arrived func()) (int64, error) {
	buffer := make([]byte, relayBuffer)
	copied := int64(0)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			arrived()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return copied, errors.Mark(writeErr, errWrite)
			}
			copied += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return copied, nil
		}
		if err != nil {
			return copied, err
		}
	}
}

// reset closes a connection so that the other side sees that it failed.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

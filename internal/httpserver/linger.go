package httpserver

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/socket"
)

const (
	// lingerTimeout is how long a connection whose sending half has been shut down waits for
	// its caller to close. It allows for a round trip and callers that read late. What the
	// caller has not taken by then is still delivered by the kernel unless more arrives.
	lingerTimeout = 2 * time.Second
	// maxLingerers limits these connections, each of which holds a descriptor: an eighth of
	// the 4,100 connections that a host may have. Beyond it, connections close at once.
	maxLingerers = 512
	// crossingTime is how long after the answer was taken a request may still arrive that the
	// caller sent before it saw the end of the connection.
	crossingTime = 100 * time.Millisecond
	// discardBufferBytes is the length of the buffer for what arrives meanwhile.
	discardBufferBytes = 2 << 10
)

// lingerers are the connections that wait for their callers to close.
type lingerers struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// add adds a connection, or returns false if there are too many.
func (l *lingerers) add(c *trackedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= maxLingerers {
		return false
	}
	if l.conns == nil {
		l.conns = make(map[*trackedConn]struct{})
	}
	c.lingersSince = time.Now()
	l.conns[c] = struct{}{}
	return true
}

func (l *lingerers) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// all returns the connections.
func (l *lingerers) all() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// mayLoseAnswer reports whether the caller may lose an answer if the connection closes at
// once. A socket that is closed with unread bytes, or that gets any later, is reset, and what
// was not delivered by then is dropped.
func (c *trackedConn) mayLoseAnswer() bool {
	if c.callerGone.Load() {
		return false // nothing can arrive any more
	}
	if c.handled.Load() == 0 && (c.opaque.Load() || !c.wrote.Load()) {
		return false // nothing but a handshake was sent
	}
	c.mu.Lock()
	idleSince := c.idleSince
	c.mu.Unlock()
	return idleSince.IsZero() || time.Since(idleSince) < lingerTimeout || c.untaken() > 0
}

// untaken returns the number of sent bytes that the caller's kernel has not acknowledged, or -1
// if it isn't known.
func (c *trackedConn) untaken() int { return socket.Unacknowledged(c.Conn) }

// linger drops what arrives until the caller closes the connection, up to lingerTimeout, and
// closes it. The sending half has been shut down. A further request stays unread for
// crossingTime: callers may send a request again that was not read. After that, a reset for
// unread bytes would cost callers behind slow links their answers.
func (c *trackedConn) linger() {
	defer c.server.lingerers.remove(c)
	c.reading.Lock() // until the last Read has returned
	defer c.reading.Unlock()
	_ = c.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.mu.Lock()
	between := !c.opaque.Load() && !c.framing.lost && c.framing.begun == c.framing.whole
	c.mu.Unlock()
	if !between || !c.closesUnread() {
		var buffer [discardBufferBytes]byte
		for {
			if _, err := c.tcp.Read(buffer[:]); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) {
					c.reportUntaken()
				}
				break
			}
		}
	}
	_ = c.Conn.Close()
}

// closesUnread waits until something arrives, and then for crossingTime until the caller closes.
// It reads nothing, and returns whether the caller has closed.
func (c *trackedConn) closesUnread() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	var arrived int
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		var peeked error
		arrived, _, peeked = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK)
		return !errors.Is(peeked, unix.EAGAIN) && !errors.Is(peeked, unix.EINTR)
	})
	if err != nil || arrived <= 0 {
		return false // Read tells why
	}
	for since := time.Now(); time.Since(since) < crossingTime; time.Sleep(idlePollInterval) {
		closed := false
		err = raw.Control(func(fd uintptr) {
			events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(events, 0)
			closed = n > 0 && err == nil
		})
		if closed || err != nil {
			return true
		}
	}
	return false
}

// lingering returns the connections whose callers have not taken the answer, or may have sent
// a request that crosses the close.
func (s *Server) lingering() []*trackedConn {
	return slices.DeleteFunc(s.lingerers.all(), func(c *trackedConn) bool {
		return c.untaken() == 0 && time.Since(c.lingersSince) >= crossingTime
	})
}

// awaitLingerers waits until all connections have closed or ctx is done.
func (s *Server) awaitLingerers(ctx context.Context) {
	for {
		left := s.lingerers.all()
		if len(left) == 0 {
			return
		}
		if !retry.Sleep(ctx, idlePollInterval) {
			for _, c := range left {
				c.reportUntaken()
			}
			return
		}
	}
}

// Package relay implements a TCP proxy for tests that simulates network
// failures: connection resets, connections that drop all data while they stay
// open, partitions, and slow links.
package relay

import (
	"cmp"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// bufferBytes is the size of the read buffer of each direction.
const bufferBytes = 32 << 10

// Filter reports whether to block the connection from a client's address to the relay's.
type Filter func(from, to net.Addr) bool

// Relay forwards the connections that it accepts to a target. It is safe for
// concurrent use. The zero value is not usable; call New.
type Relay struct {
	listener net.Listener
	done     chan struct{}

	mu      sync.Mutex
	target  string
	blocked Filter
	// resetting is set while new connections are reset.
	resetting bool
	closed    bool
	links     map[*link]struct{}
	// stalled is closed when a stall ends; nil without one.
	stalled chan struct{}
	// accepted counts the connections that were accepted.
	accepted int
	// delay and pieceBytes are those of Slow; zero without it.
	delay      time.Duration
	pieceBytes int
}

// New starts a relay to the target, a host:port address, on a free port of
// 127.0.0.1. The target may be empty until SetTarget is called.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on 127.0.0.1")
	}
	r := &Relay{
		target:   target,
		listener: listener,
		done:     make(chan struct{}),
		links:    make(map[*link]struct{}),
	}
	go r.accept()
	return r, nil
}

// Addr returns the host:port address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// URL returns the base URL of the relay, for use in place of the target's.
func (r *Relay) URL() string { return "http://" + r.Addr() }

// Slow makes connections that are accepted later slow: each direction passes one piece of
// at most that many bytes per delay, and the sockets have small buffers. What is on the way
// then waits in the sender's socket, where a reset destroys it.
func (r *Relay) Slow(delay time.Duration, pieceBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.pieceBytes = delay, pieceBytes
}

// SetTarget sets the host:port address that new connections are forwarded to.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Reset resets all open connections. New connections are not affected.
func (r *Relay) Reset() {
	for _, open := range r.takeLinks() {
		open.reset()
	}
}

// ResetAll resets all open connections, and new ones until Unblock is called.
func (r *Relay) ResetAll() {
	r.mu.Lock()
	r.resetting = true
	r.mu.Unlock()
	r.Reset()
}

// ResetNew resets new connections until Unblock is called. Open ones live on.
func (r *Relay) ResetNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetting = true
}

// Stall holds back all data, in both directions, until Resume is called. Nothing is lost.
func (r *Relay) Stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled == nil {
		r.stalled = make(chan struct{})
	}
}

// Resume ends a stall.
func (r *Relay) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled != nil {
		close(r.stalled)
		r.stalled = nil
	}
}

// awaitResume waits until no stall is in progress, or the relay is closed.
func (r *Relay) awaitResume() {
	r.mu.Lock()
	stalled := r.stalled
	r.mu.Unlock()
	if stalled == nil {
		return
	}
	select {
	case <-stalled:
	case <-r.done:
	}
}

// Blackhole makes the relay discard all further data on the open connections, in
// both directions, without propagating closes. Unblock does not restore these
// connections. New connections are not affected.
func (r *Relay) Blackhole() {
	r.blackhole(anyConnection)
}

// Block blackholes the open connections, and new ones until Unblock is called.
func (r *Relay) Block() {
	r.BlockFrom(anyConnection)
}

// BlockFrom is like Block, but affects only connections that match the filter.
func (r *Relay) BlockFrom(filter Filter) {
	r.mu.Lock()
	r.blocked = filter
	r.mu.Unlock()
	r.blackhole(filter)
}

// Unblock ends the effect of Block, ResetAll and ResetNew on new connections.
// Connections that were blackholed remain so.
func (r *Relay) Unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked, r.resetting = nil, false
}

func anyConnection(_, _ net.Addr) bool { return true }

func (r *Relay) blackhole(filter Filter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for open := range r.links {
		if filter(open.client.RemoteAddr(), open.client.LocalAddr()) {
			open.blackholed.Store(true)
		}
	}
}

// OpenConnections returns the number of open connections, including blackholed
// ones.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Accepted returns the number of connections accepted so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Reset()
	<-r.done
}

func (r *Relay) takeLinks() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	links := make([]*link, 0, len(r.links))
	for open := range r.links {
		links = append(links, open)
	}
	r.links = make(map[*link]struct{})
	return links
}

func (r *Relay) accept() {
	defer close(r.done)
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(client.(*net.TCPConn))
	}
}

func (r *Relay) connect(client *net.TCPConn) {
	open := &link{client: client}
	target, ok := r.add(open)
	if !ok {
		open.reset()
		return
	}
	if open.blackholed.Load() {
		discard(client)
		return
	}
	dialer := net.Dialer{}
	if open.pieceBytes > 0 {
		_ = client.SetReadBuffer(open.pieceBytes)
		_ = client.SetWriteBuffer(open.pieceBytes)
		dialer.Control = func(_, _ string, conn syscall.RawConn) error {
			// Before the connection opens, since a window that was announced never shrinks.
			return conn.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, open.pieceBytes)
			})
		}
	}
	upstream, err := dialer.Dial("tcp", target)
	if err != nil || !open.join(upstream.(*net.TCPConn)) {
		r.drop(open)
		open.reset()
		return
	}
	go r.forward(open, open.upstream, client)
	r.forward(open, client, open.upstream)
}

// add registers a link and returns the address to forward it to. ok is false if the
// link is to be reset.
func (r *Relay) add(open *link) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	if r.closed || r.resetting {
		return "", false
	}
	open.blackholed.Store(r.blocked != nil && r.blocked(open.client.RemoteAddr(), open.client.LocalAddr()))
	open.delay, open.pieceBytes = r.delay, r.pieceBytes
	r.links[open] = struct{}{}
	return r.target, true
}

func (r *Relay) drop(open *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, open)
}

// forward copies one direction of a link until a read fails. A blackholed link
// stays registered afterwards.
func (r *Relay) forward(open *link, from, to *net.TCPConn) {
	buffer := make([]byte, cmp.Or(open.pieceBytes, bufferBytes))
	for {
		n, err := from.Read(buffer)
		time.Sleep(open.delay)
		r.awaitResume()
		if open.blackholed.Load() {
			return // the sender blocks once the kernel's buffers are full
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil && err == nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			r.drop(open)
			open.reset()
			return
		}
		_ = to.CloseWrite()
		if open.closedDirections.Add(1) == 2 {
			r.drop(open)
			open.close()
		}
		return
	}
}

func discard(from *net.TCPConn) {
	buffer := make([]byte, bufferBytes)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

// link is a client connection and the matching connection to the target.
type link struct {
	client           *net.TCPConn
	blackholed       atomic.Bool
	closedDirections atomic.Int32
	delay            time.Duration
	pieceBytes       int

	mu       sync.Mutex
	upstream *net.TCPConn
	closed   bool
}

// join sets the connection to the target and reports whether the link is still
// open.
func (l *link) join(upstream *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstream = upstream
	return !l.closed
}

// reset closes both connections with a TCP RST.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, conn := range []*net.TCPConn{l.client, l.upstream} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.client.Close()
	_ = l.upstream.Close()
}

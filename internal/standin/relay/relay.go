// Package relay is a TCP relay for tests that causes the failures of the
// network between two ends: reset connections, connections that go silent for
// good, and partitions.
package relay

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// bufferBytes is the size of one read.
const bufferBytes = 32 << 10

// Blocked picks the connections to block by the address that they come from.
type Blocked func(from net.Addr) bool

// Relay forwards the connections it accepts to a target. The zero value is
// not usable; call New.
type Relay struct {
	listener net.Listener
	done     chan struct{}

	mu      sync.Mutex
	target  string
	blocked Blocked
	closed  bool
	links   map[*link]struct{}
}

// New returns a running relay to the target on a free port of 127.0.0.1. The
// target may be empty until SetTarget.
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

// Addr returns the address to dial.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// URL returns the base URL to use in place of the target's.
func (r *Relay) URL() string { return "http://" + r.Addr() }

// SetTarget changes where new connections go.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Cut resets the open connections. New ones work.
func (r *Relay) Cut() {
	for _, open := range r.take() {
		open.reset()
	}
}

// Silence makes the open connections silent for good: bytes are swallowed both
// ways and closes are not passed on. New ones work.
func (r *Relay) Silence() {
	r.silence(all)
}

// Block makes the open connections silent and lets new ones get no answer,
// until Resume.
func (r *Relay) Block() {
	r.BlockFrom(all)
}

// BlockFrom is Block for the connections that are picked.
func (r *Relay) BlockFrom(blocked Blocked) {
	r.mu.Lock()
	r.blocked = blocked
	r.mu.Unlock()
	r.silence(blocked)
}

// Resume lets new connections work. Silent ones stay silent.
func (r *Relay) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = nil
}

func all(net.Addr) bool { return true }

func (r *Relay) silence(which Blocked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for open := range r.links {
		if which(open.near.RemoteAddr()) {
			open.silent.Store(true)
		}
	}
}

// Open returns the number of open connections, silent ones included.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Close ends the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Cut()
	<-r.done
}

func (r *Relay) take() []*link {
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
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(near.(*net.TCPConn))
	}
}

func (r *Relay) connect(near *net.TCPConn) {
	open := &link{near: near}
	target, ok := r.add(open)
	if !ok {
		open.reset()
		return
	}
	if open.silent.Load() {
		swallow(near)
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil || !open.join(far.(*net.TCPConn)) {
		r.drop(open)
		open.reset()
		return
	}
	go r.pump(open, open.far, near)
	r.pump(open, near, open.far)
}

// add registers a link and returns where it goes; ok is false once the relay
// is closed.
func (r *Relay) add(open *link) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return "", false
	}
	open.silent.Store(r.blocked != nil && r.blocked(open.near.RemoteAddr()))
	r.links[open] = struct{}{}
	return r.target, true
}

func (r *Relay) drop(open *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, open)
}

// pump copies one direction. A silent link stays registered after its end.
func (r *Relay) pump(open *link, from, to *net.TCPConn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !open.silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if open.silent.Load() {
			return
		}
		_ = to.CloseWrite()
		if open.ended.Add(1) == 2 {
			r.drop(open)
			open.close()
		}
		return
	}
}

func swallow(from *net.TCPConn) {
	buffer := make([]byte, bufferBytes)
	for {
		if _, err := from.Read(buffer); err != nil {
			return
		}
	}
}

// link is one relayed connection.
type link struct {
	near   *net.TCPConn
	silent atomic.Bool
	ended  atomic.Int32

	mu  sync.Mutex
	far *net.TCPConn
	end bool
}

// join sets the far end and reports whether the link is still wanted.
func (l *link) join(far *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.far = far
	return !l.end
}

// reset closes both ends with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = true
	for _, conn := range []*net.TCPConn{l.near, l.far} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = true
	_ = l.near.Close()
	_ = l.far.Close()
}

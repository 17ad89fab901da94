// Package httpserver serves one address and stops without cutting a request.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/retry"
)

// Limits of the HTTP servers. A streaming answer has no write limit of its
// own: its progress limits are the gateway's.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// stopTimeout bounds the wait for requests when a server stops; the
	// gateway has been drained by then.
	stopTimeout = 2 * time.Second
	// newConnGrace is how long a stopping server waits for the first request
	// of a connection.
	newConnGrace     = time.Second
	idlePollInterval = 10 * time.Millisecond
)

// Config sets a Server.
type Config struct {
	// Name is used in logs.
	Name string
	// Listener is open before the first start.
	Listener net.Listener
	Handler  http.Handler
	// TLS is nil for plain HTTP.
	TLS *Certificate
	// Idle returns how long a connection without request is kept. Nil means
	// 2 min.
	Idle func() time.Duration
}

// Server serves one address. It implements suture.Service.
type Server struct {
	config Config
	// listener is nil after the first start.
	listener net.Listener
	address  string

	// draining is set once the server is to stop.
	draining atomic.Bool

	mu sync.Mutex
	// server runs; it is nil before the first start.
	server *http.Server
	// open is the listener that the server accepts from.
	open net.Listener
	// stopping is set once no connection is to be kept.
	stopping bool
	// closed holds the connections that this server closed while they carried
	// no request.
	closed map[net.Conn]bool
	// busy holds the connections that may carry a request.
	busy map[net.Conn]http.ConnState
	// idle holds the connections without request, with the timers that close
	// them; a timer is nil where net/http does that.
	idle map[net.Conn]*time.Timer
}

// New returns a server; Serve runs it.
func New(config Config) *Server { return &Server{config: config, listener: config.Listener} }

// Certificate names the files of a certificate and its key.
type Certificate struct {
	CertificateFile, KeyFile string
}

// String implements fmt.Stringer, which the supervisor uses in logs.
func (s *Server) String() string { return "http-" + s.config.Name }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler:   s.closing(s.config.Handler),
		ConnState: s.track,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if s.config.Idle == nil {
		server.IdleTimeout = idleTimeout
	}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		// The parent is done already, so the stop has a context of its own.
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = server.Shutdown(stopCtx)
	}()
	err := s.serve(server)
	if s.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve %s", s.config.Name)
}

// Drain makes each connection close after its next answer, so that callers do
// not send on one that is about to be closed.
func (s *Server) Drain() { s.draining.Store(true) }

// connKey is the context key of a request's connection.
type connKey struct{}

// closing adds to the answers of a draining server that the connection closes.
// A request that crossed the close of its connection is not handled: its
// caller will never get the answer and is free to send it again.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && s.wasClosed(conn) {
			panic(http.ErrAbortHandler)
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) wasClosed(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[conn]
}

// close closes a connection that carries no request. It must be called with
// the mutex held.
func (s *Server) close(conn net.Conn) {
	s.closed[conn] = true
	_ = conn.Close()
}

// expire closes a connection whose time without request is over, unless a
// request has begun meanwhile.
func (s *Server) expire(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.idle[conn]; ok {
		s.close(conn)
	}
}

// track follows which connections may carry a request.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeIdle(conn, state)
	if state == http.StateNew || state == http.StateActive {
		s.busy[conn] = state
		return
	}
	delete(s.busy, conn)
	if state == http.StateClosed {
		delete(s.closed, conn)
	}
}

// timeIdle closes a connection that stays without request for too long. The
// limit is asked each time, since configurations change it. It must be called
// with the mutex held.
func (s *Server) timeIdle(conn net.Conn, state http.ConnState) {
	if timer := s.idle[conn]; timer != nil {
		timer.Stop()
	}
	delete(s.idle, conn)
	if state != http.StateIdle {
		return
	}
	if s.stopping {
		// The answer may have begun before the stop, without word of the close.
		s.close(conn)
		return
	}
	s.idle[conn] = nil
	if s.config.Idle != nil {
		s.idle[conn] = time.AfterFunc(s.config.Idle(), func() { s.expire(conn) })
	}
}

// closeIdle closes the connections that carry no request, and from now on each
// that becomes idle, so that no further request comes on them.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for conn := range s.idle {
		s.close(conn)
	}
}

// StopAccepting closes the listener for good and waits until no connection
// carries a request or ctx ends. http.Server.Shutdown comes last: it drops
// requests whose headers arrive while it runs.
func (s *Server) StopAccepting(ctx context.Context) {
	s.Drain()
	s.mu.Lock()
	server, listener := s.server, s.open
	s.mu.Unlock()
	if server == nil || listener == nil {
		return
	}
	_ = listener.Close()
	s.closeIdle()
	quiet := time.Now().Add(newConnGrace)
	for s.mayCarryRequest(time.Now().Before(quiet)) && retry.Sleep(ctx, idlePollInterval) {
	}
	_ = server.Shutdown(ctx)
}

// mayCarryRequest reports whether a connection is active, or, where it counts
// new ones too, has not sent anything yet.
func (s *Server) mayCarryRequest(countNew bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.busy {
		if state == http.StateActive || countNew {
			return true
		}
	}
	return false
}

func (s *Server) serve(server *http.Server) error {
	listener, err := s.takeListener()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.open = listener
	s.busy = make(map[net.Conn]http.ConnState)
	s.idle = make(map[net.Conn]*time.Timer)
	s.closed = make(map[net.Conn]bool)
	s.mu.Unlock()
	if s.config.TLS == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, s.config.TLS.CertificateFile, s.config.TLS.KeyFile)
}

// takeListener returns the open listener at the first start, and opens the
// same address again at a restart.
func (s *Server) takeListener() (net.Listener, error) {
	if listener := s.listener; listener != nil {
		s.address = listener.Addr().String()
		s.listener = nil
		return listener, nil
	}
	return net.Listen("tcp", s.address)
}

// Package httpserver provides an HTTP server for one address that shuts down
// gracefully, without aborting requests in flight.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"bilberryslip.example/bilberryslip/internal/socket"
)

// Limits of the HTTP servers. There is no write timeout, since responses may be
// streamed; the gateway enforces progress timeouts on those.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// stopTimeout is the timeout for requests in flight when Serve's context is
	// cancelled; the gateway has been drained by then.
	stopTimeout = 2 * time.Second
	// newConnGrace is how long a stopping server waits for the first request of
	// an accepted connection.
	newConnGrace = time.Second
	// idleLinger is how long a stopping server keeps a connection that has become idle. A
	// request may have been read behind the one before, whose response did not say that
	// the connection closes.
	idleLinger = 50 * time.Millisecond
	// arrivingCheckInterval is how often a connection that is to be closed as idle is checked
	// while a request is arriving on it.
	arrivingCheckInterval = 50 * time.Millisecond
	// acceptQueueTimeout bounds how long a stopping server keeps its listener open for the
	// connections that it has not accepted yet.
	acceptQueueTimeout = 250 * time.Millisecond
	// acceptQueuePollInterval is how often it checks for them.
	acceptQueuePollInterval = time.Millisecond
	// idlePollInterval is how often a stopping server checks for requests in
	// flight.
	idlePollInterval = 10 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	// Name is used in logs.
	Name string
	// Listener is the open listener that the first call of Serve uses.
	Listener net.Listener
	// Handler handles the requests.
	Handler http.Handler
	// TLS is the server's certificate, or nil for plain HTTP.
	TLS *Certificate
	// Idle returns how long an idle connection is kept open. It is called each
	// time a connection becomes idle. Nil means 2 min.
	Idle func() time.Duration
	// Shutdown is the shutdown of the process. Nil means that the server does not take part
	// in it.
	Shutdown Shutdown
}

// Shutdown tells what the shutdown of the process means for connections.
type Shutdown interface {
	// LastAnswers reports whether responses say that their connection closes, so that
	// callers don't send a request on a connection that is about to be closed.
	LastAnswers() bool
	// ClosesQuiet reports whether connections close once they are idle.
	ClosesQuiet() bool
	// Elapsed returns the time since the shutdown began. It returns false if none has.
	Elapsed() (time.Duration, bool)
}

// Server serves HTTP requests on one address. It implements suture.Service and
// can be restarted by its supervisor.
type Server struct {
	config Config
	// initialListener is nil after the first start.
	initialListener net.Listener
	// address is set at the first start, for restarts.
	address string

	// ending is set once the server itself ends: its connections close as in a shutdown.
	ending atomic.Bool
	// logs limits the log lines about connections.
	logs *rate.Limiter

	mu sync.Mutex
	// server is the running server, or nil before the first start.
	server *http.Server
	// activeListener is the listener that server accepts connections from.
	activeListener net.Listener
	// closed holds the connections that this server closed while they were
	// idle.
	closed map[net.Conn]bool
	// busy holds the new and active connections, which may carry a request.
	busy map[net.Conn]http.ConnState
	// idle holds the idle connections with the timers that close them. The timer
	// is nil if net/http closes the connection.
	idle map[net.Conn]*time.Timer
	// arriving holds, for each idle connection that was to be closed, when it first was. It
	// stays open while a request is arriving on it.
	arriving map[net.Conn]time.Time
	// acceptEnded is closed once no further connection is accepted from activeListener.
	acceptEnded chan struct{}

	lingerers lingerers
}

// New returns a server. It accepts requests once Serve runs.
func New(config Config) *Server {
	return &Server{config: config, initialListener: config.Listener, logs: newLogLimiter()}
}

// Certificate names the files of a certificate and its key.
type Certificate struct {
	CertificateFile, KeyFile string
}

// String implements fmt.Stringer, which the supervisor uses in logs.
func (s *Server) String() string { return "http-" + s.config.Name }

// Serve serves requests until ctx is done. It implements suture.Service. While the
// server is draining, the listener's error is expected, and Serve returns only
// when ctx is done, so that the supervisor doesn't restart it.
func (s *Server) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler:   s.withConnectionClose(s.config.Handler),
		ConnState: s.trackConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &connection{Conn: conn, tracked: tracked(conn), acceptedAt: time.Now()})
		},
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The handler answers "OPTIONS *", too; net/http would do so with 200.
		DisableGeneralOptionsHandler: true,
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
		// ctx is already done, so Shutdown needs a context of its own.
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		var stopped bool
		if s.config.TLS != nil {
			// Shutdown tells the callers of HTTP/2 that the connection ends.
			if stopped = server.Shutdown(stopCtx) == nil; stopped {
				s.awaitLingerers(stopCtx)
			}
		} else {
			stopped = s.stop(stopCtx)
		}
		if !stopped {
			s.reportOpen()
		}
	}()
	err := s.serve(server)
	if s.ending.Load() || errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve %s", s.config.Name)
}

// lastAnswers reports whether each connection closes after its next response behind which
// no further request is arriving.
func (s *Server) lastAnswers() bool {
	return s.ending.Load() || s.config.Shutdown != nil && s.config.Shutdown.LastAnswers()
}

// closesQuiet reports whether idle connections close after idleLinger.
func (s *Server) closesQuiet() bool {
	return s.ending.Load() || s.config.Shutdown != nil && s.config.Shutdown.ClosesQuiet()
}

// Connection describes the connection of a request.
type Connection struct {
	AcceptedAt time.Time
	// EarlierRequests is the number of requests on the connection that have ended.
	EarlierRequests int
	// ReceivedAt is when the kernel had received the first bytes of the request, which may be
	// long before the process read them. Zero if that isn't known, as over TLS.
	ReceivedAt time.Time
}

// ConnectionOf returns the connection of a request by its context. It returns false for
// requests that no Server has read.
func ConnectionOf(ctx context.Context) (Connection, bool) {
	conn, ok := ctx.Value(connKey{}).(*connection)
	if !ok {
		return Connection{}, false
	}
	c := Connection{AcceptedAt: conn.acceptedAt, EarlierRequests: int(conn.requests.Load())}
	if conn.tracked != nil {
		c.ReceivedAt = conn.tracked.requestReceivedAt()
	}
	return c, true
}

// CallerEnded reports whether the caller of a request, by its context, has closed its connection
// or its sending half, or the connection has failed. It asks the kernel: net/http notices that
// only later, in a goroutine of its own, and not at all behind unread bytes.
func CallerEnded(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*connection)
	if !ok {
		return false
	}
	state, ok := socket.StateOf(conn.Conn)
	return ok && state.Ended
}

// connKey is the context key of a request's *connection.
type connKey struct{}

// connection is a connection that requests are read from.
type connection struct {
	net.Conn
	// tracked is the accepted connection, or nil if the server did not accept it.
	tracked    *trackedConn
	acceptedAt time.Time
	// requests is the number of requests that have ended.
	requests atomic.Int64
}

// serve opens the listener and serves requests until the server is shut down or
// the listener fails.
func (s *Server) serve(server *http.Server) error {
	listener, err := s.takeListener()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.activeListener = listener
	s.busy = make(map[net.Conn]http.ConnState)
	s.idle = make(map[net.Conn]*time.Timer)
	s.closed = make(map[net.Conn]bool)
	s.arriving = make(map[net.Conn]time.Time)
	acceptEnded := make(chan struct{})
	s.acceptEnded = acceptEnded
	s.mu.Unlock()
	onClosed := sync.OnceFunc(func() { close(acceptEnded) })
	defer onClosed()
	listener = trackingListener{listener, s, onClosed}
	if s.config.TLS == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, s.config.TLS.CertificateFile, s.config.TLS.KeyFile)
}

// takeListener returns the configured listener at the first start, and listens
// on the same address again at a restart.
func (s *Server) takeListener() (net.Listener, error) {
	if listener := s.initialListener; listener != nil {
		s.address = listener.Addr().String()
		s.initialListener = nil
		return listener, nil
	}
	return net.Listen("tcp", s.address)
}

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

	"bilberryslip.example/bilberryslip/internal/retry"
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
}

// ConnectionOf returns the connection of a request by its context. It returns false for
// requests that no Server has read.
func ConnectionOf(ctx context.Context) (Connection, bool) {
	conn, ok := ctx.Value(connKey{}).(*connection)
	if !ok {
		return Connection{}, false
	}
	return Connection{AcceptedAt: conn.acceptedAt, EarlierRequests: int(conn.requests.Load())}, true
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

// withConnectionClose returns a handler that sets "Connection: close" on the
// responses of a draining server. A request that was read after its connection
// was closed as idle is not handled: the client never gets the response and may
// send the request again.
func (s *Server) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closing := &closingWriter{
			ResponseWriter: w, lastAnswers: s.lastAnswers,
			mayEndByClose: !r.ProtoAtLeast(1, 1) && r.Method != http.MethodHead,
		}
		if conn, ok := r.Context().Value(connKey{}).(*connection); ok {
			if s.wasClosed(conn.Conn) {
				panic(http.ErrAbortHandler)
			}
			defer conn.requests.Add(1)
			if conn.tracked != nil {
				closing.tracked = conn.tracked
				conn.tracked.handled.Add(1)
				if r.Close {
					conn.tracked.saidClose.Store(true) // net/http says so
				}
				defer closing.end()
			}
		}
		next.ServeHTTP(closing, r)
		closing.begin() // an empty response begins after the handler
		closing.complete = true
	})
}

// closingWriter sets "Connection: close" on a response that begins while the server
// drains, unless a further request is arriving behind its request: net/http closes the
// connection after the response and drops what it has read by then.
type closingWriter struct {
	http.ResponseWriter
	// lastAnswers reports whether responses say that their connection closes.
	lastAnswers func() bool
	// tracked is the connection, or nil if the server did not accept it.
	tracked *trackedConn
	began   bool
	// mayEndByClose is set if the end of the connection is the end of a response without a
	// length, as in HTTP/1.0.
	mayEndByClose bool
	// complete is set once the handler has returned.
	complete bool
}

// end records the end of the handler, which may have panicked.
func (w *closingWriter) end() {
	if w.complete {
		w.tracked.endsByClose.Store(false)
		w.tracked.answered.Add(1)
	}
	w.tracked.ended.Add(1)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

func (w *closingWriter) begin() {
	if w.began {
		return
	}
	w.began = true
	header := w.Header()
	if w.lastAnswers() && (w.tracked == nil || !w.tracked.furtherBegun()) {
		header.Set("Connection", "close")
	}
	if w.tracked == nil {
		return
	}
	if header.Get("Connection") == "close" {
		w.tracked.saidClose.Store(true)
	}
	if w.mayEndByClose && header.Get("Content-Length") == "" {
		w.tracked.endsByClose.Store(true)
	}
}

// wasClosed reports whether the server closed the connection while it was idle.
func (s *Server) wasClosed(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[conn]
}

// close closes a connection on which no request is arriving, as far as is known. It must be
// called with the mutex held.
func (s *Server) close(conn net.Conn) {
	if c := tracked(conn); c != nil && !c.opaque.Load() {
		c.closeIfQuiet()
		return
	}
	s.closeNow(conn)
}

// closeNow closes a connection whatever arrives on it. It must be called with the mutex held.
func (s *Server) closeNow(conn net.Conn) {
	s.closed[conn] = true
	_ = conn.Close()
}

// closeIfIdle closes a connection whose idle timeout has expired, unless a
// request has started since.
func (s *Server) closeIfIdle(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.idle[conn]; ok {
		s.closeIdle(conn)
	}
}

// closeIdle closes an idle connection. If a request is arriving on it, the connection stays
// open for readHeaderTimeout at most, or newConnGrace in a shutdown, which a few stray bytes
// must not hold up. It must be called with the mutex held.
func (s *Server) closeIdle(conn net.Conn) {
	if timer := s.idle[conn]; timer != nil {
		timer.Stop()
	}
	if c := tracked(conn); c == nil || c.opaque.Load() {
		s.closeNow(conn)
		return
	}
	since, waiting := s.arriving[conn]
	switch {
	case !waiting:
		s.arriving[conn] = time.Now()
	case time.Since(since) > readHeaderTimeout, s.closesQuiet() && time.Since(since) > newConnGrace:
		s.closeNow(conn)
		return
	}
	s.close(conn)
	s.idle[conn] = time.AfterFunc(arrivingCheckInterval, func() { s.closeIfIdle(conn) })
}

// trackConnState records the state of a connection. It is the ConnState callback
// of the http.Server.
func (s *Server) trackConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateIdleTimer(conn, state)
	if c := tracked(conn); c != nil {
		c.setIdle(state == http.StateIdle)
		if state == http.StateHijacked {
			c.hijack()
		}
	}
	if state == http.StateNew || state == http.StateActive {
		s.busy[conn] = state
		return
	}
	delete(s.busy, conn)
	if state == http.StateClosed {
		delete(s.closed, conn)
	}
}

// updateIdleTimer starts the idle timer of a connection that becomes idle and
// stops it otherwise. The timeout is read each time, since the configuration may
// change it. It must be called with the mutex held.
func (s *Server) updateIdleTimer(conn net.Conn, state http.ConnState) {
	if timer := s.idle[conn]; timer != nil {
		timer.Stop()
	}
	delete(s.idle, conn)
	delete(s.arriving, conn)
	if state != http.StateIdle {
		return
	}
	s.idle[conn] = nil
	switch {
	case s.closesQuiet():
		s.idle[conn] = time.AfterFunc(idleLinger, func() { s.closeIfIdle(conn) })
	case s.config.Idle != nil:
		s.idle[conn] = time.AfterFunc(s.config.Idle(), func() { s.closeIfIdle(conn) })
	}
}

// CloseQuiet closes all idle connections on which no request is arriving.
func (s *Server) CloseQuiet() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idle {
		s.closeIdle(conn)
	}
}

// Arriving returns the number of connections that carry a request, on which one is arriving,
// or that were accepted so recently that their first one may be on its way.
func (s *Server) Arriving() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countArriving()
}

// countArriving is Arriving for callers that hold the mutex.
func (s *Server) countArriving() int {
	arriving := len(s.idle) // closed soon unless a request is arriving
	for conn, state := range s.busy {
		c := tracked(conn)
		if state == http.StateActive || c != nil && (c.hasReceived() || time.Since(c.acceptedAt) < newConnGrace) {
			arriving++
		}
	}
	return arriving
}

// Connections returns the number of open connections, with those that wait for their callers
// to take the answer and for what may cross the close.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle) + len(s.busy) + len(s.lingering())
}

// Close closes the listener, waits up to the timeout for the requests in flight and for
// callers to close their connections, and closes all connections.
func (s *Server) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.stop(ctx) {
		return
	}
	s.reportOpen()
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
}

// stop closes the listener and waits until no connection carries a request and the callers
// have taken their answers, up to lingerTimeout. Meanwhile, requests are served that arrive on
// connections that were accepted before. It returns false if ctx was done before.
func (s *Server) stop(ctx context.Context) bool {
	s.ending.Store(true)
	s.mu.Lock()
	server, listener, acceptEnded := s.server, s.activeListener, s.acceptEnded
	s.mu.Unlock()
	if server == nil || listener == nil {
		return true
	}
	awaitAcceptQueue(ctx, listener)
	_ = listener.Close()
	select {
	case <-acceptEnded:
	case <-ctx.Done():
	}
	s.CloseQuiet()
	for !s.closeIfDrained() {
		if !retry.Sleep(ctx, idlePollInterval) {
			return false
		}
	}
	// It is called last, since it drops requests that are read while it runs.
	if server.Shutdown(ctx) != nil {
		return false
	}
	s.awaitLingerers(ctx)
	return true
}

// awaitAcceptQueue waits until the server has accepted all connections that the kernel has
// established, up to acceptQueueTimeout: closing the listener resets the others.
func awaitAcceptQueue(ctx context.Context, listener net.Listener) {
	for deadline := time.Now().Add(acceptQueueTimeout); time.Now().Before(deadline); {
		if acceptQueueLength(listener) <= 0 || !retry.Sleep(ctx, acceptQueuePollInterval) {
			return
		}
	}
}

// closeIfDrained closes the connections on which nothing was received once no connection
// carries a request and none is expected, and returns whether all are closed.
func (s *Server) closeIfDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.countArriving() > 0 {
		return false
	}
	for conn := range s.busy {
		s.close(conn)
	}
	return len(s.busy) == 0
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

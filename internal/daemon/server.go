package daemon

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

// httpServer serves one address.
type httpServer struct {
	name string
	// listener is open before the first start and nil afterwards.
	listener net.Listener
	address  string
	handler  http.Handler
	tls      *certificate

	// draining is set once the server is to stop.
	draining atomic.Bool

	mu sync.Mutex
	// server runs; it is nil before the first start.
	server *http.Server
	// open is the listener that the server accepts from.
	open net.Listener
	// busy holds the connections that may carry a request.
	busy map[net.Conn]http.ConnState
}

// certificate names a certificate and its key.
type certificate struct {
	certificateFile, keyFile string
}

// String implements fmt.Stringer, which the supervisor uses in logs.
func (s *httpServer) String() string { return "http-" + s.name }

// Serve implements suture.Service.
func (s *httpServer) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.closing(s.handler),
		ConnState:         s.track,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
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
	return errors.Wrapf(err, "serve %s", s.name)
}

// drain makes each connection close after its next answer, so that callers do
// not send on one that is about to be closed.
func (s *httpServer) drain() { s.draining.Store(true) }

// closing adds to the answers of a draining server that the connection closes.
func (s *httpServer) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// track follows which connections may carry a request.
func (s *httpServer) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		s.busy[conn] = state
		return
	}
	delete(s.busy, conn)
}

// stopAccepting closes the listener for good and waits until no connection
// carries a request or ctx ends. http.Server.Shutdown comes last: it drops
// requests whose headers arrive while it runs.
func (s *httpServer) stopAccepting(ctx context.Context) {
	s.drain()
	s.mu.Lock()
	server, listener := s.server, s.open
	s.mu.Unlock()
	if server == nil || listener == nil {
		return
	}
	_ = listener.Close()
	quiet := time.Now().Add(newConnGrace)
	for s.mayCarryRequest(time.Now().Before(quiet)) && retry.Sleep(ctx, idlePollInterval) {
	}
	_ = server.Shutdown(ctx)
}

// mayCarryRequest reports whether a connection is active, or, where it counts
// new ones too, has not sent anything yet.
func (s *httpServer) mayCarryRequest(countNew bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.busy {
		if state == http.StateActive || countNew {
			return true
		}
	}
	return false
}

func (s *httpServer) serve(server *http.Server) error {
	listener, err := s.takeListener()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.open = listener
	s.busy = make(map[net.Conn]http.ConnState)
	s.mu.Unlock()
	if s.tls == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, s.tls.certificateFile, s.tls.keyFile)
}

// takeListener returns the open listener at the first start, and opens the
// same address again at a restart.
func (s *httpServer) takeListener() (net.Listener, error) {
	if listener := s.listener; listener != nil {
		s.address = listener.Addr().String()
		s.listener = nil
		return listener, nil
	}
	return net.Listen("tcp", s.address)
}

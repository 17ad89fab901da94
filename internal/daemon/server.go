package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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
)

// httpServer serves one address.
type httpServer struct {
	name string
	// listener is open before the first start and nil afterwards.
	listener net.Listener
	address  string
	handler  http.Handler
	tls      *certificate

	mu sync.Mutex
	// server runs; it is nil before the first start.
	server *http.Server
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
		Handler:           s.handler,
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
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve %s", s.name)
}

// stopAccepting closes the listener for good and waits until no request runs
// or ctx ends. Serve goes on until its own context ends, so that the
// supervisor does not open the address again.
func (s *httpServer) stopAccepting(ctx context.Context) {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server != nil {
		_ = server.Shutdown(ctx)
	}
}

func (s *httpServer) serve(server *http.Server) error {
	listener, err := s.takeListener()
	if err != nil {
		return err
	}
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

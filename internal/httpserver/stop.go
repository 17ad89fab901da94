package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"bilberryslip.example/bilberryslip/internal/retry"
)

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
	s.mu.Lock()
	server, listener := s.server, s.activeListener
	s.mu.Unlock()
	if server == nil || listener == nil {
		s.ending.Store(true)
		return true
	}
	s.StopListening(ctx)
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

// StopListening closes the listener once the connections that the kernel has established are
// accepted. Their requests are served.
func (s *Server) StopListening(ctx context.Context) {
	s.ending.Store(true)
	s.mu.Lock()
	listener, acceptEnded := s.activeListener, s.acceptEnded
	s.mu.Unlock()
	if listener == nil {
		return
	}
	awaitAcceptQueue(ctx, listener)
	_ = listener.Close()
	select {
	case <-acceptEnded:
	case <-ctx.Done():
	}
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

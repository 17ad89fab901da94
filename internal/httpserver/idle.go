package httpserver

import (
	"net"
	"net/http"
	"time"
)

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

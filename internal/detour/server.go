package detour

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

const (
	// maxRelayed bounds the connections that a host relays at the same time. Each takes
	// two descriptors and two buffers of relayBuffer bytes.
	maxRelayed  = 512
	relayBuffer = 8 << 10
)

// Endpoint is an endpoint that a connection may be relayed to.
type Endpoint struct {
	Address, Service string
}

// Reasons why connections are not relayed, in the log, metrics and responses.
const (
	reasonStopping  = "stopping"
	reasonLimit     = "limit"
	reasonUnknown   = "endpoint_unknown"
	reasonBackoff   = "endpoint_backoff"
	reasonEvacuated = "zone_emptied"
	reasonUnreached = "service_unreached"
	reasonDial      = "endpoint_not_reached"
)

// ErrBackoff is returned by ServerConfig.Resolve for an endpoint that wants no request from
// this host for a while.
var ErrBackoff = errors.New("the endpoint asked this host for a backoff")

// ErrEvacuated is returned by ServerConfig.Resolve for an endpoint in an evacuated zone.
var ErrEvacuated = errors.New("the endpoint's availability zone is evacuated")

// ServerConfig configures a Server.
type ServerConfig struct {
	// Resolve returns an endpoint that may get requests of this host. The error is
	// ErrBackoff, ErrEvacuated, or another one if there is no such endpoint.
	Resolve func(endpoint string, startedMillis int64) (Endpoint, error)
	// Paths are this host's own paths to the endpoints of services.
	Paths *reach.Monitor
	// Accepts reports whether further connections are relayed. Nil means always.
	Accepts func() bool
}

// Server relays connections of peers to endpoints. It implements http.Handler for Path and
// is safe for concurrent use.
type Server struct {
	config  ServerConfig
	metrics *serverMetrics

	mu       sync.Mutex
	relaying int
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server { return &Server{config: cfg, metrics: newServerMetrics()} }

// Collectors returns the server's metrics.
func (s *Server) Collectors() []prometheus.Collector { return s.metrics.collectors() }

// Relaying returns the number of connections that are relayed now.
func (s *Server) Relaying() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relaying
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != upgradeProtocol {
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	if reason := s.acquire(); reason != "" {
		s.refuse(w, r, http.StatusServiceUnavailable, reason, nil)
		return
	}
	defer s.release()
	id := r.Header.Get(headerEndpoint)
	started, _ := strconv.ParseInt(r.Header.Get(headerStarted), 10, 64)
	endpoint, err := s.config.Resolve(id, started)
	switch {
	case errors.Is(err, ErrBackoff):
		s.refuse(w, r, http.StatusServiceUnavailable, reasonBackoff, err)
		return
	case errors.Is(err, ErrEvacuated):
		s.refuse(w, r, http.StatusNotFound, reasonEvacuated, err)
		return
	case err != nil:
		s.refuse(w, r, http.StatusNotFound, reasonUnknown, err)
		return
	case s.config.Paths.State(endpoint.Service) != reach.Direct:
		s.refuse(w, r, http.StatusServiceUnavailable, reasonUnreached, nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), endpointDialTimeout)
	defer cancel()
	far, err := upstream.DialEndpoint(ctx, endpoint.Address)
	if err != nil {
		s.config.Paths.RecordFailure(r.Context(), endpoint.Service, nil)
		s.refuse(w, r, http.StatusBadGateway, reasonDial, err)
		return
	}
	if _, err := s.config.Resolve(id, started); errors.Is(err, ErrEvacuated) { // evacuated meanwhile
		_ = far.Close()
		s.refuse(w, r, http.StatusNotFound, reasonEvacuated, err)
		return
	}
	s.relay(w, r, endpoint, far)
}

// outlastSilence makes the connection of a peer last as long as that to the endpoint does.
func (s *Server) outlastSilence(near net.Conn) {
	tcp, ok := near.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = upstream.SetUnackedTimeout(raw, upstream.EndpointUnackedTimeout)
	}
	if err != nil {
		logrus.WithError(err).Warn("timeout of a relayed connection not set; it ends sooner if the peer is silent")
	}
}

// acquire counts a connection, or returns why there may be none.
func (s *Server) acquire() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.config.Accepts != nil && !s.config.Accepts():
		return reasonStopping
	case s.relaying >= maxRelayed:
		return reasonLimit
	}
	s.relaying++
	return ""
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relaying--
}

func (s *Server) log(r *http.Request) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{
		"request": r.Header.Get(headerRequest), "peer": r.Header.Get(headerFrom), "endpoint": r.Header.Get(headerEndpoint),
	})
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, err error) {
	s.metrics.relayed.WithLabelValues(reason).Inc()
	s.log(r).WithError(err).WithField("reason", reason).Info("connection not relayed")
	w.Header().Set(headerReason, reason)
	w.WriteHeader(status)
}

// relay switches the peer's connection to the endpoint's, and returns when both have ended.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, endpoint Endpoint, far net.Conn) {
	defer far.Close()
	near, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.refuse(w, r, http.StatusInternalServerError, "hijack", err)
		return
	}
	defer near.Close()
	s.outlastSilence(near)
	_, err = io.WriteString(near, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+upgradeProtocol+"\r\n\r\n")
	if err != nil {
		s.log(r).WithError(err).Info("peer closed its connection before anything was relayed")
		return
	}
	began := time.Now()
	p := &pipe{near: near, far: far, service: endpoint.Service, paths: s.config.Paths}
	sent, received, err := p.run(context.WithoutCancel(r.Context()))
	s.metrics.relayed.WithLabelValues("relayed").Inc()
	s.metrics.bytes.WithLabelValues("to_endpoint").Add(float64(sent))
	s.metrics.bytes.WithLabelValues("to_peer").Add(float64(received))
	s.log(r).WithError(err).WithFields(logrus.Fields{
		"service": endpoint.Service, "sent": sent, "received": received, "duration_ms": time.Since(began).Milliseconds(),
	}).Info("connection relayed")
}

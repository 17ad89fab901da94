package httpserver

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Log lines about connections are limited to these for each server. The counters have all.
const (
	logsPerSecond = 1
	logBurst      = 20
)

// The causes for which a received request has no answer.
const (
	// causeCallerGone: the caller closed the connection first, or it failed.
	causeCallerGone = "caller_gone"
	// causeSaidClose: an earlier answer said that the connection closes.
	causeSaidClose = "said_close"
	// causeAborted: the handler ended the connection.
	causeAborted = "aborted"
	// causeRunning: the server closed while the handler ran.
	causeRunning = "running"
	// causeNotHandled: no handler was called.
	causeNotHandled = "not_handled"
)

var (
	unansweredTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberryslip_http_unanswered_total",
		Help: "Connections that were closed although a received request had no whole answer, by server and cause.",
	}, []string{"server", "cause"})
	unreadSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bilberryslip_http_unread_seconds",
		Help:    "Time for which requests lay in the kernel before the process read them, by server.",
		Buckets: prometheus.ExponentialBuckets(0.004, 4, 7),
	}, []string{"server"})
	untakenTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberryslip_http_untaken_total",
		Help: "Closed connections whose callers had not taken the whole answer within the time for it, by server.",
	}, []string{"server"})
	openAtLimitTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberryslip_http_open_at_limit_total",
		Help: "Connections that were still open when a stopping server gave up waiting, by server.",
	}, []string{"server"})
)

// Collectors returns the metrics of all servers of the process.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{unansweredTotal, untakenTotal, openAtLimitTotal, unreadSeconds}
}

func newLogLimiter() *rate.Limiter { return rate.NewLimiter(logsPerSecond, logBurst) }

// reportUnanswered counts and logs a connection that closes although a received request has
// no whole answer.
func (c *trackedConn) reportUnanswered() {
	cause := c.unansweredCause()
	if cause == "" {
		return
	}
	unansweredTotal.WithLabelValues(c.server.config.Name, cause).Inc()
	if cause == causeCallerGone || !c.server.logs.Allow() {
		return
	}
	_, whole := c.received()
	c.server.logEntry().WithFields(logrus.Fields{
		"cause": cause, "requests_received": whole, "requests_answered": c.answered.Load(), "unread_bytes": c.unread(),
		"connection_age_ms": time.Since(c.acceptedAt).Milliseconds(), "caller": c.RemoteAddr().String(),
	}).Warn("connection closed without an answer to a received request")
}

// reportUntaken counts and logs a connection, once, if its caller has not taken the whole answer.
func (c *trackedConn) reportUntaken() {
	const finBytes = 1 // the end of the stream counts as one byte
	untaken := c.untaken() - finBytes
	if untaken <= 0 || c.untakenReported.Swap(true) {
		return
	}
	untakenTotal.WithLabelValues(c.server.config.Name).Inc()
	if !c.server.logs.Allow() {
		return
	}
	_, whole := c.received()
	c.server.logEntry().WithFields(logrus.Fields{
		"untaken_bytes": untaken, "requests_received": whole, "requests_answered": c.answered.Load(), "unread_bytes": c.unread(),
		"connection_age_ms": time.Since(c.acceptedAt).Milliseconds(), "caller": c.RemoteAddr().String(),
	}).Warn("caller has not taken the answer within the time for it")
}

// unansweredCause returns why a received request has no whole answer, or "" if each has one.
func (c *trackedConn) unansweredCause() string {
	_, whole := c.received()
	answered, ended, handled := c.answered.Load(), c.ended.Load(), c.handled.Load()
	switch {
	case whole <= answered:
		return ""
	case c.callerGone.Load():
		return causeCallerGone
	case handled > ended:
		return causeRunning
	case ended > answered:
		return causeAborted
	case c.saidClose.Load():
		return causeSaidClose
	case c.wrote.Load():
		return "" // net/http has refused the request itself, with 400 or the like
	}
	return causeNotHandled
}

// logEntry returns a log entry with the server's name and, if it is stopping, the time since
// it began to.
func (s *Server) logEntry() *logrus.Entry {
	entry := logrus.WithField("server", s.config.Name)
	if s.config.Shutdown == nil {
		return entry
	}
	if elapsed, stopping := s.config.Shutdown.Elapsed(); stopping {
		entry = entry.WithField("since_stop_ms", elapsed.Milliseconds())
	}
	return entry
}

// reportOpen counts and logs the connections that are still open when a stopping server
// gives up waiting for them.
func (s *Server) reportOpen() {
	s.mu.Lock()
	var unused, active int
	for conn, state := range s.busy {
		if c := tracked(conn); state != http.StateNew || c != nil && c.hasReceived() {
			active++
		} else {
			unused++
		}
	}
	idle := len(s.idle)
	s.mu.Unlock()
	openAtLimitTotal.WithLabelValues(s.config.Name).Add(float64(unused + active + idle))
	if active > 0 || idle > 0 {
		s.logEntry().WithFields(logrus.Fields{"active": active, "idle": idle, "unused": unused}).
			Warn("connections still open at the time limit of the stop")
	}
}

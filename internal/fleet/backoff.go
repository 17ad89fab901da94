package fleet

import (
	"time"

	"github.com/sirupsen/logrus"
)

// BackOff records that an endpoint asked this host to send no request for a time. It
// does not apply to another incarnation of the endpoint, nor shorten a backoff in
// progress.
func (r *Registry) BackOff(e Endpoint, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[e.ID]
	if !ok || !m.sameIncarnation(&e) {
		return
	}
	until := r.config.Clock().Add(wait)
	if until.Before(m.backoffUntil) {
		return
	}
	m.backoffUntil = until
	logrus.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "wait_ms": wait.Milliseconds()}).Info("endpoint asked for a backoff")
}

// InBackoff reports whether this host must send an endpoint no request now.
func (r *Registry) InBackoff(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	return ok && r.config.Clock().Before(m.backoffUntil)
}

// RemainingBackoff returns the time until the first of the endpoints that could serve
// the work may get requests from this host again; zero if one may now or there is
// none.
func (r *Registry) RemainingBackoff(work Work) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	shortest := time.Duration(0)
	for _, m := range r.members {
		if m.Service != work.Service || !r.usable(m, now) || r.config.Evacuated(m.Zone) || !m.holds(now, work.Model, work.Adapter) {
			continue
		}
		wait := max(m.backoffUntil.Sub(now), m.limitWait(now))
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

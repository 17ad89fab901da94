package daemon

import (
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

// readiness tracks whether the balancer should send requests to this host, and
// the reasons if not.
type readiness struct {
	mu sync.Mutex
	// failing maps the names of branches in backoff to the start of the backoff.
	failing map[string]time.Time
	// configured reports whether a configuration is in force, serving whether no shutdown
	// has begun.
	configured, serving func() bool
}

// readinessState is the readiness section of the state dump and the body of
// readiness responses.
type readinessState struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons"`
}

func newReadiness(configured, serving func() bool) *readiness {
	return &readiness{failing: make(map[string]time.Time), configured: configured, serving: serving}
}

// state returns whether the host is ready, and the reasons if not.
func (r *readiness) state() readinessState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reasons []string
	if !r.serving() {
		reasons = append(reasons, "leaving")
	}
	if !r.configured() {
		reasons = append(reasons, "no configuration yet, from the platform or a peer")
	}
	for name := range r.failing {
		reasons = append(reasons, "branch "+name+" keeps failing")
	}
	sort.Strings(reasons)
	return readinessState{Ready: len(reasons) == 0, Reasons: reasons}
}

// onEvent handles the supervisors' events. A branch in backoff makes the host
// not ready until it resumes.
func (r *readiness) onEvent(event suture.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := event.(type) {
	case suture.EventBackoff:
		r.failing[e.SupervisorName] = time.Now()
		logrus.WithField("branch", e.SupervisorName).Error("branch keeps failing; the host is not ready")
	case suture.EventResume:
		delete(r.failing, e.SupervisorName)
		logrus.WithField("branch", e.SupervisorName).Info("branch resumed")
	case suture.EventServicePanic:
		logrus.WithFields(logrus.Fields{"branch": e.SupervisorName, "service": e.ServiceName, "panic": e.PanicMsg}).Error("service panicked; restarting it")
	case suture.EventServiceTerminate:
		logrus.WithFields(logrus.Fields{"branch": e.SupervisorName, "service": e.ServiceName, "error": e.Err}).Warn("service failed; restarting it")
	case suture.EventStopTimeout:
		logrus.WithFields(logrus.Fields{"branch": e.SupervisorName, "service": e.ServiceName}).Warn("service did not stop in time")
	}
}

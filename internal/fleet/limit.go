package fleet

import "github.com/sirupsen/logrus"

// LimitStatement is what a response says of the limit of its endpoint: the requests
// that the endpoint takes from all hosts together.
type LimitStatement struct {
	// Known is set if the response says whether there is a limit.
	Known bool
	// Named is set if there is one, of PerSecond requests a second.
	Named     bool
	PerSecond float64
	// Invalid is a limit that can't be understood; empty for none. Known is not set
	// then.
	Invalid string
}

// RecordLimit records what a response says of the endpoint's limit.
func (a *Attempt) RecordLimit(statement LimitStatement) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	m := a.member
	if !statement.Known {
		if statement.Invalid != "" {
			logrus.WithFields(logrus.Fields{"endpoint": m.ID, "service": m.Service, "limit": statement.Invalid}).
				Warn("limit of an endpoint is not a number and is ignored; check the endpoint's version")
		}
		return
	}
	if m.limit == statement {
		return
	}
	if m.limit.Named || statement.Named {
		logrus.WithFields(logrus.Fields{
			"endpoint": m.ID, "service": m.Service, "named": statement.Named, "per_second": statement.PerSecond, "before": m.limit.PerSecond,
		}).Info("endpoint changed its limit")
	}
	m.limit = statement
}

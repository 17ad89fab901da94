// Package supervise builds the supervisor tree that restarts the services of a
// daemon.
package supervise

import (
	"time"

	"github.com/thejerf/suture/v4"
)

// Restart policy of the root and of every branch of the supervisor tree; see
// suture.Spec.
const (
	// failureThreshold is the number of failures, after decay, above which a
	// supervisor backs off.
	failureThreshold = 5
	// failureDecaySeconds is the half-life of the failure count.
	failureDecaySeconds = 30
	// failureBackoff is the pause of a supervisor that backs off.
	failureBackoff = 2 * time.Second
	// serviceStopTimeout is how long a service may take to stop before it is
	// reported as hanging.
	serviceStopTimeout = 3 * time.Second
)

// Branch is a group of services under a supervisor of their own, so that their
// restarts and backoff do not affect other branches.
type Branch struct {
	Name     string
	Services []suture.Service
}

// NewTree returns the root supervisor with one supervisor for each branch.
// onEvent is called for the events of all of them.
func NewTree(name string, branches []Branch, onEvent suture.EventHook) *suture.Supervisor {
	spec := suture.Spec{
		EventHook:         onEvent,
		FailureThreshold:  failureThreshold,
		FailureDecay:      failureDecaySeconds,
		FailureBackoff:    failureBackoff,
		Timeout:           serviceStopTimeout,
		PassThroughPanics: false,
	}
	root := suture.New(name, spec)
	for _, b := range branches {
		supervisor := suture.New(b.Name, spec)
		for _, service := range b.Services {
			supervisor.Add(service)
		}
		root.Add(supervisor)
	}
	return root
}

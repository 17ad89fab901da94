// Package supervise builds the supervisor tree of a daemon.
package supervise

import (
	"time"

	"github.com/thejerf/suture/v4"
)

// Restart policy of every branch of the supervisor tree.
const (
	failureThreshold = 5
	// failureDecaySeconds is the half-life of the failure count.
	failureDecaySeconds = 30
	failureBackoff      = 2 * time.Second
	serviceStopTimeout  = 3 * time.Second
)

// Branch is one restartable part of a daemon.
type Branch struct {
	Name     string
	Services []suture.Service
}

// NewTree returns the root supervisor with one supervisor for each branch.
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

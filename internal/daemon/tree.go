package daemon

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

// branch is one restartable part of the daemon.
type branch struct {
	name     string
	services []suture.Service
}

// newTree returns the root supervisor with one supervisor for each branch.
func newTree(branches []branch, onEvent suture.EventHook) *suture.Supervisor {
	spec := suture.Spec{
		EventHook:         onEvent,
		FailureThreshold:  failureThreshold,
		FailureDecay:      failureDecaySeconds,
		FailureBackoff:    failureBackoff,
		Timeout:           serviceStopTimeout,
		PassThroughPanics: false,
	}
	root := suture.New("bilberryslipd", spec)
	for _, b := range branches {
		supervisor := suture.New(b.name, spec)
		for _, service := range b.services {
			supervisor.Add(service)
		}
		root.Add(supervisor)
	}
	return root
}

// Package invariant checks invariants at run time, also in production. A
// violation is counted and logged. After SetFatal(true), as in tests, it also
// ends the process.
package invariant

import (
	"os"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// ExitCode is the exit code of the process after a fatal violation.
const ExitCode = 70

// Name identifies an invariant in logs and metrics.
type Name string

// The invariants that are checked.
const (
	// MemoryWithinLimit: the models and adapters of an endpoint fit its memory.
	MemoryWithinLimit Name = "memory_within_limit"
	// OrganisationIsolated: a request is sent to an endpoint only if its
	// organisation may use the model or service.
	OrganisationIsolated Name = "organisation_isolated"
	// KeyHidden: a caller's API key is not sent to an endpoint.
	KeyHidden Name = "key_hidden"
	// RateWithinShare: an organisation's use stays within this host's share of
	// its rate.
	RateWithinShare Name = "rate_within_share"
	// AnswerMatchesAttempt: a caller gets consecutive events of the attempt.
	AnswerMatchesAttempt Name = "answer_matches_attempt"
	// NotRunIsTrue: a request that is reported to the caller as not run was not
	// sent.
	NotRunIsTrue Name = "not_run_is_true"
	// AtMostOnce: a request that must not be repeated is sent at most once.
	AtMostOnce Name = "at_most_once"
	// NoWorkToDraining: new requests are not sent to draining endpoints.
	NoWorkToDraining Name = "no_work_to_leaving"
	// ShutdownCutsNothing: no request is cut off before the shutdown limit.
	ShutdownCutsNothing Name = "shutdown_cuts_nothing"
	// RevisionMonotonic: the configuration revision never decreases, and no
	// revision has two different changes.
	RevisionMonotonic Name = "revision_monotonic"
)

var (
	fatal      atomic.Bool
	violations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberryslip_invariant_violations_total",
		Help: "Violations of invariants asserted in the program, by invariant.",
	}, []string{"invariant"})
)

// SetFatal sets whether a violation ends the process with ExitCode.
func SetFatal(on bool) { fatal.Store(on) }

// Collector returns the violations metric for registration.
func Collector() prometheus.Collector { return violations }

// Assert counts and logs a violation of the invariant if ok is false, and returns
// ok. The fields identify the request, attempt or object concerned and must not
// contain the secret of a key.
func Assert(ok bool, name Name, fields logrus.Fields) bool {
	if ok {
		return true
	}
	violations.WithLabelValues(string(name)).Inc()
	logrus.WithFields(fields).WithField("invariant", string(name)).Error("invariant violated")
	if fatal.Load() {
		os.Exit(ExitCode)
	}
	return false
}

// Package invariant asserts, in the shipped program, what must always hold. A
// violation is counted and logged; where it is made fatal, as in tests, it
// also ends the process.
package invariant

import (
	"os"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// ExitCode is the process's exit code after a fatal violation.
const ExitCode = 70

// Name identifies an invariant in logs and metrics.
type Name string

// The invariants that the program asserts.
const (
	MemoryWithinLimit    Name = "memory_within_limit"
	OrganisationIsolated Name = "organisation_isolated"
	KeyHidden            Name = "key_hidden"
	RateWithinShare      Name = "rate_within_share"
	AnswerMatchesAttempt Name = "answer_matches_attempt"
	NotRunIsTrue         Name = "not_run_is_true"
	AtMostOnce           Name = "at_most_once"
	NoWorkToLeaving      Name = "no_work_to_leaving"
	ShutdownCutsNothing  Name = "shutdown_cuts_nothing"
	RevisionMonotonic    Name = "revision_monotonic"
)

var (
	fatal      atomic.Bool
	violations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberryslip_invariant_violations_total",
		Help: "Violations of invariants asserted in the program, by invariant.",
	}, []string{"invariant"})
)

// SetFatal makes violations end the process with ExitCode.
func SetFatal(on bool) { fatal.Store(on) }

// Collector returns the violations metric, for registration.
func Collector() prometheus.Collector { return violations }

// Assert reports a violation of the invariant unless ok. The fields identify
// the request, attempt or object concerned, and never hold a key's secret.
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

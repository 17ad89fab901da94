//go:build soak

package soak_test

import (
	"regexp"
	"sort"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// markerPattern matches the marker of a request in its body.
var markerPattern = regexp.MustCompile(`soak-\d+-`)

// recover waits until every host serves every extra model, and records how long it
// took. A model that is not served within recoveryLimit is a violation.
func (s *soak) recover() {
	start := time.Now()
	for _, host := range s.hosts {
		for model := range extraModels {
			if !s.awaitModel(host, modelName(model), start) {
				s.report.violation("recovery", "%s does not serve %s after %v", host.Name, modelName(model), time.Since(start))
			}
		}
	}
	s.report.RecoverMS = time.Since(start).Milliseconds()
}

// awaitModel reports whether the host serves the model before recoveryLimit has
// passed since start.
func (s *soak) awaitModel(host *cluster.Host, model string, start time.Time) bool {
	request := cluster.CompletionRequest{Model: model, Prompt: "recovered?", MaxTokens: 1}
	for time.Since(start) < recoveryLimit {
		if response := s.callers[cluster.OrganisationA].Complete(host, request); response.OK() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// check looks for violations in the journals, engine states and logs.
func (s *soak) check() {
	s.checkRuns()
	s.checkMemory()
	s.checkRate()
	s.checkLogs()
}

// checkRuns checks that certificate calls ran at most once and that requests refused
// as not run did not run.
func (s *soak) checkRuns() {
	runs := make(map[string]int)
	for _, entry := range append(s.cluster.Journal(), s.stoppedJournals...) {
		if entry.Outcome != control.OutcomeRefused {
			runs[markerPattern.FindString(entry.Body)]++
		}
	}
	for _, marker := range s.certificateMarkers {
		if runs[marker] > 1 {
			s.report.violation("at most once", "%s ran %d times", marker, runs[marker])
		}
	}
	for marker, body := range s.notRun {
		if runs[marker] > 0 {
			s.report.violation("not run", "%s ran %d times: %s", marker, runs[marker], body)
		}
	}
}

func (s *soak) checkMemory() {
	for _, engine := range s.cluster.Engines {
		s.checkEngine(engine)
	}
}

func (s *soak) checkEngine(engine *cluster.Engine) {
	if memory := engine.State().Memory; memory.Overcommits > 0 {
		s.report.violation("memory", "%s: %+v", engine.Name, memory)
	}
}

// checkRate checks the limited organisation's rate over every window that begins
// when a request was sent and ends when one was completed. Only requests that were
// sent and completed within the window count, because their tokens were certainly
// granted in it.
func (s *soak) checkRate() {
	sort.Slice(s.limitedRequests, func(i, j int) bool { return s.limitedRequests[i].ended.Before(s.limitedRequests[j].ended) })
	for _, granted := range s.limitedRequests {
		s.report.LimitedTokens += granted.tokens
	}
	for _, from := range s.limitedRequests {
		tokens := 0
		for _, granted := range s.limitedRequests {
			if granted.sent.Before(from.sent) {
				continue
			}
			tokens += granted.tokens
			window := granted.ended.Sub(from.sent)
			if bound := limitedBurst + limitedRate*window.Seconds(); float64(tokens) > bound {
				s.report.violation("rate", "%d tokens in %v, allowed %.1f", tokens, window, bound)
				return
			}
		}
	}
}

// checkLogs checks that no process logged an invariant violation, a panic or a key.
func (s *soak) checkLogs() {
	logs, err := s.cluster.AllLogs()
	if err != nil {
		AbortSuite(err.Error())
	}
	for line := range strings.Lines(logs) {
		if strings.Contains(line, "invariant violated") || strings.HasPrefix(line, "panic:") {
			s.report.violation("invariant", "%s", strings.TrimSpace(line))
		}
		for _, caller := range s.callers {
			if strings.Contains(line, caller.Key) {
				s.report.violation("key", "a key is in the logs")
			}
		}
	}
}

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

// markerPattern finds a request's marker in a body.
var markerPattern = regexp.MustCompile(`soak-\d+-`)

// recover waits until every host serves every model.
func (s *soak) recover() {
	began := time.Now()
	for _, host := range s.hosts {
		for model := range extraModels {
			if !s.awaitModel(host, modelName(model), began) {
				s.report.violation("recovery", "%s does not serve %s after %v", host.Name, modelName(model), time.Since(began))
			}
		}
	}
	s.report.RecoverMS = time.Since(began).Milliseconds()
}

func (s *soak) awaitModel(host *cluster.Host, model string, began time.Time) bool {
	request := cluster.CompletionRequest{Model: model, Prompt: "recovered?", MaxTokens: 1}
	for time.Since(began) < recoveryBound {
		if answer := s.callers[cluster.OrganisationA].Complete(host, request); answer.OK() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// check looks for violations in the journals and logs.
func (s *soak) check() {
	s.checkRuns()
	s.checkMemory()
	s.checkRate()
	s.checkLogs()
}

func (s *soak) checkRuns() {
	runs := make(map[string]int)
	for _, entry := range append(s.cluster.Journal(), s.ended...) {
		if entry.Outcome != control.OutcomeRefused {
			runs[markerPattern.FindString(entry.Body)]++
		}
	}
	for _, marker := range s.calls {
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

// checkRate looks at every window that begins with one request and ends with
// another. A request is counted only where it was sent and ended within the
// window, so that its tokens were granted in it.
func (s *soak) checkRate() {
	sort.Slice(s.grants, func(i, j int) bool { return s.grants[i].ended.Before(s.grants[j].ended) })
	for _, granted := range s.grants {
		s.report.LimitedTokens += granted.tokens
	}
	for _, from := range s.grants {
		tokens := 0
		for _, granted := range s.grants {
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

package ratelimit

import (
	"slices"
	"time"
)

// unlistedAfter is how long the platform's host list must have omitted a host
// before its units may be reclaimed without its reclaimers. It covers the lag of
// the list, which may omit a new host.
const unlistedAfter = 5 * time.Second

// absence is the period in which all host lists that were read omit a host.
type absence struct{ since, until time.Time }

// ObserveHostList records the platform's host list, which was requested at
// readAt. A list that omits this host itself is older than this process and is
// ignored.
func (s *ShareLease) ObserveHostList(names []string, readAt time.Time) {
	if !slices.Contains(names, s.self.Name) {
		return
	}
	absences := make(map[string]absence)
	for i := range s.ledger.Entries {
		host := s.ledger.Entries[i].Host
		if slices.Contains(names, host) {
			continue
		}
		a, ok := s.absences[host]
		if !ok {
			a.since = readAt
		}
		a.until = latest(a.until, readAt)
		absences[host] = a
	}
	s.absences = absences
}

// unlisted reports whether the platform's host list has omitted the host for so
// long that the host was removed.
func (s *ShareLease) unlisted(host string) bool {
	a, ok := s.absences[host]
	return ok && a.until.Sub(a.since) >= unlistedAfter
}

package edge

import (
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/exchange"
)

// Guards against too many or too few watchers: roles that ignore the rank, a fallback that
// never comes, and changed roles in small fleets.
func TestRole(t *testing.T) {
	const interval = 700 * time.Millisecond
	for name, c := range map[string]struct {
		in   roleInput
		want watcherRole
	}{
		"small, one known":                 {roleInput{watchers: 1, rank: 20}, fullWatcher},
		"small, two known":                 {roleInput{watchers: 2, rank: 20}, nonWatcher},
		"small, starting":                  {roleInput{joining: true}, fullWatcher},
		"first":                            {roleInput{large: true}, fullWatcher},
		"first, starting":                  {roleInput{large: true, joining: true}, nonWatcher},
		"second":                           {roleInput{large: true, rank: 1, watchers: 1, zoneHosts: 20}, standbyWatcher},
		"second, followed":                 {roleInput{large: true, rank: 1, watchers: 1, zoneHosts: 20, followed: true}, fullWatcher},
		"second of a large zone":           {roleInput{large: true, rank: 1, watchers: 1, zoneHosts: 60}, fullWatcher},
		"third, none for a short time":     {roleInput{large: true, rank: 2, missing: time.Second, interval: interval}, nonWatcher},
		"third, none for long":             {roleInput{large: true, rank: 2, missing: 3 * time.Second, interval: interval}, fullWatcher},
		"third, one missing for long":      {roleInput{large: true, rank: 2, watchers: 1, missing: 3 * time.Second, interval: interval}, standbyWatcher},
		"fourth, none for as long":         {roleInput{large: true, rank: 3, missing: 3 * time.Second, interval: interval}, nonWatcher},
		"last, none for very long":         {roleInput{large: true, rank: 90, missing: 121 * time.Second, interval: interval}, fullWatcher},
		"first, although others are known": {roleInput{large: true, watchers: 2}, nonWatcher},
	} {
		if got := decideRole(c.in); got != c.want {
			t.Errorf("%s: role %d, want %d", name, got, c.want)
		}
	}
}

// Guards against followers of a watcher that lost the store while others have not, and
// against hosts without a source when all have.
func TestSource(t *testing.T) {
	near, far := sourceCandidate{"n1", true, true}, sourceCandidate{"f1", false, true}
	second, lost := sourceCandidate{"n2", true, true}, sourceCandidate{"n0", true, false}
	for name, c := range map[string]struct {
		candidates []sourceCandidate
		zoneHosts  int
		want       string
	}{
		"the first connected one of the zone": {[]sourceCandidate{second, far, lost, near}, 20, "n1"},
		"either of a large zone":              {[]sourceCandidate{second, near}, 60, "n2"},
		"another zone's":                      {[]sourceCandidate{lost, far}, 20, "f1"},
		"one that probes the store":           {[]sourceCandidate{lost, {"f2", false, false}}, 20, "n0"},
		"none":                                {[]sourceCandidate{{"f2", false, false}}, 20, ""},
	} {
		if got := chooseSource(c.candidates, c.zoneHosts, 1); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Guards against hosts that all compete for the lease because they know no peer yet.
func TestLeaseYieldBeforeTheFirstReport(t *testing.T) {
	listed := make([]string, 30)
	for i := range listed {
		listed[i] = string(rune('a' + i))
	}
	unheard := exchange.Reachability{Unreachable: listed}
	if got := leaseYield("zz", unheard, true, 3*time.Second); got != 6*time.Second {
		t.Errorf("yields %v, want 6 s", got)
	}
	if got := leaseYield("zz", unheard, false, 3*time.Second); got != 0 {
		t.Errorf("a host that reaches no peer yields %v", got)
	}
}

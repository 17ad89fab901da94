package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a request is held back, and a
	// segment if it explains more of them than any other suspect.
	minCrashes = 3
	// minAmbiguousCrashes is that number for segments that explain equally many
	// crashes, all of which are held back then. Those that explain
	// minExclusiveCrashes that none of the others does are not ambiguous.
	minAmbiguousCrashes, minExclusiveCrashes = 5, 2
	// Crashes of massLoss endpoints and more, each within massLossGap of the one
	// before, count as one: they have another common cause, such as a lost rack.
	massLoss    = 3
	massLossGap = 50 * time.Millisecond
)

// suspicion is a crash with what may have caused it.
type suspicion struct {
	at       time.Time
	suspects []Suspect
}

// attribute returns the suspects to blame for the crashes, each with the times of
// those that it explains, in order.
func attribute(crashes []suspicion) map[Suspect][]time.Time {
	crashes = slices.SortedFunc(slices.Values(crashes), func(a, b suspicion) int { return a.at.Compare(b.at) })
	blamed := blameRequests(crashes)
	maps.Copy(blamed, blameSegments(mergeMassLosses(crashes)))
	return blamed
}

// blameRequests returns the requests that were in flight at minCrashes crashes and more.
// A sound one among them is rare, and a hold affects its repeats alone. A mass loss
// counts in full: a request is at one endpoint at a time, unless it is frequent, in
// which case it has survived before.
func blameRequests(crashes []suspicion) map[Suspect][]time.Time {
	blamed := make(map[Suspect][]time.Time)
	for _, c := range crashes {
		for _, s := range c.suspects {
			if s.Kind == KindRequest {
				blamed[s] = append(blamed[s], c.at)
			}
		}
	}
	maps.DeleteFunc(blamed, func(_ Suspect, times []time.Time) bool { return len(times) < minCrashes })
	return blamed
}

// blameSegments returns the segments that explain the crashes. Suspects are chosen
// greedily: the one that explains most of the crashes that no chosen one explains comes
// first. A segment that is merely in flight beside a bad one at each crash is thus not
// chosen. Nor is one that explains no more than a request with it.
func blameSegments(crashes []suspicion) map[Suspect][]time.Time {
	blamed := make(map[Suspect][]time.Time)
	for {
		best := mostCrashes(crashes)
		if len(best) == 0 || len(best[0].crashes) < minCrashes {
			return blamed
		}
		chosen := requestsOf(best)
		if len(chosen) == 0 {
			chosen = distinctExplanations(best)
			unambiguous := len(chosen) > 0
			if !unambiguous {
				chosen = best
			}
			if unambiguous || len(best[0].crashes) >= minAmbiguousCrashes {
				for _, e := range chosen {
					for _, i := range e.crashes {
						blamed[e.suspect] = append(blamed[e.suspect], crashes[i].at)
					}
				}
			}
		}
		crashes = unexplained(crashes, chosen)
	}
}

// explanation is a suspect with the indices of the crashes that it explains.
type explanation struct {
	suspect Suspect
	crashes []int
}

// requestsOf returns the explanations that are requests.
func requestsOf(all []explanation) []explanation {
	var requests []explanation
	for _, e := range all {
		if e.suspect.Kind == KindRequest {
			requests = append(requests, e)
		}
	}
	return requests
}

// mostCrashes returns the suspects that explain most crashes.
func mostCrashes(crashes []suspicion) []explanation {
	explains := make(map[Suspect][]int)
	most := 0
	for i, c := range crashes {
		for _, s := range c.suspects {
			explains[s] = append(explains[s], i)
			most = max(most, len(explains[s]))
		}
	}
	var best []explanation
	for s, indices := range explains {
		if len(indices) == most {
			best = append(best, explanation{s, indices})
		}
	}
	return best
}

// distinctExplanations returns those that explain some crashes which none of the
// others does.
func distinctExplanations(all []explanation) []explanation {
	count := make(map[int]int)
	for _, e := range all {
		for _, i := range e.crashes {
			count[i]++
		}
	}
	var distinct []explanation
	for _, e := range all {
		exclusive := 0
		for _, i := range e.crashes {
			if count[i] == 1 {
				exclusive++
			}
		}
		if exclusive >= minExclusiveCrashes {
			distinct = append(distinct, e)
		}
	}
	return distinct
}

// unexplained returns the crashes that none of the explanations covers.
func unexplained(crashes []suspicion, explanations []explanation) []suspicion {
	explained := make(map[int]bool)
	for _, e := range explanations {
		for _, i := range e.crashes {
			explained[i] = true
		}
	}
	var rest []suspicion
	for i, c := range crashes {
		if !explained[i] {
			rest = append(rest, c)
		}
	}
	return rest
}

// mergeMassLosses returns the crashes, which must be in order of time, with those of
// each mass loss merged into one.
func mergeMassLosses(sorted []suspicion) []suspicion {
	var merged []suspicion
	for start := 0; start < len(sorted); {
		end := start + 1
		for end < len(sorted) && sorted[end].at.Sub(sorted[end-1].at) <= massLossGap {
			end++
		}
		group := sorted[start:end]
		if len(group) >= massLoss {
			group = []suspicion{{at: group[0].at, suspects: unionOfSuspects(group)}}
		}
		merged = append(merged, group...)
		start = end
	}
	return merged
}

func unionOfSuspects(crashes []suspicion) []Suspect {
	union := make(map[Suspect]bool)
	for _, c := range crashes {
		for _, s := range c.suspects {
			union[s] = true
		}
	}
	return slices.Collect(maps.Keys(union))
}

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a segment is held back if it
	// explains more of them than any other segment.
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

// suspicion is a crash with the segments that may have caused it.
type suspicion struct {
	at       time.Time
	suspects []Segment
}

// attribute returns the segments that explain the crashes, each with the times of
// those that it explains, in order. Segments are chosen greedily: the one that
// explains most of the crashes that no chosen segment explains comes first. A segment
// that is merely in flight beside a bad one at each crash is thus not chosen.
func attribute(crashes []suspicion) map[Segment][]time.Time {
	crashes = mergeMassLosses(crashes)
	blamed := make(map[Segment][]time.Time)
	for {
		best := mostCrashes(crashes)
		if len(best) == 0 || len(best[0].crashes) < minCrashes {
			return blamed
		}
		chosen := distinctExplanations(best)
		unambiguous := len(chosen) > 0
		if !unambiguous {
			chosen = best
		}
		if unambiguous || len(best[0].crashes) >= minAmbiguousCrashes {
			for _, e := range chosen {
				for _, i := range e.crashes {
					blamed[e.segment] = append(blamed[e.segment], crashes[i].at)
				}
			}
		}
		crashes = unexplained(crashes, chosen)
	}
}

// explanation is a segment with the indices of the crashes that it explains.
type explanation struct {
	segment Segment
	crashes []int
}

// mostCrashes returns the segments that explain most crashes.
func mostCrashes(crashes []suspicion) []explanation {
	explains := make(map[Segment][]int)
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

// unexplained returns the crashes that none of the segments explains.
func unexplained(crashes []suspicion, segments []explanation) []suspicion {
	explained := make(map[int]bool)
	for _, e := range segments {
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

// mergeMassLosses returns the crashes in order of time, with those of each mass loss
// merged into one.
func mergeMassLosses(crashes []suspicion) []suspicion {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b suspicion) int { return a.at.Compare(b.at) })
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

func unionOfSuspects(crashes []suspicion) []Segment {
	var union []Segment
	for _, c := range crashes {
		union = append(union, c.suspects...)
	}
	slices.SortFunc(union, cmp.Compare)
	return slices.Compact(union)
}

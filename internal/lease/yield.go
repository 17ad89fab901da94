package lease

import "time"

const (
	// yieldFleetSize is the number of candidates from which only some compete for a lease.
	yieldFleetSize = 24
	// firstCandidates is how many candidates compete at once, and how many more after each
	// further half of the lease's duration without a holder.
	firstCandidates = 3
	// maxYieldDurations limits the time that a candidate yields, in durations of the lease.
	maxYieldDurations = 2
)

// YieldTime returns how long a candidate lets others go first; see Config.Yield. rank is
// the number of reachable candidates that come before it, candidates the number of all, and
// duration that of the lease. Without a rank each of many candidates would read a free
// lease, and all but one of them would fail to write it.
func YieldTime(rank, candidates int, duration time.Duration) time.Duration {
	if candidates < yieldFleetSize {
		return 0
	}
	return min(time.Duration(rank/firstCandidates)*duration/2, maxYieldDurations*duration)
}

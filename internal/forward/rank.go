package forward

import "time"

// maxRank is the last of the engines' ranks, 0 to 9; engines default to 5.
const maxRank = 9

// rank returns the scheduling rank of the request in an engine. It orders
// requests by their organisation's priority, then by their route's priority, then
// by whether the route's objective is short.
func (x *inflightCall) rank() int {
	const (
		ranksPerPriority = 3
		// Objectives above relaxedObjective rank behind others of their priority.
		relaxedObjective = 2 * time.Second
	)
	rank := x.route.Priority
	if x.route.LatencyObjective > relaxedObjective {
		rank++
	}
	if x.organisation != nil && x.organisation.Priority != nil {
		rank = ranksPerPriority**x.organisation.Priority + min(rank, ranksPerPriority-1)
	}
	return min(rank, maxRank)
}

package decisions

import (
	"sort"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// Merge combines records from several hosts and the platform. It returns at
// most the request's limit, newest first, without duplicate identifiers.
func Merge(req *apiv1.DecisionsRequest, batches ...[]*apiv1.Decision) []*apiv1.Decision {
	found := make(map[string]*apiv1.Decision)
	for _, batch := range batches {
		for _, decision := range batch {
			found[decision.Id] = decision
		}
	}
	return newestFirst(found, queryLimit(req))
}

func newestFirst(found map[string]*apiv1.Decision, limit int) []*apiv1.Decision {
	decisions := make([]*apiv1.Decision, 0, len(found))
	for _, decision := range found {
		decisions = append(decisions, decision)
	}
	sort.Slice(decisions, func(i, j int) bool { return decisions[i].Id > decisions[j].Id })
	if len(decisions) > limit {
		decisions = decisions[:limit]
	}
	return decisions
}

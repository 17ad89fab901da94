package endpointlimit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// weightStep is the factor between the weights by which slots are divided. It is
	// coarse, so that small changes of the demand, of which the hosts learn at different
	// times, don't move slots between them.
	weightStep = 4
	// maxWeightSteps bounds a host's weight relative to one with the average demand. A host
	// without demand has the lowest weight.
	maxWeightSteps = 2
)

// HostDemand is the demand of a host.
type HostDemand struct {
	Host string
	// PerSecond is in requests per second. It is negative if it isn't known; the host then
	// counts as having the average demand.
	PerSecond float64
}

// DivideSlots divides the slots of an endpoint among hosts, in whole numbers that add up
// to slots if all hosts know the same. It returns the part of self, which must be one of
// the hosts.
func DivideSlots(endpoint string, slots int, self string, hosts []HostDemand) int {
	type weighted struct {
		host   string
		weight float64
		hash   uint64
	}
	mean := meanDemand(hosts)
	list := make([]weighted, 0, len(hosts))
	total := 0.0
	for _, h := range hosts {
		weight := weightOf(h.PerSecond, mean)
		total += weight
		list = append(list, weighted{h.Host, weight, hashOf(endpoint, h.Host)})
	}
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(a.hash, b.hash) })
	// The offset spreads what rounding favours over the hosts.
	before := float64(xxhash.Sum64String(endpoint)%1024) / 1024
	for _, h := range list {
		after := before + float64(slots)*h.weight/total
		if h.host == self {
			return int(after) - int(before)
		}
		before = after
	}
	return 0
}

func meanDemand(hosts []HostDemand) float64 {
	sum, known := 0.0, 0
	for _, h := range hosts {
		if h.PerSecond >= 0 {
			sum += h.PerSecond
			known++
		}
	}
	return sum / float64(max(known, 1))
}

// weightOf returns a power of weightStep, 1 for about the average demand.
func weightOf(perSecond, mean float64) float64 {
	if perSecond < 0 || mean == 0 {
		return 1
	}
	steps := math.Round(math.Log(perSecond/mean) / math.Log(weightStep)) // -Inf without demand
	return math.Pow(weightStep, min(max(steps, -maxWeightSteps), maxWeightSteps))
}

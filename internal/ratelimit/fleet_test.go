package ratelimit

import (
	"math"
	"sort"
	"time"
)

// fleetAccount records, independently of the code under test, what an
// organisation was granted and used over all hosts together.
type fleetAccount struct {
	// ideal is a single bucket with the total rate and burst, charged with all
	// grants of the hosts.
	ideal Bucket
	used  []usage
	// limits are the policies that applied over time, in ascending order.
	limits []limit
	// within counts the requests for which ideal had enough tokens on arrival,
	// wrongful those of them that were refused although ideal still had enough.
	within, wrongful, granted, refused int
}

type usage struct {
	at     time.Time
	tokens float64
}

type limit struct {
	from time.Time
	Policy
}

func newFleetAccount(policy Policy, now time.Time) *fleetAccount {
	f := &fleetAccount{limits: []limit{{now, policy}}}
	f.ideal.SetLimits(now, policy.Rate, policy.Burst)
	return f
}

// grant charges the ideal bucket, whether or not it has enough tokens.
func (f *fleetAccount) grant(now time.Time, tokens float64) *Grant {
	f.ideal.Advance(now)
	level := f.ideal.level
	f.ideal.level = tokens
	grant, _ := f.ideal.Take(now, tokens)
	f.ideal.level = level - tokens
	return grant
}

func (f *fleetAccount) has(now time.Time, tokens float64) bool {
	f.ideal.Advance(now)
	return f.ideal.level >= tokens
}

// limitAt returns the policy in force at a time.
func (f *fleetAccount) limitAt(at time.Time) Policy {
	var policy Policy
	for _, l := range f.limits {
		if !l.from.After(at) {
			policy = l.Policy
		}
	}
	return policy
}

// allowance returns the integral of the rate from the first limit up to the
// given time, in tokens.
func (f *fleetAccount) allowance(at time.Time) float64 {
	total := 0.0
	for i, l := range f.limits {
		end := at
		if i+1 < len(f.limits) && f.limits[i+1].from.Before(at) {
			end = f.limits[i+1].from
		}
		total += l.Rate * max(0, end.Sub(l.from).Seconds())
	}
	return total
}

// overshoot returns the largest excess, over all time windows, of the tokens
// used over burst plus rate times the window. It is negative if every window was
// below its limit. The running minimum covers all windows in one pass.
func (f *fleetAccount) overshoot() float64 {
	sort.SliceStable(f.used, func(i, j int) bool { return f.used[i].at.Before(f.used[j].at) })
	worst, lowest, sum := math.Inf(-1), math.Inf(1), 0.0
	for _, one := range f.used {
		allowed := f.allowance(one.at)
		lowest = min(lowest, sum-allowed+f.limitAt(one.at).Burst)
		sum += one.tokens
		worst = max(worst, sum-allowed-lowest)
	}
	return worst
}

package ratelimit

import (
	"math"
	"sort"
	"time"
)

// fleetAccount counts, outside the program, what an organisation was granted
// over all hosts together.
type fleetAccount struct {
	// ideal is a single bucket with the whole rate and burst, charged with
	// what the hosts grant.
	ideal Bucket
	used  []usage
	// limits are the policies in force, by time.
	limits []limit
	// within counts the requests for which ideal had tokens, wrongful those of
	// them that were refused.
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

// grant charges the ideal bucket, whether or not it has the tokens.
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

// allowance is the integral of the rate from the first limit up to a time.
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

// overshoot is the most by which, in any window, more was granted than burst
// plus rate times the window, in tokens; negative where there was room. The
// running minimum takes in every window at once.
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

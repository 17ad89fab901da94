package exchange

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

var _ = Describe("The time at which a peer made a report", func() {
	const interval, delay = 200 * time.Millisecond, 3 * time.Millisecond
	start := time.Unix(1000, 0)
	// report returns the report that a process which started at start makes at a time.
	report := func(at time.Time) *fleetv1.Report {
		return &fleetv1.Report{Host: "h2", Incarnation: "a", AgeMillis: at.Sub(start).Milliseconds()}
	}
	// known returns the ages of a peer that has called for five seconds.
	known := func() (ages reportAges, now time.Time) {
		for now = start; now.Before(start.Add(5 * time.Second)); now = now.Add(interval) {
			ages.createdAt(report(now), time.Time{}, now.Add(delay))
		}
		return ages, now
	}

	// Guards against taking what arrived while this host was stopped for recent.
	It("is that of its making, not of its handling, after this host was stopped", func() {
		ages, now := known()
		resumed := now.Add(13 * time.Second)
		for _, at := range []time.Time{now, now.Add(600 * time.Millisecond)} {
			Expect(ages.createdAt(report(at), time.Time{}, resumed)).To(BeTemporally("~", at, 20*time.Millisecond))
		}
		Expect(ages.createdAt(report(resumed), time.Time{}, resumed.Add(delay))).To(BeTemporally("~", resumed, 20*time.Millisecond))
	})

	// Guards against trusting the first reports of a process, which may have been made long
	// before.
	It("is unknown at first, unless the report responds to a call of this host", func() {
		var ages reportAges
		resumed := start.Add(13 * time.Second)
		for at := start.Add(time.Second); at.Before(resumed); at = at.Add(600 * time.Millisecond) {
			Expect(ages.createdAt(report(at), time.Time{}, resumed.Add(delay))).To(BeZero())
		}
		called := resumed.Add(delay)
		Expect(ages.createdAt(report(called), called, called.Add(delay))).To(Equal(called.Add(-responseCacheTTL)))
		later := resumed.Add(agesKnownAfter + interval)
		Expect(ages.createdAt(report(later), time.Time{}, later.Add(delay))).To(BeTemporally("~", later, 20*time.Millisecond))
	})

	// Guards against dating the reports of a restarted process by its predecessor.
	It("is unknown again after the peer restarted", func() {
		ages, now := known()
		restarted := &fleetv1.Report{Host: "h2", Incarnation: "b", AgeMillis: 100}
		Expect(ages.createdAt(restarted, time.Time{}, now)).To(BeZero())
	})

	// Guards against reports that seem ever older since the peer's clock is slower.
	It("stays right while the clocks of the hosts drift", func() {
		var ages reportAges
		now := start
		for range 3600 {
			now = now.Add(time.Second)
			slow := now.Add(-now.Sub(start) / 5000)
			created := ages.createdAt(report(slow), time.Time{}, now)
			if now.Sub(start) > 2*agesKnownAfter {
				Expect(created).To(BeTemporally("~", now, 20*time.Millisecond))
			}
		}
	})
})

package exchange

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

var _ = Describe("The roster of peers", func() {
	now := time.Unix(1_700_000_000, 0)
	report := func(host string, remaining time.Duration) *fleetv1.Report {
		return &fleetv1.Report{Host: host, Incarnation: "1", Address: host + ":1", Lease: &fleetv1.Lease{LeftMillis: remaining.Milliseconds()}}
	}

	It("lists hosts that are in the store but do not report as unreachable, for a limited time", func() {
		r := newRoster("a")
		r.addEntry(now, "b", "b:1", "1")
		r.addEntry(now, "c", "c:1", "1")
		r.recordReport(now, report("b", 0))
		Expect(r.reachability(now)).To(Equal(Reachability{Reachable: []string{"b"}, Unreachable: []string{"c"}, Interval: minInterval}))
		Expect(r.reachability(now).ReachableFraction()).To(BeNumerically("~", 2.0/3, 0.001))
		later := now.Add(singleRetention + time.Second)
		r.recordReport(later, report("b", 0))
		Expect(r.reachability(later)).To(Equal(Reachability{Reachable: []string{"b"}, Interval: minInterval}))
		Expect(r.reachability(later).ReachableFraction()).To(Equal(1.0))
	})

	// Guards against dropping hosts behind a network partition: half of the
	// hosts are cut off for longer than a single crashed host is kept.
	It("keeps several unreachable hosts for longer than a single one, and all of them if no host is reachable", func() {
		partitioned, isolated, single := newRoster("a"), newRoster("a"), newRoster("a")
		for _, host := range []string{"b", "c", "d"} {
			for _, r := range []*roster{partitioned, isolated, single} {
				r.recordReport(now, report(host, 0))
			}
		}
		later := now.Add(groupRetention - time.Second)
		partitioned.recordReport(later, report("b", 0))
		Expect(partitioned.reachability(later).Unreachable).To(Equal([]string{"c", "d"}))
		Expect(isolated.reachability(later).Unreachable).To(HaveLen(3))
		single.recordReport(later, report("b", 0))
		single.recordReport(later, report("c", 0))
		Expect(single.reachability(later).Unreachable).To(BeEmpty(), "a single host that crashed")
		later = later.Add(2 * time.Second)
		partitioned.recordReport(later, report("b", 0))
		Expect(partitioned.reachability(later).Unreachable).To(BeEmpty())
	})

	It("adds a host from its report alone, as needed while the store is unavailable", func() {
		r := newRoster("a")
		r.recordReport(now, report("b", 0))
		Expect(r.reportTargets(now, true)).To(HaveLen(1))
		Expect(r.reportTargets(now, true)[0].address).To(Equal("b:1"))
		Expect(r.recordReport(now, report("a", 0))).To(BeFalse(), "its own report")
		Expect(r.recordReport(now, report("", 0))).To(BeFalse())
	})

	It("includes unreachable hosts only in the rounds that call them", func() {
		r := newRoster("a")
		r.addEntry(now, "b", "b:1", "1")
		r.recordReport(now, report("c", 0))
		Expect(r.reportTargets(now, false)).To(HaveLen(1))
		Expect(r.reportTargets(now, false)[0].name).To(Equal("c"))
		Expect(r.reportTargets(now, true)).To(HaveLen(2))
	})

	It("returns the lease holder until the reported lease expires", func() {
		r := newRoster("a")
		r.recordReport(now, report("b", 2*time.Second))
		Expect(r.leader(now).name).To(Equal("b"))
		Expect(r.leader(now.Add(2 * time.Second))).To(BeNil())
		r.recordReport(now.Add(time.Second), report("b", 0))
		Expect(r.leader(now.Add(time.Second))).To(BeNil(), "the peer released the lease")
	})

	It("ignores an older report that arrives after a newer one", func() {
		r := newRoster("a")
		r.recordReport(now.Add(time.Second), report("b", 0))
		r.recordReport(now, report("b", time.Minute))
		Expect(r.leader(now.Add(time.Second))).To(BeNil())
	})
})

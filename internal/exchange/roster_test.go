package exchange

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

var _ = Describe("The roster of hosts", func() {
	now := time.Unix(1_700_000_000, 0)
	report := func(host string, left time.Duration) *fleetv1.Report {
		return &fleetv1.Report{Host: host, Incarnation: "1", Address: host + ":1", Lease: &fleetv1.Lease{LeftMillis: left.Milliseconds()}}
	}

	It("counts hosts that are listed but silent as serving out of reach, for a time", func() {
		r := newRoster("a")
		r.list(now, "b", "b:1", "1")
		r.list(now, "c", "c:1", "1")
		r.hear(now, report("b", 0))
		Expect(r.reach(now)).To(Equal(Reach{Heard: []string{"b"}, Silent: []string{"c"}, Interval: shortestInterval}))
		Expect(r.reach(now).Part()).To(BeNumerically("~", 2.0/3, 0.001))
		later := now.Add(rememberedAlone + time.Second)
		r.hear(later, report("b", 0))
		Expect(r.reach(later)).To(Equal(Reach{Heard: []string{"b"}, Interval: shortestInterval}))
		Expect(r.reach(later).Part()).To(Equal(1.0))
	})

	// Half of the hosts are cut off for longer than a host that died alone is
	// remembered.
	It("remembers hosts that fell silent together for longer, and all of them where none is heard", func() {
		cut, alone, one := newRoster("a"), newRoster("a"), newRoster("a")
		for _, host := range []string{"b", "c", "d"} {
			for _, r := range []*roster{cut, alone, one} {
				r.hear(now, report(host, 0))
			}
		}
		later := now.Add(rememberedTogether - time.Second)
		cut.hear(later, report("b", 0))
		Expect(cut.reach(later).Silent).To(Equal([]string{"c", "d"}))
		Expect(alone.reach(later).Silent).To(HaveLen(3))
		one.hear(later, report("b", 0))
		one.hear(later, report("c", 0))
		Expect(one.reach(later).Silent).To(BeEmpty(), "one that died")
		later = later.Add(2 * time.Second)
		cut.hear(later, report("b", 0))
		Expect(cut.reach(later).Silent).To(BeEmpty())
	})

	It("learns of a host by its report alone, as while the store is away", func() {
		r := newRoster("a")
		r.hear(now, report("b", 0))
		Expect(r.addresses(now, true)).To(HaveLen(1))
		Expect(r.addresses(now, true)[0].address).To(Equal("b:1"))
		Expect(r.hear(now, report("a", 0))).To(BeNil(), "its own report")
		Expect(r.hear(now, report("", 0))).To(BeNil())
	})

	It("calls silent hosts in some rounds only", func() {
		r := newRoster("a")
		r.list(now, "b", "b:1", "1")
		r.hear(now, report("c", 0))
		Expect(r.addresses(now, false)).To(HaveLen(1))
		Expect(r.addresses(now, false)[0].name).To(Equal("c"))
		Expect(r.addresses(now, true)).To(HaveLen(2))
	})

	It("knows the holder of the lease for as long as that said", func() {
		r := newRoster("a")
		r.hear(now, report("b", 2*time.Second))
		Expect(r.leader(now).name).To(Equal("b"))
		Expect(r.leader(now.Add(2 * time.Second))).To(BeNil())
		r.hear(now.Add(time.Second), report("b", 0))
		Expect(r.leader(now.Add(time.Second))).To(BeNil(), "it gave the lease up")
	})

	It("is not misled by a report that arrives late", func() {
		r := newRoster("a")
		r.hear(now.Add(time.Second), report("b", 0))
		r.hear(now, report("b", time.Minute))
		Expect(r.leader(now.Add(time.Second))).To(BeNil())
	})
})

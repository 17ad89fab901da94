package streamorigin

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// run lets time pass.
func (f *modelFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// resultAt returns how the lookup of a stream that was reported nowhere ends at a host.
func (f *modelFleet) resultAt(host int) result {
	_, r, _ := f.hosts[host].find("s", "unreported")
	return r
}

// isolate cuts a host off from its peers.
func (f *modelFleet) isolate(host int) {
	for other := range f.hosts {
		if other != host {
			f.cut[[2]int{min(host, other), max(host, other)}] = true
		}
	}
}

// settledFleet returns three hosts that have run for a while with one version, which is
// recorded.
func settledFleet() *modelFleet {
	f := newModelFleet(rand.New(rand.NewPCG(1, 4)), 3)
	f.run(20 * time.Second)
	Expect(f.record).NotTo(BeNil())
	for host := range f.hosts {
		Expect(f.resultAt(host)).To(Equal(resultOnly))
	}
	return f
}

var _ = Describe("A host whose knowledge of software versions is not recent", func() {
	// Guards against taking up streams by what the host knew before it stood still, in
	// particular before it has handled anything that arrived meanwhile.
	DescribeTable("takes up no stream of another version as it resumes, and knows the version soon after",
		func(pause time.Duration, alone bool) {
			f := settledFleet()
			if alone {
				f.hosts[2].storeCut = true
			}
			f.pause(f.hosts[2], pause)
			f.listed = []string{"v1", "v2"}
			for range pause/modelStep - 1 {
				f.step()
				if allowed := f.hosts[0].MayBegin("s"); len(allowed) == 2 {
					f.hosts[0].Begin("s", "stream", "v2")()
				}
			}
			f.onWake = func(h *modelHost) {
				software, result, _ := h.find("s", "stream")
				began := f.hosts[0].known.Contains(streamOf("s", "stream"))
				Expect(result.found() && began).To(BeFalse(), "found %s", software)
				// Reports that arrived during the pause are handled first.
				f.deliverQueued(h)
				software, result, _ = h.find("s", "stream")
				Expect(result.found() && began && software != "v2").To(BeFalse(), "found %s", software)
			}
			f.run(time.Second)
			Expect(f.resultAt(2)).To(Equal(resultMixed))
			Expect(f.hosts[2].current(f.now)).To(BeTrue())
		},
		Entry("after 2 s", 2*time.Second, false),
		Entry("after 4 s", 4*time.Second, false),
		Entry("after 6 s", 6*time.Second, false),
		Entry("after 13 s", 13*time.Second, false),
		Entry("after 13 s, cut off from the store", 13*time.Second, true),
		Entry("after 90 s", 90*time.Second, false),
	)

	// Guards against taking up streams at a host that can't learn of a new version, and
	// against one that goes on refusing them when it can.
	It("refuses streams of unknown origin while it is cut off from the store and the peers, and not after", func() {
		f := settledFleet()
		f.isolate(2)
		f.hosts[2].storeCut = true
		f.run(f.hosts[2].currency.maxAge() + modelStep)
		Expect(f.resultAt(2)).To(Equal(resultOutdated))
		f.hosts[2].storeCut = false
		f.run(modelRecovery)
		Expect(f.resultAt(2)).To(Equal(resultOnly), "in touch with the store alone")
		f.hosts[2].storeCut = true
		f.run(f.hosts[2].currency.maxAge() + modelStep)
		Expect(f.resultAt(2)).To(Equal(resultOutdated))
		clear(f.cut)
		f.run(time.Second)
		Expect(f.resultAt(2)).To(Equal(resultOnly), "in touch with the peers alone")
	})

	// Guards against knowledge that two hosts confirm to each other while neither has it
	// from the store or from all hosts.
	It("does not take the knowledge of a peer that is cut off as well for recent", func() {
		f := settledFleet()
		f.isolate(0)
		f.hosts[1].storeCut, f.hosts[2].storeCut = true, true
		f.run(2 * time.Minute)
		Expect([]result{f.resultAt(1), f.resultAt(2)}).To(Equal([]result{resultOutdated, resultOutdated}))
		f.hosts[1].storeCut = false
		f.run(modelRecovery)
		Expect([]result{f.resultAt(1), f.resultAt(2)}).To(Equal([]result{resultOnly, resultOnly}))
	})

	// Guards against taking the list after a gap for all versions that there were in it.
	It("reads the record again after a gap, which names versions that came and went in it", func() {
		f := settledFleet()
		f.isolate(2)
		f.hosts[2].storeCut = true
		f.listed = []string{"v1", "v2"}
		f.run(10 * time.Second)
		f.listed = []string{"v1"}
		f.run(5 * time.Second)
		f.hosts[2].storeCut = false
		f.run(modelRecovery)
		Expect(f.resultAt(2)).To(Equal(resultMixed))
	})
})

var _ = Describe("A host whose knowledge of software versions is recent", func() {
	// Guards against refusing streams in failures in which no version can be missed.
	DescribeTable("resumes streams of a service with one version throughout",
		func(fail func(f *modelFleet)) {
			f := settledFleet()
			fail(f)
			for end := f.now.Add(time.Minute); f.now.Before(end); {
				f.step()
				Expect(f.resultAt(2)).To(Equal(resultOnly), "%v before the end", end.Sub(f.now))
			}
		},
		Entry("while nothing fails", func(*modelFleet) {}),
		Entry("in an outage of the store", func(f *modelFleet) { f.storeDown = true }),
		Entry("cut off from the store", func(f *modelFleet) { f.hosts[2].storeCut = true }),
		Entry("cut off from a peer", func(f *modelFleet) { f.cut[[2]int{0, 2}] = true }),
		Entry("cut off from all peers", func(f *modelFleet) { f.isolate(2) }),
		Entry("while a peer stands still", func(f *modelFleet) { f.pause(f.hosts[0], 2*time.Minute) }),
		Entry("in an outage of the store, in which a peer restarted that nobody reached at first", func(f *modelFleet) {
			f.storeDown = true
			f.isolate(0)
			f.start(f.hosts[0])
			f.run(3 * time.Second)
			clear(f.cut)
		}),
		Entry("cut off from the store while the peers are cut off from each other", func(f *modelFleet) {
			f.hosts[2].storeCut, f.cut[[2]int{0, 1}] = true, true
		}),
	)
})

var _ = Describe("Streams at a new software version", func() {
	// beginsAfter returns how long the first host holds a version that appears.
	beginsAfter := func(f *modelFleet) time.Duration {
		f.listed = []string{"v1", "v2"}
		started := f.now
		for len(f.hosts[0].MayBegin("s")) < 2 {
			f.step()
			Expect(f.now.Sub(started)).To(BeNumerically("<", 20*time.Second))
		}
		return f.now.Sub(started)
	}

	// Guards against beginning streams while a peer may still take what it knew before for
	// recent, and against holding the version longer than that.
	It("wait for a peer that does not report until its knowledge is no longer recent", func() {
		f := settledFleet()
		f.pause(f.hosts[2], time.Minute)
		limit := f.hosts[0].currency.maxAge() + holdMargin
		Expect(beginsAfter(f)).To(And(BeNumerically(">=", limit), BeNumerically("<=", limit+modelPoll+2*modelStep)))
	})

	// Guards against holding the version that was there before, which no peer has reported
	// while it was the only one.
	It("don't keep streams from beginning at the only version before, in a fleet that is young", func() {
		f := newModelFleet(rand.New(rand.NewPCG(1, 5)), 3)
		f.run(2 * time.Second)
		f.pause(f.hosts[2], time.Minute)
		f.listed = []string{"v1", "v2"}
		for range 100 {
			f.step()
			Expect(f.hosts[0].MayBegin("s")).To(ContainElement("v1"))
		}
	})

	// Guards against holding a version for longer than all hosts take to report it.
	It("begin as soon as all peers have reported the version", func() {
		Expect(beginsAfter(settledFleet())).To(BeNumerically("<=", modelPoll+time.Second))
	})
})

var _ = Describe("A host that stood still while a version was replaced", func() {
	// Guards against beginning streams at a version that the peers no longer count, which
	// they would take for streams of the only one that they know.
	It("begins no stream at the version that it lists before its knowledge is recent", func() {
		f := settledFleet()
		f.pause(f.hosts[2], 100*time.Second)
		f.listed = []string{"v1", "v2"}
		f.run(10 * time.Second)
		f.listed = []string{"v2"}
		woke := false
		f.onWake = func(h *modelHost) {
			woke = true
			Expect(h.list).To(Equal([]string{"v1"}))
			Expect(f.resultAt(0)).To(Equal(resultOnly))
			Expect(h.MayBegin("s")).To(BeEmpty())
		}
		f.run(100 * time.Second)
		Expect(woke).To(BeTrue())
		Expect(f.hosts[2].MayBegin("s")).To(ContainElement("v2"))
	})

	// Guards against a host that begins no streams while it can't learn anything.
	It("begins streams again after two seconds if it is cut off", func() {
		f := settledFleet()
		f.isolate(2)
		f.hosts[2].storeCut = true
		f.pause(f.hosts[2], 10*time.Second)
		f.run(10*time.Second + maxHoldAlone - modelStep)
		Expect(f.hosts[2].MayBegin("s")).To(BeEmpty())
		f.run(2 * modelStep)
		Expect(f.hosts[2].MayBegin("s")).To(ConsistOf("v1"))
	})
})

package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

var _ = Describe("An entry that a restored store lists", func() {
	var (
		now      time.Time
		registry *Registry
	)
	entry := func(sequence, version int64) Endpoint {
		return Endpoint{ID: "e", Service: "s", Address: "e:1", Slots: 1, Started: time.Unix(1_600_000_000, 0), Sequence: sequence, EntryVersion: version}
	}
	list := func(era int64, entries ...Endpoint) {
		registry.Apply(Read{Era: era, Whole: true, Endpoints: entries})
	}
	used := func() bool {
		attempt, _ := registry.Start(Work{Service: "s"})
		if attempt == nil {
			return false
		}
		attempt.Finish(0)
		return true
	}
	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		registry = NewRegistry(Config{Clock: func() time.Time { return now }})
		list(1, entry(5, 10))
	})
	// leave removes the entry while the store is sound, and restores the store a moment
	// later.
	leave := func() {
		last := entry(5, 10)
		registry.Apply(Read{Era: 1, Removed: []Removal{{ID: "e", Last: &last}}})
		now = now.Add(5 * time.Second)
		registry.StoreRestored(2)
	}

	// Guards against ignoring live endpoints whose entries expired in an outage, after a
	// drill right behind it: no event follows, since their writes change nothing.
	It("is used at once if an outage was the reason for its removal", func() {
		registry.StoreUnavailable(now.Add(-minOutage))
		now = now.Add(time.Second)
		registry.StoreAvailable()
		list(1)
		now = now.Add(time.Second)
		registry.StoreRestored(2)
		list(2, entry(5, 10))
		now = now.Add(time.Minute)
		Expect(used()).To(BeTrue())
	})

	// Guards against ignoring a live endpoint whose return the host missed.
	It("is used at once if its sequence shows that it was written after its removal", func() {
		leave()
		list(2, entry(6, 11))
		Expect(used()).To(BeTrue())
	})

	// Guards against the use of an endpoint that has left, and against ignoring a live one
	// for longer than the store takes to remove the entry of one that is gone.
	It("is held back if nothing shows a write, until it was there for settleTime", func() {
		leave()
		for range int(settleTime / time.Second) {
			list(2, entry(5, 10))
			Expect(used()).To(BeFalse())
			now = now.Add(time.Second)
		}
		list(2, entry(5, 10))
		Expect(used()).To(BeTrue())
	})

	// Guards against the same after a further outage, in which the store may not remove it.
	It("is held back for settleTime after a further outage", func() {
		leave()
		list(2, entry(5, 10))
		now = now.Add(time.Second)
		registry.StoreUnavailable(now)
		now = now.Add(minOutage)
		registry.StoreAvailable()
		now = now.Add(settleTime - time.Second)
		list(2, entry(5, 10))
		Expect(used()).To(BeFalse())
	})

	// Guards against waiting for settleTime although a listing shows that it lives.
	It("is listed again soon, and used once it has been written", func() {
		leave()
		list(2, entry(5, 10))
		Expect(registry.NeedsListing()).To(BeFalse())
		now = now.Add(relistInterval)
		Expect(registry.NeedsListing()).To(BeTrue())
		Expect(registry.NeedsListing()).To(BeFalse(), "once in relistInterval")
		list(2, entry(6, 10))
		Expect(used()).To(BeTrue())
		now = now.Add(relistInterval)
		Expect(registry.NeedsListing()).To(BeFalse())
	})

	// Guards against the use of an endpoint whose shutdown a peer reported after its removal.
	It("is not used if the endpoint announced its shutdown, whatever it writes", func() {
		leave()
		registry.HandleReport(&fleetv1.Report{Host: "h2", Leaving: []*fleetv1.LeavingEndpoint{{Endpoint: "e", StartedMillis: 1_600_000_000_000}}}, false)
		list(2, entry(6, 11))
		Expect(used()).To(BeFalse())
		registry.Put(entry(7, 12))
		Expect(used()).To(BeFalse())
	})

	// Guards against taking a new incarnation for gone, and for crashed, because the copy has
	// the entry of the one before.
	It("does not replace a later incarnation", func() {
		vanished := 0
		registry.config.OnVanished = func(Endpoint) { vanished++ }
		later := entry(1, 11)
		later.Started, later.Address = now, "e:2"
		registry.Apply(Read{Era: 1, Endpoints: []Endpoint{later}})
		Expect(vanished).To(Equal(1))
		now = now.Add(5 * time.Second)
		registry.StoreRestored(2)
		list(2, entry(5, 10))
		attempt, _ := registry.Start(Work{Service: "s"})
		Expect(attempt).NotTo(BeNil())
		Expect(attempt.Endpoint.Address).To(Equal("e:2"))
	})

	// Guards against holding back an endpoint that writes its entry after a read of the new
	// era that lacked it.
	It("is used at once if it was missing in the same era before", func() {
		leave()
		list(2)
		list(2, entry(5, 10))
		Expect(used()).To(BeTrue())
		registry.Remove("e")
		list(2, entry(5, 10))
		Expect(used()).To(BeTrue())
	})

	// Guards against the use of an endpoint whose entry was last seen with its removal, when
	// it drained.
	It("is not used if the endpoint drained when its entry was removed", func() {
		last := entry(5, 10)
		last.Leaving = true
		registry.Apply(Read{Era: 1, Removed: []Removal{{ID: "e", Last: &last}}})
		list(1, entry(6, 11))
		Expect(used()).To(BeFalse())
	})

	// Guards against the use of an incarnation that ended before this host started, if a
	// later one has left since.
	It("is held back if a later incarnation was there before the restore", func() {
		later := entry(5, 10)
		later.Started = now
		registry = NewRegistry(Config{Clock: func() time.Time { return now }})
		list(1, later)
		registry.Remove("e")
		now = now.Add(5 * time.Second)
		Expect(used()).To(BeFalse())
		list(2, entry(9, 5))
		Expect(used()).To(BeFalse())
	})

	// Guards against the use of an incarnation that ended before this host started, in
	// place of a later one that is listed.
	It("is held back if a later incarnation is in use", func() {
		later := entry(1, 10)
		later.Started = now
		registry = NewRegistry(Config{Clock: func() time.Time { return now }})
		list(1, later)
		now = now.Add(5 * time.Second)
		list(2, entry(9, 5))
		now = now.Add(relistGrace)
		Expect(used()).To(BeFalse())
		registry.Apply(Read{Era: 2, Endpoints: []Endpoint{later}})
		Expect(used()).To(BeTrue())
	})

	// Guards against taking an incarnation for silent that vanished in an outage, and
	// whose ID a later one had after it.
	It("is held back if a later incarnation followed the removal in an outage", func() {
		registry.StoreUnavailable(now.Add(-minOutage))
		registry.Remove("e")
		registry.StoreAvailable()
		later := entry(1, 11)
		later.Started = now
		registry.Apply(Read{Era: 1, Endpoints: []Endpoint{later}})
		registry.Apply(Read{Era: 1, Removed: []Removal{{ID: "e"}}})
		now = now.Add(5 * time.Second)
		list(2, entry(5, 10))
		Expect(used()).To(BeFalse())
	})

	// Guards against a read of the former era that is applied after the restore.
	It("of the former era is ignored", func() {
		leave()
		list(1, entry(6, 11))
		Expect(used()).To(BeFalse())
	})

	// Guards against a read of the new era that is applied before the restore is reported.
	It("counts as such though the restore is not reported yet", func() {
		registry.Remove("e")
		now = now.Add(5 * time.Second)
		list(2, entry(5, 10))
		Expect(used()).To(BeFalse())
	})
})

package evacuation

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

var _ = Describe("Evacuated zones", func() {
	var zones *Zones
	BeforeEach(func() { zones = &Zones{} })
	at := objectstore.NewVersion
	put := func(zone string, era, revision int64) Statement {
		return Statement{Zone: zone, Version: at(era, revision)}
	}
	removed := func(zone string, era, revision int64) Statement {
		return Statement{Zone: zone, Version: at(era, revision), Ended: true}
	}

	It("begin and end with the object in the store, each once", func() {
		zones.List(at(1, 10), nil)
		Expect(zones.Apply(put("z1", 1, 11))).To(HaveLen(1))
		Expect(zones.Apply(put("z1", 1, 12))).To(BeEmpty())
		Expect(zones.InForce()).To(Equal([]string{"z1"}))
		Expect(zones.Apply(removed("z1", 1, 13))).To(HaveLen(1))
		Expect(zones.InForce()).To(BeEmpty())
	})

	It("end with a later listing of the same era that lacks them, and with no earlier one", func() {
		zones.List(at(1, 10), []Statement{put("z1", 1, 8), put("z2", 1, 9)})
		zones.Learn([]Statement{put("z3", 1, 20)}, true)
		zones.List(at(1, 15), []Statement{put("z1", 1, 8)})
		Expect(zones.InForce()).To(Equal([]string{"z1", "z3"}))
	})

	// Guards against sending to a zone that nobody put back into service, after the store
	// has lost the operators' object.
	It("outlast a store that is restored from a copy without them, until it says otherwise", func() {
		zones.List(at(1, 10), []Statement{put("z1", 1, 10)})
		changes, missing := zones.List(at(2, 5), nil)
		Expect(changes).To(BeEmpty())
		Expect(missing).To(HaveLen(1))
		Expect(zones.InForce()).To(Equal([]string{"z1"}))
		zones.Apply(put("z1", 2, 6))
		zones.List(at(1, 30), nil) // of the earlier era, delayed
		Expect(zones.InForce()).To(Equal([]string{"z1"}))
		Expect(zones.Apply(removed("z1", 2, 7))).To(HaveLen(1))
		Expect(zones.InForce()).To(BeEmpty())
	})

	It("begin again if the restored copy holds an object that had been removed", func() {
		zones.List(at(1, 10), nil)
		zones.Apply(put("z1", 1, 11))
		zones.Apply(removed("z1", 1, 12))
		zones.List(at(2, 11), []Statement{put("z1", 2, 11)})
		Expect(zones.InForce()).To(Equal([]string{"z1"}))
	})

	It("are learned from peers, by version", func() {
		Expect(zones.Learn([]Statement{put("z1", 1, 8)}, true)).To(HaveLen(1))
		zones.Learn([]Statement{removed("z1", 1, 9)}, true)
		zones.Learn([]Statement{put("z1", 1, 8)}, true)
		Expect(zones.InForce()).To(BeEmpty())
	})

	// Guards against an evacuation that ended long ago and comes back with a host that was
	// partitioned from the store and the other hosts.
	It("are not learned from a peer if this host has read the store later", func() {
		zones.List(at(1, 20), nil)
		zones.Learn([]Statement{put("z1", 1, 8)}, true)
		Expect(zones.InForce()).To(BeEmpty())
		zones.Learn([]Statement{put("z1", 1, 21)}, true)
		Expect(zones.InForce()).To(Equal([]string{"z1"}))
	})

	It("are learned by a host that has started after a restore that lost them", func() {
		zones.List(at(2, 20), nil)
		zones.Learn([]Statement{put("z1", 1, 30)}, true)
		Expect(zones.InForce()).To(Equal([]string{"z1"}))
	})

	It("are unknown until the store or a peer that knows them was heard", func() {
		zones.Learn(nil, false)
		Expect(zones.Known()).To(BeFalse())
		zones.Learn(nil, true)
		Expect(zones.Known()).To(BeTrue())
	})

	It("are forgotten only after they have ended, the oldest first", func() {
		zones.Apply(put("kept", 1, 1))
		for i := range int64(2 * maxEnded) {
			zones.Apply(removed(fmt.Sprint("z", i), 1, i+2))
		}
		Expect(len(zones.Statements())).To(BeNumerically("<=", maxEnded+1))
		Expect(zones.InForce()).To(Equal([]string{"kept"}))
		Expect(zones.Statements()).To(ContainElement(HaveField("Version", at(1, 2*maxEnded+1))))
	})
})

var _ = Describe("A tracker of evacuated zones", func() {
	It("takes all zones for evacuated until it knows, and tells its peers", func() {
		first, second := NewTracker(), NewTracker()
		Expect(first.Evacuated("z1")).To(BeTrue())
		first.List(objectstore.NewVersion(3, 9), []Statement{{Zone: "z2", Version: objectstore.NewVersion(3, 7)}})
		Expect(first.Evacuated("z1")).To(BeFalse())
		report := &fleetv1.Report{Host: "h1"}
		first.FillReport(report)
		second.HandleReport(report, true)
		Expect(second.Known()).To(BeTrue())
		Expect(second.Evacuated("z1")).To(BeFalse())
		Expect(second.Evacuated("z2")).To(BeTrue())
		second.HandleReport(&fleetv1.Report{Host: "previous build"}, false)
		Expect(second.Evacuated("z2")).To(BeTrue())
	})
})

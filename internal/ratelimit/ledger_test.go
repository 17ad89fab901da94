package ratelimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/membership"
)

// Guards against free units that no process takes: five hosts had divided the ledger
// among themselves before the sixth appeared, and each lacked less than a
// sixteenth of an equal share.
func TestSmallRemainderIsTakenByOneProcess(t *testing.T) {
	g := NewWithT(t)
	const target = TotalUnits / 6
	active := []string{"a", "b", "c", "d", "e", "f"}
	ledger := &Ledger{}
	for _, incarnation := range active {
		ledger.Entries = append(ledger.Entries, Entry{Incarnation: incarnation, Units: target - 1457})
	}
	writes := 0
	for ledger.Free() > int64(len(active)) {
		before := ledger.Free()
		for _, incarnation := range active {
			if units := ledger.DesiredUnits(incarnation, active); units != ledger.units(incarnation) {
				ledger.Entry(incarnation).Units = units
				writes++
			}
		}
		g.Expect(ledger.Valid()).To(BeTrue())
		g.Expect(ledger.Free()).To(BeNumerically("<", before), "no process takes the free units")
	}
	g.Expect(writes).To(BeNumerically("<=", len(active)))
}

// All hosts were replaced at once, so that no reclaimer of an entry is left to
// consent. The platform no longer lists the hosts.
func TestUnitsOfRemovedHostsAreReclaimedWithoutReclaimers(t *testing.T) {
	g := NewWithT(t)
	at := func(second float64) time.Time { return epoch.Add(time.Duration(second * float64(time.Second))) }
	s := NewShareLease(LeaseConfig{}, membership.Host{Name: "new", Incarnation: "new1", Zone: "z"})
	entry := func(host string) Entry {
		return Entry{Host: host, Incarnation: host + "1", Units: TotalUnits / 2, Floor: TotalUnits / 4, Reclaimers: []string{"lost1"}}
	}
	s.ObserveLedger(&Ledger{Entries: []Entry{entry("removed"), entry("cut-off")}}, 1, at(0), at(0))
	plan := func(second float64, listed ...string) *Edit {
		s.ObserveHostList(listed, at(second))
		edit := s.Plan(at(second), nil, 0, "m")
		if edit != nil {
			s.Begin(edit)
			s.RecordWritten(edit, s.Version()+1, at(second), at(second))
		}
		return edit
	}
	g.Expect(plan(0, "new", "cut-off")).To(BeNil())
	g.Expect(plan(4.9, "new", "cut-off")).To(BeNil(), "the list may lag")
	g.Expect(plan(9, "cut-off")).To(BeNil(), "a list without this host is older than this process")
	marked := plan(10, "new", "cut-off")
	g.Expect(marked.Next.Entry("removed1").Mark).NotTo(BeNil(), "a holder that is alive removes the mark")
	g.Expect(marked.Next.Entry("removed1").Units).To(Equal(TotalUnits / 2))
	g.Expect(plan(30.1, "new", "cut-off")).To(BeNil(), "the short lease runs")
	freed := plan(30.3, "new", "cut-off")
	g.Expect(freed.Next.Entry("removed1").Units).To(Equal(TotalUnits / 4))
	g.Expect(freed.Next.Entry("cut-off1")).To(HaveField("Units", TotalUnits/2), "a listed host may be alive")
	for _, second := range []float64{40, 100, 900} {
		plan(second, "new", "cut-off")
	}
	g.Expect(s.ObservedLedger().Entry("removed1")).NotTo(BeNil(), "the floor lease runs")
	plan(10+15*60*1.01+1, "new", "cut-off")
	g.Expect(s.ObservedLedger().Entry("removed1")).To(BeNil())
}

// Guards against a ledger that is never rebalanced: one host holds half of the
// units and another a sixth, which is not less than half of an equal share of a
// third, so the rule for processes far below their share does not apply.
func TestDesiredUnitsTakesFromLargest(t *testing.T) {
	third := TotalUnits / 3
	ledger := &Ledger{Entries: []Entry{
		{Incarnation: "a", Units: third},
		{Incarnation: "b", Units: third/2 + 1},
		{Incarnation: "c", Units: TotalUnits - third - third/2 - 1},
	}}
	active := []string{"a", "b", "c"}
	if got := ledger.DesiredUnits("c", active); got != third {
		t.Fatalf("largest host holds %d units after rebalancing, want %d", got, third)
	}
	if got := ledger.DesiredUnits("a", active); got != third {
		t.Fatalf("host with an equal share changes to %d units, want %d", got, third)
	}
}

package ratelimit

import "testing"

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

package ratelimit

import "testing"

// A ledger in which one host held half and another a sixth was left as it
// was, because a sixth is not less than half of a third.
func TestBalanceTakesFromTheLargest(t *testing.T) {
	third := TotalUnits / 3
	ledger := &Ledger{Entries: []Entry{
		{Incarnation: "a", Units: third},
		{Incarnation: "b", Units: third/2 + 1},
		{Incarnation: "c", Units: TotalUnits - third - third/2 - 1},
	}}
	living := []string{"a", "b", "c"}
	if got := ledger.Balance("c", living); got != third {
		t.Fatalf("largest host keeps %d units, want %d", got, third)
	}
	if got := ledger.Balance("a", living); got != third {
		t.Fatalf("host with its part changes to %d units, want %d", got, third)
	}
}

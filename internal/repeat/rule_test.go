package repeat

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestAgain(t *testing.T) {
	once, often := Rule{MaxSends: 2, MaxDials: 3}, Rule{Repeatable: true, MaxSends: 2, MaxDials: 3}
	strict := Rule{Repeatable: true, MaxSends: 2}
	for _, c := range []struct {
		name string
		rule Rule
		sent Sent
		end  End
		want Decision
	}{
		{"answered", often, Sent{Sends: 1}, Over, Forbidden},
		{"caller gone", often, Sent{Sends: 1}, CallerGone, Forbidden},
		{"may have run, may run once only", once, Sent{Sends: 1}, Unknown, Forbidden},
		{"may have run, may run again", often, Sent{Sends: 1}, Unknown, AllowedWithinBudget},
		{"not run, may run once only", once, Sent{Sends: 1}, NotRun, AllowedWithinBudget},
		{"sent often enough", often, Sent{Sends: 2}, Unknown, Exhausted},
		{"not reached", once, Sent{Dials: 1}, NotReached, Allowed},
		{"not reached too often", once, Sent{Dials: 3}, NotReached, Exhausted},
		{"not reached, dials count as sends", strict, Sent{Sends: 1}, NotReached, AllowedWithinBudget},
		{"not reached, dials count as sends, often enough", strict, Sent{Sends: 2}, NotReached, Exhausted},
	} {
		if got := c.rule.Again(c.sent, c.end); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// All hosts of a fleet retry as often as they may, after a time in which they
// saved up what they can.
func TestFleetBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := FleetBudget{Ratio: 0.2, Reserve: rapid.Float64Range(10, 300).Draw(t, "reserve"), Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 400).Draw(t, "hosts")
		perHost := rapid.IntRange(0, 40).Draw(t, "requests of a host in a window")
		retries := 0
		for range hosts {
			now := time.Unix(0, 0)
			budgets := NewBudgets(fleet.Host(hosts), func() time.Time { return now })
			rule := Rule{Repeatable: true, MaxSends: 1 << 20}
			for range perHost {
				now = now.Add(fleet.Window / time.Duration(perHost+1))
				budgets.Request("s")
				for budgets.Again("s", rule, Sent{Sends: 1}, Unknown).Yes() {
					retries++
				}
			}
		}
		if most := fleet.Ratio*float64(hosts*perHost) + fleet.Reserve; float64(retries) > most+1e-6 {
			t.Fatalf("%d retries, %v allowed", retries, most)
		}
	})
}

func TestConfigureKeepsWhatIsLeft(t *testing.T) {
	now := time.Unix(0, 0)
	budgets := NewBudgets(BudgetConfig{Ratio: 0.1, Reserve: 4, ReserveInterval: time.Hour}, func() time.Time { return now })
	rule := Rule{Repeatable: true, MaxSends: 9}
	if d := budgets.Again("s", rule, Sent{Sends: 1}, Unknown); d != AllowedWithinBudget {
		t.Fatalf("%d", d)
	}
	budgets.Configure(BudgetConfig{Ratio: 0.1, Reserve: 8, ReserveInterval: time.Hour})
	for i := range 4 {
		if got := budgets.Again("s", rule, Sent{Sends: 1}, Unknown).Yes(); got != (i < 3) {
			t.Fatalf("retry %d: %v", i+2, got)
		}
	}
}

func TestFleetBudgetOfNothing(t *testing.T) {
	now := time.Unix(0, 0)
	budgets := NewBudgets(FleetBudget{Window: 10 * time.Second}.Host(3), func() time.Time { return now })
	for range 100 {
		now = now.Add(time.Second)
		budgets.Request("s")
		if budgets.Again("s", Rule{Repeatable: true, MaxSends: 9}, Sent{Sends: 1}, Unknown).Yes() {
			t.Fatal("a retry where none is allowed")
		}
	}
}

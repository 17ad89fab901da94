package repeat

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestAgain(t *testing.T) {
	atMostOnce, repeatable := Rule{MaxSends: 2, MaxDials: 3}, Rule{Repeatable: true, MaxSends: 2, MaxDials: 3}
	noDialLimit := Rule{Repeatable: true, MaxSends: 2}
	for _, c := range []struct {
		name string
		rule Rule
		sent Sent
		end  End
		want Decision
	}{
		{"answered", repeatable, Sent{Sends: 1}, Over, Forbidden},
		{"caller disconnected", repeatable, Sent{Sends: 1}, CallerGone, Forbidden},
		{"may have run, not repeatable", atMostOnce, Sent{Sends: 1}, Unknown, Forbidden},
		{"may have run, repeatable", repeatable, Sent{Sends: 1}, Unknown, AllowedWithinBudget},
		{"not run, not repeatable", atMostOnce, Sent{Sends: 1}, NotRun, AllowedWithinBudget},
		{"maximum of attempts reached", repeatable, Sent{Sends: 2}, Unknown, Exhausted},
		{"not reached", atMostOnce, Sent{Dials: 1}, NotReached, Allowed},
		{"maximum of failed dials reached", atMostOnce, Sent{Dials: 3}, NotReached, Exhausted},
		{"not reached, dials counted as attempts", noDialLimit, Sent{Sends: 1}, NotReached, AllowedWithinBudget},
		{"not reached, dials counted as attempts, maximum reached", noDialLimit, Sent{Sends: 2}, NotReached, Exhausted},
	} {
		if got := c.rule.Again(c.sent, c.end); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestFleetBudget checks that the hosts of a fleet together stay within the
// budget if each host starts with a full reserve and retries as often as its own
// budget allows.
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
		if limit := fleet.Ratio*float64(hosts*perHost) + fleet.Reserve; float64(retries) > limit+1e-6 {
			t.Fatalf("%d retries, want at most %v", retries, limit)
		}
	})
}

// TestConfigureKeepsBalance checks that a larger reserve does not refill a budget
// at once: of 4 retries one is used, and 3 are left after the change.
func TestConfigureKeepsBalance(t *testing.T) {
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

// TestFleetBudgetZero checks that a zero fleet budget allows no retries rather
// than selecting the defaults.
func TestFleetBudgetZero(t *testing.T) {
	now := time.Unix(0, 0)
	budgets := NewBudgets(FleetBudget{Window: 10 * time.Second}.Host(3), func() time.Time { return now })
	for range 100 {
		now = now.Add(time.Second)
		budgets.Request("s")
		if budgets.Again("s", Rule{Repeatable: true, MaxSends: 9}, Sent{Sends: 1}, Unknown).Yes() {
			t.Fatal("retry allowed by a zero budget")
		}
	}
}

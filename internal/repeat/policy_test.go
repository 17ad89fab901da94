package repeat

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDecide checks the decision for each outcome and limit of attempts.
func TestDecide(t *testing.T) {
	atMostOnce, repeatable := Policy{MaxAttempts: 2, MaxDialFailures: 3}, Policy{Repeatable: true, MaxAttempts: 2, MaxDialFailures: 3}
	noDialLimit := Policy{Repeatable: true, MaxAttempts: 2}
	for _, c := range []struct {
		name     string
		policy   Policy
		attempts Attempts
		outcome  Outcome
		want     Decision
	}{
		{"answered", repeatable, Attempts{Sent: 1}, Final, Forbidden},
		{"caller disconnected", repeatable, Attempts{Sent: 1}, CallerGone, Forbidden},
		{"may have run, not repeatable", atMostOnce, Attempts{Sent: 1}, Unknown, Forbidden},
		{"may have run, repeatable", repeatable, Attempts{Sent: 1}, Unknown, AllowedWithinBudget},
		{"not run, not repeatable", atMostOnce, Attempts{Sent: 1}, NotRun, AllowedWithinBudget},
		{"maximum of attempts reached", repeatable, Attempts{Sent: 2}, Unknown, Exhausted},
		{"not reached", atMostOnce, Attempts{DialFailures: 1}, NotReached, Allowed},
		{"maximum of failed dials reached", atMostOnce, Attempts{DialFailures: 3}, NotReached, Exhausted},
		{"not reached, dials counted as attempts", noDialLimit, Attempts{Sent: 1}, NotReached, AllowedWithinBudget},
		{"not reached, dials counted as attempts, maximum reached", noDialLimit, Attempts{Sent: 2}, NotReached, Exhausted},
	} {
		if got := c.policy.Decide(c.attempts, c.outcome); got != c.want {
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
			budgets := NewBudgets(fleet.PerHost(hosts), func() time.Time { return now })
			policy := Policy{Repeatable: true, MaxAttempts: 1 << 20}
			for range perHost {
				now = now.Add(fleet.Window / time.Duration(perHost+1))
				budgets.RecordRequest("s")
				for budgets.Decide("s", policy, Attempts{Sent: 1}, Unknown).IsRetry() {
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
	policy := Policy{Repeatable: true, MaxAttempts: 9}
	if d := budgets.Decide("s", policy, Attempts{Sent: 1}, Unknown); d != AllowedWithinBudget {
		t.Fatalf("%d", d)
	}
	budgets.Configure(BudgetConfig{Ratio: 0.1, Reserve: 8, ReserveInterval: time.Hour})
	for i := range 4 {
		if got := budgets.Decide("s", policy, Attempts{Sent: 1}, Unknown).IsRetry(); got != (i < 3) {
			t.Fatalf("retry %d: %v", i+2, got)
		}
	}
}

// TestFleetBudgetZero checks that a zero fleet budget allows no retries rather
// than selecting the defaults.
func TestFleetBudgetZero(t *testing.T) {
	now := time.Unix(0, 0)
	budgets := NewBudgets(FleetBudget{Window: 10 * time.Second}.PerHost(3), func() time.Time { return now })
	for range 100 {
		now = now.Add(time.Second)
		budgets.RecordRequest("s")
		if budgets.Decide("s", Policy{Repeatable: true, MaxAttempts: 9}, Attempts{Sent: 1}, Unknown).IsRetry() {
			t.Fatal("retry allowed by a zero budget")
		}
	}
}

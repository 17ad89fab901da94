package repeat

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudget checks that the number of retries never exceeds the configured
// ratio of the requests plus the reserve.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(BudgetConfig{ReserveInterval: 1000 * time.Hour})
		now := time.Unix(0, 0)
		requests := rapid.IntRange(0, 500).Draw(t, "requests")
		retries := 0
		for range requests {
			now = now.Add(time.Millisecond)
			b.RecordRequest(now)
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if b.TryRetry(now) {
					retries++
				}
			}
		}
		if limit := float64(requests)*0.1 + 5 + 1e-6; float64(retries) > limit {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

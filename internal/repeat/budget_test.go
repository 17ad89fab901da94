package repeat

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(BudgetConfig{ReserveInterval: 1000 * time.Hour})
		now := time.Unix(0, 0)
		requests := rapid.IntRange(0, 500).Draw(t, "requests")
		retries := 0
		for range requests {
			now = now.Add(time.Millisecond)
			b.Request(now)
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				if b.Retry(now) {
					retries++
				}
			}
		}
		if most := float64(requests)*0.1 + 5 + 1e-6; float64(retries) > most {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

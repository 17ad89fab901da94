package platformserver

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Twice as many concurrent loads as run at full speed must take twice the load
// time each.
func TestLoadsBeyondTheParallelLimitSlowInProportion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := loadPool{parallel: 4, loadTime: time.Second}
		start := time.Now()
		var loads sync.WaitGroup
		for range 8 {
			loads.Go(func() {
				if err := pool.load(context.Background()); err != nil {
					t.Error(err)
				}
			})
		}
		loads.Wait()
		elapsed := time.Since(start)
		if elapsed < 2*time.Second || elapsed > 2*time.Second+2*progressInterval {
			t.Errorf("8 concurrent loads with 4 at full speed took %v, want 2s", elapsed)
		}
	})
}

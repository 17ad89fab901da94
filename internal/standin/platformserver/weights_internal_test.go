package platformserver

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Twice the loads that run at full speed take twice the time each.
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
		took := time.Since(start)
		if took < 2*time.Second || took > 2*time.Second+2*progressInterval {
			t.Errorf("8 loads over 4 at full speed took %v, want 2s", took)
		}
	})
}

package platformserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
)

// progressInterval is the time between two updates of the progress of a load.
const progressInterval = 2 * time.Millisecond

// WeightOptions configures the weight store.
type WeightOptions struct {
	// LoadsPerSecond limits the rate at which model loads start, with bursts of
	// up to Parallel. Zero means no limit.
	LoadsPerSecond float64
	// Parallel is the number of concurrent model loads that run at full speed.
	// Zero means 4.
	Parallel int
	// LoadTime is the duration of a model load at full speed.
	LoadTime time.Duration
	// AdapterParallel is the number of concurrent adapter loads that run at full
	// speed. Zero means 32.
	AdapterParallel int
	// AdapterLoadTime is the duration of an adapter load at full speed.
	AdapterLoadTime time.Duration
}

const (
	defaultParallel        = 4
	defaultAdapterParallel = 32
)

// weightStore simulates the duration of loads from the platform's weight store.
// It holds no weights.
type weightStore struct {
	limiter  *rate.Limiter
	models   loadPool
	adapters loadPool
}

func newWeightStore(options WeightOptions) *weightStore {
	parallel := options.Parallel
	if parallel == 0 {
		parallel = defaultParallel
	}
	adapterParallel := options.AdapterParallel
	if adapterParallel == 0 {
		adapterParallel = defaultAdapterParallel
	}
	limit := rate.Inf
	if options.LoadsPerSecond > 0 {
		limit = rate.Limit(options.LoadsPerSecond)
	}
	return &weightStore{
		limiter:  rate.NewLimiter(limit, parallel),
		models:   loadPool{parallel: parallel, loadTime: options.LoadTime},
		adapters: loadPool{parallel: adapterParallel, loadTime: options.AdapterLoadTime},
	}
}

// loadPool simulates loads that share a bandwidth. If more than parallel loads
// run, each of them slows down in proportion.
type loadPool struct {
	parallel int
	loadTime time.Duration

	mu      sync.Mutex
	running int
}

func (p *loadPool) load(ctx context.Context) error {
	p.addRunning(1)
	defer p.addRunning(-1)
	updated := time.Now()
	for done := time.Duration(0); done < p.loadTime; {
		if err := sleep(ctx, min(progressInterval, p.loadTime)); err != nil {
			return err
		}
		now := time.Now()
		done += time.Duration(float64(now.Sub(updated)) * p.speed())
		updated = now
	}
	return nil
}

func (p *loadPool) addRunning(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += delta
}

// speed returns the current speed of each load as a fraction of full speed.
func (p *loadPool) speed() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(1, float64(p.parallel)/float64(p.running))
}

func (s *Server) loadWeights(c echo.Context) error {
	s.count("weights", func(calls *Calls) { calls.Weights++ })
	pool := &s.weights.adapters
	if c.QueryParam("adapter") != "true" {
		pool = &s.weights.models
		if !s.weights.limiter.Allow() {
			return unavailable(c, http.StatusTooManyRequests)
		}
	}
	if err := pool.load(c.Request().Context()); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

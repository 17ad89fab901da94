package endpoint

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// latencyExpiry is the time without new samples after which the mean is
	// discarded, so that an endpoint that was slow is tried again.
	latencyExpiry = 10 * time.Second
)

// Latency is an exponentially weighted moving average of a latency. The zero
// value has no samples. Callers pass in the time. It is not safe for concurrent
// use.
type Latency struct {
	mean   float64
	lastAt time.Time
}

// Observe adds a sample.
func (l *Latency) Observe(now time.Time, sample time.Duration) {
	if l.Mean(now) == 0 {
		l.mean = sample.Seconds()
	}
	l.mean += latencyWeight * (sample.Seconds() - l.mean)
	l.lastAt = now
}

// Mean returns the mean, or zero if there are no recent samples.
func (l *Latency) Mean(now time.Time) time.Duration {
	if l.lastAt.IsZero() || now.Sub(l.lastAt) > latencyExpiry {
		return 0
	}
	return time.Duration(math.Round(l.mean * float64(time.Second)))
}

// latencies holds the latency of each model. The zero value is empty.
type latencies struct {
	models map[string]*Latency
	// means is replaced, never modified, so that States may share it.
	means map[string]time.Duration
}

func (l *latencies) observe(now time.Time, model string, sample time.Duration) {
	if l.models == nil {
		l.models = make(map[string]*Latency)
	}
	if l.models[model] == nil {
		l.models[model] = &Latency{}
	}
	l.models[model].Observe(now, sample)
	l.refresh(now)
}

// refresh rebuilds means and removes models without recent samples.
func (l *latencies) refresh(now time.Time) {
	means := make(map[string]time.Duration, len(l.models))
	for model, latency := range l.models {
		mean := latency.Mean(now)
		if mean == 0 {
			delete(l.models, model)
			continue
		}
		means[model] = mean
	}
	l.means = means
}

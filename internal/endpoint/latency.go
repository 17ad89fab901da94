package endpoint

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the mean.
	latencyWeight = 0.1
	// latencyExpiry is the age at which a mean without new samples is no
	// longer taken as known, so that an endpoint that was slow is tried again.
	latencyExpiry = 10 * time.Second
)

// Latency is the recent mean of a time. The zero value is not known. It reads
// no clock and is not safe for concurrent use.
type Latency struct {
	mean   float64
	lastAt time.Time
}

// Observe enters a sample.
func (l *Latency) Observe(now time.Time, sample time.Duration) {
	if l.Mean(now) == 0 {
		l.mean = sample.Seconds()
	}
	l.mean += latencyWeight * (sample.Seconds() - l.mean)
	l.lastAt = now
}

// Mean returns the mean, or zero if it is not known.
func (l *Latency) Mean(now time.Time) time.Duration {
	if l.lastAt.IsZero() || now.Sub(l.lastAt) > latencyExpiry {
		return 0
	}
	return time.Duration(math.Round(l.mean * float64(time.Second)))
}

// latencies is the recent mean by model. The zero value is empty.
type latencies struct {
	models map[string]*Latency
	// means is replaced, never changed, so that states may share it.
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

// refresh forgets models without recent samples.
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

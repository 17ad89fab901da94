package drain

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windows and windowLength bound the age of the requests that an estimate rests on.
	windows, windowLength = 3, 10 * time.Second
	// maxDuration bounds the range of the histograms.
	maxDuration = time.Hour
	// digits is the precision of the durations, in decimal digits.
	digits = 2
	// maxClass bounds the size classes, and with them the memory of the estimates.
	maxClass = 24
)

// Request is what the duration of a request depends on.
type Request struct {
	Service string
	// OutputTokens is the largest number of tokens that the response to a request for a
	// stream may have; zero for other requests.
	OutputTokens int
}

// class returns the request's size class: the number of bits of its output tokens, so that
// the requests of a class differ by a factor of two at most.
func (r Request) class() int { return min(bits.Len(uint(max(r.OutputTokens, 0))), maxClass) }

// Estimator predicts how long requests take from those that ran in the last 20 to 30 s. It
// is safe for concurrent use.
type Estimator struct {
	clock func() time.Time

	mu        sync.Mutex
	rotatedAt time.Time
	// durations are those of requests in milliseconds, by service and size class.
	durations map[string]*[maxClass + 1]*hdrhistogram.WindowedHistogram
}

// NewEstimator returns an Estimator without samples.
func NewEstimator(clock func() time.Time) *Estimator {
	return &Estimator{clock: clock, rotatedAt: clock(), durations: make(map[string]*[maxClass + 1]*hdrhistogram.WindowedHistogram)}
}

// Record records how long a request took to its end.
func (e *Estimator) Record(r Request, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate()
	classes, ok := e.durations[r.Service]
	if !ok {
		classes = new([maxClass + 1]*hdrhistogram.WindowedHistogram)
		e.durations[r.Service] = classes
	}
	h := classes[r.class()]
	if h == nil {
		h = hdrhistogram.NewWindowed(windows, 1, maxDuration.Milliseconds(), digits)
		classes[r.class()] = h
	}
	// The value is within the histogram's range, so that there is no error.
	_ = h.Current.RecordValue(min(max(duration.Milliseconds(), 1), maxDuration.Milliseconds()))
}

// Estimate returns a percentile of the time that a request takes. It returns false if none
// like it ran lately: one of its size class, else of the next larger one, else of the next
// smaller one, in proportion to the size.
func (e *Estimator) Estimate(r Request, percentile float64) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate()
	classes, ok := e.durations[r.Service]
	if !ok {
		return 0, false
	}
	class := r.class()
	if class == 0 { // requests without declared tokens say nothing of those with them
		return valueAt(classes[0], percentile)
	}
	for larger := class; larger <= maxClass; larger++ {
		if expected, ok := valueAt(classes[larger], percentile); ok {
			return expected, true
		}
	}
	for smaller := class - 1; smaller > 0; smaller-- {
		if expected, ok := valueAt(classes[smaller], percentile); ok {
			return time.Duration(min(float64(expected)*math.Exp2(float64(class-smaller)), float64(maxDuration))), true
		}
	}
	return 0, false
}

// rotate drops the requests of the oldest window at its end. It must be called with the
// mutex held.
func (e *Estimator) rotate() {
	now := e.clock()
	for i := 0; i < windows && now.Sub(e.rotatedAt) >= windowLength; i++ {
		for _, classes := range e.durations {
			for _, h := range classes {
				if h != nil {
					h.Rotate()
				}
			}
		}
		e.rotatedAt = e.rotatedAt.Add(windowLength)
	}
	if now.Sub(e.rotatedAt) >= windowLength { // nothing was recorded for all windows
		e.rotatedAt = now
	}
}

// valueAt returns a percentile of the durations in a histogram. It returns false if there
// are none.
func valueAt(h *hdrhistogram.WindowedHistogram, percentile float64) (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	merged := h.Merge()
	return time.Duration(merged.ValueAtQuantile(percentile)) * time.Millisecond, merged.TotalCount() > 0
}

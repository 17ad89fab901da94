package drain

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windows and windowLength bound the age of the requests that an estimate rests on.
	windows, windowLength = 3, 10 * time.Second
	// maxSeconds bounds the durations that are told apart.
	maxSeconds = 300
	// digits is the precision of the durations, in decimal digits.
	digits = 2
)

// Request is what the duration of a request depends on.
type Request struct {
	Service string
	// OutputTokens is the largest number of tokens that the response to a request for a
	// stream may have; zero for other requests.
	OutputTokens int
}

// Estimator predicts how long requests take from those that were served in the last 20 to
// 30 s. It is safe for concurrent use.
type Estimator struct {
	clock func() time.Time

	mu        sync.Mutex
	rotatedAt time.Time
	services  map[string]*durations
}

// durations are those of a service's requests.
type durations struct {
	// firstByte is the time to the first byte in milliseconds, and perToken the time
	// from then to the end, in microseconds for each declared output token.
	firstByte, perToken *hdrhistogram.WindowedHistogram
	// whole is the duration of requests without declared tokens, in milliseconds.
	whole *hdrhistogram.WindowedHistogram
}

// NewEstimator returns an Estimator that knows of no request.
func NewEstimator(clock func() time.Time) *Estimator {
	return &Estimator{clock: clock, rotatedAt: clock(), services: make(map[string]*durations)}
}

// Record records a request whose whole response was relayed.
func (e *Estimator) Record(r Request, firstByte, whole time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate()
	d, ok := e.services[r.Service]
	if !ok {
		d = newDurations()
		e.services[r.Service] = d
	}
	if r.OutputTokens <= 0 {
		record(d.whole, whole.Milliseconds())
		return
	}
	record(d.firstByte, firstByte.Milliseconds())
	record(d.perToken, (whole-firstByte).Microseconds()/int64(r.OutputTokens))
}

// Estimate returns a percentile of the time that a request takes. It returns false if none
// like it was served lately.
func (e *Estimator) Estimate(r Request, percentile float64) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate()
	d, ok := e.services[r.Service]
	if !ok {
		return 0, false
	}
	if r.OutputTokens <= 0 {
		whole, ok := valueAt(d.whole, percentile)
		return time.Duration(whole) * time.Millisecond, ok
	}
	firstByte, _ := valueAt(d.firstByte, percentile)
	perToken, ok := valueAt(d.perToken, percentile)
	return time.Duration(firstByte)*time.Millisecond + time.Duration(perToken)*time.Microsecond*time.Duration(r.OutputTokens), ok
}

// rotate drops the requests of the oldest window at its end. It must be called with the
// mutex held.
func (e *Estimator) rotate() {
	now := e.clock()
	for i := 0; i < windows && now.Sub(e.rotatedAt) >= windowLength; i++ {
		for _, d := range e.services {
			d.firstByte.Rotate()
			d.perToken.Rotate()
			d.whole.Rotate()
		}
		e.rotatedAt = e.rotatedAt.Add(windowLength)
	}
	if now.Sub(e.rotatedAt) >= windowLength { // nothing was recorded for all windows
		e.rotatedAt = now
	}
}

func newDurations() *durations {
	return &durations{
		firstByte: hdrhistogram.NewWindowed(windows, 1, maxSeconds*1000, digits),
		perToken:  hdrhistogram.NewWindowed(windows, 1, maxSeconds*1_000_000, digits),
		whole:     hdrhistogram.NewWindowed(windows, 1, maxSeconds*1000, digits),
	}
}

// record adds a value, limited to the histogram's range.
func record(h *hdrhistogram.WindowedHistogram, value int64) {
	// The value is in range, so that there is no error.
	_ = h.Current.RecordValue(min(max(value, 1), h.Current.HighestTrackableValue()))
}

func valueAt(h *hdrhistogram.WindowedHistogram, percentile float64) (value int64, ok bool) {
	merged := h.Merge()
	return merged.ValueAtQuantile(percentile), merged.TotalCount() > 0
}

package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report tells what became of a load.
type Report struct {
	// Seconds is how long the load ran, answers included.
	Seconds float64 `json:"seconds"`
	// Outcomes counts requests: "ok", "cut", "transport_error", or the code
	// of the refusal.
	Outcomes map[string]int `json:"outcomes"`
	// FirstByte and Total are latencies of the whole answers.
	FirstByte Latency `json:"firstByte"`
	Total     Latency `json:"total"`
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50Millis"`
	P95 float64 `json:"p95Millis"`
	P99 float64 `json:"p99Millis"`
	Max float64 `json:"maxMillis"`
}

func (s *sender) report(elapsed time.Duration) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Report{
		Seconds:   elapsed.Seconds(),
		Outcomes:  s.outcomes,
		FirstByte: latency(s.firstByte),
		Total:     latency(s.total),
	}
}

func latency(h *hdrhistogram.Histogram) Latency {
	const microsPerMilli = 1000.0
	return Latency{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95: float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
	}
}

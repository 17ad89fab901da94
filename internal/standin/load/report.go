package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report summarizes the outcomes and latencies of a load run.
type Report struct {
	// Seconds is the duration of the run, until the last response.
	Seconds float64 `json:"seconds"`
	// Outcomes counts the requests by outcome: "ok", "cut" (incomplete
	// response), "transport_error", or the error code of the response.
	Outcomes map[string]int `json:"outcomes"`
	// FirstByte and Total are the latencies to the first byte and to the end of
	// the body, over the complete responses.
	FirstByte Latency `json:"firstByte"`
	Total     Latency `json:"total"`
}

// Latency holds the percentiles and the maximum of a latency, in milliseconds.
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

// Package quarantine attributes crashes of endpoints to segments of prompts, and tells
// which segments to hold back. A segment is suspected if a request with it was in
// flight at a crash before the endpoint had survived the start of its response, unless
// another request with it survived. The hosts exchange what they saw in their reports,
// so that each of them computes the same holds.
package quarantine

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/exchange"
)

// Segment is the hash of the identifier of a prompt segment.
type Segment uint64

// SegmentOf returns the hash of an identifier.
func SegmentOf(id string) Segment { return Segment(xxhash.Sum64String(id)) }

// String returns the hash in hexadecimal, as log lines show it.
func (s Segment) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// Incarnation identifies one start of an endpoint.
type Incarnation struct {
	Endpoint string
	// StartedMillis is when it started, in Unix milliseconds; zero if unknown.
	StartedMillis int64
}

// SurvivedEvents is the number of events of a stream after which its endpoint has
// survived the start of the response.
const SurvivedEvents = 4

// Quarantine tells which prompt segments to hold back. It is safe for concurrent use
// and implements exchange.Participant.
type Quarantine struct {
	clock func() time.Time
	// holds is read for each request.
	holds atomic.Pointer[map[Segment]hold]
	gauge prometheus.Gauge

	mu       sync.Mutex
	evidence *evidence
	// settle is how long suspects must be known to count, so that peers can clear them.
	settle time.Duration
	// peersAt is when each peer last reported. fullUntil is the end of the time in
	// which reports have the evidence of all hosts, for peers that lack it.
	peersAt   map[string]time.Time
	fullUntil time.Time
}

// New returns a Quarantine that holds nothing back. A nil clock means time.Now.
func New(clock func() time.Time) *Quarantine {
	if clock == nil {
		clock = time.Now
	}
	q := &Quarantine{
		clock: clock, evidence: newEvidence(), settle: exchange.MaxSettleTime, peersAt: make(map[string]time.Time),
		gauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bilberryslip_held_segments",
			Help: "Prompt segments whose requests are held back because endpoints crashed under them.",
		}),
	}
	q.holds.Store(&map[Segment]hold{})
	return q
}

// Collectors returns the metrics.
func (q *Quarantine) Collectors() []prometheus.Collector { return []prometheus.Collector{q.gauge} }

// Held reports whether a segment is held back, and for how long it remains so.
func (q *Quarantine) Held(s Segment) (time.Duration, bool) {
	h, ok := (*q.holds.Load())[s]
	if !ok {
		return 0, false
	}
	return max(0, h.until.Sub(q.clock())), true
}

// RecordBreak records that a request with the segments broke off at an endpoint before
// the endpoint had survived the start of the response. It returns true if the caller
// should check whether the endpoint is gone.
func (q *Quarantine) RecordBreak(endpoint Incarnation, segments []Segment) bool {
	if len(segments) == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	first := q.evidence.addSuspects(now, now, endpoint, segments, true)
	q.update(now)
	return first
}

// RecordGone records that an endpoint is gone: its address refuses connections, or its
// entry vanished although it had not announced its shutdown.
func (q *Quarantine) RecordGone(endpoint Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.evidence.recordGone(now, endpoint)
	q.update(now)
}

// RecordAnswer records that an endpoint answered a request that was sent at a time.
func (q *Quarantine) RecordAnswer(endpoint Incarnation, sentAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.recordAnswer(endpoint, sentAt)
}

// RecordSurvival records that an endpoint survived the start of its response to a
// request with the segments.
func (q *Quarantine) RecordSurvival(segments []Segment) {
	if len(segments) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.recordSurvival(q.clock(), segments)
}

// update computes the holds. It must be called with the mutex held.
func (q *Quarantine) update(now time.Time) {
	q.evidence.prune(now)
	before, after := *q.holds.Load(), q.evidence.holds(now, q.settle)
	if len(before) == 0 && len(after) == 0 {
		return
	}
	for s, h := range after {
		if _, ok := before[s]; !ok {
			logrus.WithFields(logrus.Fields{"segment_hash": s, "crashes": h.crashes, "until": h.until.Format(time.RFC3339)}).
				Warn("prompt segment held back: endpoints crashed under requests with it")
		}
	}
	for s := range before {
		if _, ok := after[s]; !ok {
			logrus.WithField("segment_hash", s).Info("prompt segment no longer held back")
		}
	}
	q.holds.Store(&after)
	q.gauge.Set(float64(len(after)))
}

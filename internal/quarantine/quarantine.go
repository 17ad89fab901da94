// Package quarantine attributes crashes of endpoints to requests, or to segments of
// their prompts, and tells which to hold back. A request and its segments are suspected
// if it was in flight at a crash before the endpoint had survived the start of its
// response, unless the same request, or another one with the segment, survived. The
// hosts exchange what they saw in their reports, so that each of them computes the same
// holds.
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

// Kind is the kind of a Suspect.
type Kind uint8

// The kinds of suspects.
const (
	// KindSegment is a prompt segment that requests may share.
	KindSegment Kind = iota
	// KindRequest is a whole request, whatever its identifier.
	KindRequest
	kinds
)

// String returns the name of the kind, as the state dump shows it.
func (k Kind) String() string { return [kinds]string{"segment", "request"}[k] }

// Suspect is what may crash endpoints.
type Suspect struct {
	Kind Kind
	// Hash identifies it among those of its kind.
	Hash uint64
}

// SegmentOf returns the suspect for a prompt segment with an identifier.
func SegmentOf(id string) Suspect { return Suspect{KindSegment, xxhash.Sum64String(id)} }

// RequestOf returns the suspect for a request.
func RequestOf(key RequestKey) Suspect { return Suspect{KindRequest, key.Hash()} }

// HashText returns the hash in hexadecimal, as log lines show it.
func (s Suspect) HashText() string { return fmt.Sprintf("%016x", s.Hash) }

// Incarnation identifies one start of an endpoint.
type Incarnation struct {
	Endpoint string
	// StartedMillis is when it started, in Unix milliseconds; zero if unknown.
	StartedMillis int64
}

const (
	// minUpdateInterval is the time between two computations of the holds while many
	// reports of crashes arrive.
	minUpdateInterval = 100 * time.Millisecond
	// expiryInterval is that time if nothing changes but the age of the evidence.
	expiryInterval = time.Second
)

// SurvivedEvents is the number of events of a stream after which its endpoint has
// survived the start of the response.
const SurvivedEvents = 4

// Quarantine tells which requests and prompt segments to hold back. It is safe for concurrent use
// and implements exchange.Participant.
type Quarantine struct {
	clock func() time.Time
	// holds is read for each request.
	holds  atomic.Pointer[map[Suspect]hold]
	gauges [kinds]prometheus.Gauge

	mu       sync.Mutex
	evidence *evidence
	// settle is how long suspects must be known to count, so that peers can clear them.
	settle time.Duration
	// changedAt is when the evidence last changed, updatedAt when the holds were last
	// computed.
	changedAt, updatedAt time.Time
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
		gauges: [kinds]prometheus.Gauge{
			KindSegment: prometheus.NewGauge(prometheus.GaugeOpts{
				Name: "bilberryslip_held_segments",
				Help: "Prompt segments whose requests are held back because endpoints crashed under them.",
			}),
			KindRequest: prometheus.NewGauge(prometheus.GaugeOpts{
				Name: "bilberryslip_held_requests",
				Help: "Requests whose repeats are held back because endpoints crashed under them.",
			}),
		},
	}
	q.holds.Store(&map[Suspect]hold{})
	return q
}

// Collectors returns the metrics.
func (q *Quarantine) Collectors() []prometheus.Collector {
	return []prometheus.Collector{q.gauges[KindSegment], q.gauges[KindRequest]}
}

// Held reports whether a request or segment is held back, and for how long it remains
// so.
func (q *Quarantine) Held(s Suspect) (time.Duration, bool) {
	h, ok := (*q.holds.Load())[s]
	if !ok {
		return 0, false
	}
	return max(0, h.until.Sub(q.clock())), true
}

// RecordBreak records that a request broke off at an endpoint before the endpoint had
// survived the start of the response. The suspects are the request and its segments. It
// returns true if the caller should check whether the endpoint is gone.
func (q *Quarantine) RecordBreak(endpoint Incarnation, suspects []Suspect) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	first := q.evidence.addSuspects(now, now, endpoint, suspects, true)
	q.updateOften(now)
	return first
}

// RecordGone records that an endpoint is gone: its address refuses connections, or its
// entry vanished although it had not announced its shutdown.
func (q *Quarantine) RecordGone(endpoint Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.evidence.recordGone(now, endpoint)
	q.updateOften(now)
}

// RecordAnswer records that an endpoint answered a request that was sent at a time.
func (q *Quarantine) RecordAnswer(endpoint Incarnation, sentAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.recordAnswer(endpoint, sentAt)
}

// RecordSurvival records that an endpoint survived the start of its response to a
// request. The suspects are the request and its segments.
func (q *Quarantine) RecordSurvival(suspects []Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	q.evidence.recordSurvival(now, suspects)
	if len(*q.holds.Load()) > 0 {
		q.changedAt = now
	}
}

// updateOften notes that the evidence changed, and computes the holds unless that was
// done just now; then the next report or round does it. It must be called with the mutex
// held.
func (q *Quarantine) updateOften(now time.Time) {
	q.changedAt = now
	if now.Sub(q.updatedAt) >= minUpdateInterval {
		q.update(now)
	}
}

// update computes the holds. It must be called with the mutex held.
func (q *Quarantine) update(now time.Time) {
	q.updatedAt = now
	q.evidence.prune(now)
	before, after := *q.holds.Load(), q.evidence.holds(now, q.settle)
	if len(before) == 0 && len(after) == 0 {
		return
	}
	var counts [kinds]int
	for s, h := range after {
		counts[s.Kind]++
		if _, ok := before[s]; !ok {
			logrus.WithFields(logrus.Fields{s.Kind.String() + "_hash": s.HashText(), "crashes": h.crashes, "until": h.until.Format(time.RFC3339)}).
				Warn(holdEvents[s.Kind])
		}
	}
	for s := range before {
		if _, ok := after[s]; !ok {
			logrus.WithField(s.Kind.String()+"_hash", s.HashText()).Info(releaseEvents[s.Kind])
		}
	}
	q.holds.Store(&after)
	for kind, count := range counts {
		q.gauges[kind].Set(float64(count))
	}
}

// holdEvents and releaseEvents are the log events at the start and end of a hold.
var (
	holdEvents = [kinds]string{
		KindSegment: "prompt segment held back: endpoints crashed under requests with it",
		KindRequest: "repeats of a request held back: endpoints crashed under it",
	}
	releaseEvents = [kinds]string{
		KindSegment: "prompt segment no longer held back",
		KindRequest: "repeats of a request no longer held back",
	}
)

// Package decisions records the decisions of the system (place, refuse, move,
// stop, route) together with their inputs, answers queries, and writes all but
// routing decisions to the platform in segments.
package decisions

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Defaults of Config.
const (
	DefaultCapacity      = 8192
	DefaultFlushInterval = 10 * time.Second
	DefaultRetention     = 24 * time.Hour
	// DefaultQueryLimit is the maximum number of records returned for a query
	// that sets no limit.
	DefaultQueryLimit = 100
)

// Config configures a Recorder.
type Config struct {
	// Host and Zone are set on each record.
	Host string
	Zone string
	// Store receives the segments. Nil keeps records in memory only.
	Store objectstore.Store
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// Capacity is the maximum number of records kept in memory for queries,
	// and separately of records queued for the platform. Zero means
	// DefaultCapacity.
	Capacity int
	// FlushInterval is the time between two segment writes. Zero means
	// DefaultFlushInterval.
	FlushInterval time.Duration
	// Retention is the time after which segments are deleted. Zero means
	// DefaultRetention.
	Retention time.Duration
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	if c.FlushInterval <= 0 {
		c.FlushInterval = DefaultFlushInterval
	}
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	return c
}

// Recorder keeps the newest decisions in a ring buffer in memory and queues
// those to be written to the platform. It is safe for concurrent use, except
// that only one goroutine may call Sweep. The zero value is not usable; call
// New.
type Recorder struct {
	cfg     Config
	metrics recorderMetrics

	mu      sync.Mutex
	entropy *ulid.MonotonicEntropy
	ring    []*apiv1.Decision
	next    int
	// pending holds the decisions queued for the next segment, oldest first.
	pending []*apiv1.Decision
	// lastFlush is the time of the last segment write; zero before the first.
	lastFlush time.Time
	// ignored logs the segments that can't be decoded.
	ignored objectstore.IgnoredLog

	sweep sweepState
}

// New returns a Recorder. Segments are written and deleted while its Serve
// runs.
func New(cfg Config) *Recorder {
	cfg = cfg.withDefaults()
	return &Recorder{
		cfg:     cfg,
		metrics: newRecorderMetrics(),
		entropy: ulid.Monotonic(newEntropy(), 0),
		ring:    make([]*apiv1.Decision, cfg.Capacity),
	}
}

// newEntropy returns a source of random bytes for identifiers, seeded from the
// runtime's random generator.
func newEntropy() *rand.ChaCha8 {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(rand.Uint32())
	}
	return rand.NewChaCha8(seed)
}

// Record stores a copy of the decision with its identifier, host, zone and
// time set, and returns the identifier. All but routing decisions are also
// queued for the platform.
func (r *Recorder) Record(decision *apiv1.Decision) string {
	entry := proto.Clone(decision).(*apiv1.Decision)
	now := r.cfg.Now()
	entry.Host = r.cfg.Host
	entry.Zone = r.cfg.Zone
	entry.UnixMillis = now.UnixMilli()
	r.metrics.recorded.WithLabelValues(kindLabel(entry.Kind)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.Id = ulid.MustNew(ulid.Timestamp(now), r.entropy).String()
	r.ring[r.next] = entry
	r.next = (r.next + 1) % len(r.ring)
	if r.cfg.Store != nil && entry.Kind != apiv1.DecisionKind_DECISION_KIND_ROUTE {
		r.enqueue(entry)
	}
	return entry.Id
}

// enqueue adds a decision to the queue for the platform. It drops the oldest
// when the queue is full, as in a long outage of the platform. The caller
// holds mu.
func (r *Recorder) enqueue(decision *apiv1.Decision) {
	if len(r.pending) >= r.cfg.Capacity {
		r.pending = r.pending[1:]
		r.metrics.dropped.Inc()
	}
	r.pending = append(r.pending, decision)
}

// Query returns the matching records in memory, newest first, up to the
// request's limit.
func (r *Recorder) Query(req *apiv1.DecisionsRequest) []*apiv1.Decision {
	limit := queryLimit(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*apiv1.Decision
	for i := 1; i <= len(r.ring) && len(found) < limit; i++ {
		decision := r.ring[(r.next-i+len(r.ring))%len(r.ring)]
		if decision == nil {
			break
		}
		if matches(req, decision) {
			found = append(found, decision)
		}
	}
	return found
}

func queryLimit(req *apiv1.DecisionsRequest) int {
	if req.GetLimit() <= 0 {
		return DefaultQueryLimit
	}
	return int(req.GetLimit())
}

func matches(req *apiv1.DecisionsRequest, d *apiv1.Decision) bool {
	return (req.GetKind() == apiv1.DecisionKind_DECISION_KIND_UNSPECIFIED || req.GetKind() == d.Kind) &&
		matchesText(req.GetId(), d.Id) &&
		matchesText(req.GetOrganisation(), d.Organisation) &&
		matchesText(req.GetModel(), d.Model) &&
		matchesText(req.GetEndpoint(), d.Endpoint) &&
		matchesText(req.GetRequestId(), d.RequestId) &&
		d.UnixMillis >= req.GetSinceUnixMillis() &&
		(req.GetUntilUnixMillis() == 0 || d.UnixMillis <= req.GetUntilUnixMillis())
}

func matchesText(want, got string) bool { return want == "" || want == got }

func kindLabel(kind apiv1.DecisionKind) string {
	switch kind {
	case apiv1.DecisionKind_DECISION_KIND_PLACE:
		return "place"
	case apiv1.DecisionKind_DECISION_KIND_REFUSE:
		return "refuse"
	case apiv1.DecisionKind_DECISION_KIND_MOVE:
		return "move"
	case apiv1.DecisionKind_DECISION_KIND_STOP:
		return "stop"
	case apiv1.DecisionKind_DECISION_KIND_ROUTE:
		return "route"
	default:
		return "unspecified"
	}
}

// recorderState is the recorder's section of the state dump.
type recorderState struct {
	Kept             int   `json:"kept"`
	Waiting          int   `json:"waiting"`
	SegmentAgeMillis int64 `json:"segmentAgeMillis"`
}

// DumpState returns the number of records in memory and in the queue for the
// platform, and the time since the last segment write in milliseconds, or -1
// if none was written.
func (r *Recorder) DumpState() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := recorderState{Waiting: len(r.pending), SegmentAgeMillis: -1}
	for _, d := range r.ring {
		if d != nil {
			state.Kept++
		}
	}
	if !r.lastFlush.IsZero() {
		state.SegmentAgeMillis = r.cfg.Now().Sub(r.lastFlush).Milliseconds()
	}
	return state
}

type recorderMetrics struct {
	recorded *prometheus.CounterVec
	dropped  prometheus.Counter
	segments prometheus.Counter
}

func newRecorderMetrics() recorderMetrics {
	return recorderMetrics{
		recorded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_decisions_total",
			Help: "Decisions recorded, by kind.",
		}, []string{"kind"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryslip_decisions_dropped_total",
			Help: "Decisions dropped before they were written to the platform.",
		}),
		segments: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryslip_decision_segments_total",
			Help: "Segments of decisions written to the platform.",
		}),
	}
}

// Collectors returns the recorder's metrics for registration.
func (r *Recorder) Collectors() []prometheus.Collector {
	return []prometheus.Collector{r.metrics.recorded, r.metrics.dropped, r.metrics.segments}
}

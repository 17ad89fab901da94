// Package streamorigin remembers at which version of the endpoints' software streams
// began. Events of two versions don't fit together, so that a stream that its caller
// takes up again, at any host, may go on only at the version that began it. Each host
// reports the streams that it relays while several versions of their service are
// listed. The versions that services had lately are kept in the store, so that a host that
// has just started also has those that are no longer listed.
package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/exchange"
)

const (
	// maxOrigins bounds the origins that are kept; the least recently reported are
	// dropped first.
	maxOrigins = 16384
	// maxReported bounds the streams in one report.
	maxReported = 2048
	// newPeerAge is the age up to which a process lacks earlier reports. The streams of
	// all hosts of the last resendAge are reported to it for resendFor.
	newPeerAge, resendAge, resendFor = 2 * time.Second, 15 * time.Second, time.Second
	// maxWait bounds the wait for a peer's report of a stream that has just begun.
	maxWait = 500 * time.Millisecond
	// observeInterval bounds the age of the list by which new streams begin.
	observeInterval = 100 * time.Millisecond
)

// stream identifies a stream: a hash of its service and of the identifier of the
// caller's attempt that brought its first event.
type stream uint64

func streamOf(service, attempt string) stream {
	return stream(xxhash.Sum64String(service + "\x00" + attempt))
}

// origin is where a stream began, and when that was last reported or the stream ended
// here.
type origin struct {
	service, software string
	at                time.Time
}

// relayed is a stream that this host relays, or did just now.
type relayed struct {
	origin
	// attempts counts the attempts of its caller that are in progress here.
	attempts int
}

// Listed returns the software versions of the listed endpoints by service.
type Listed func() map[string][]string

// Config configures Origins.
type Config struct {
	Listed Listed
	// Clock returns the current time; only differences count. Nil means time.Now.
	Clock func() time.Time
	// Recorded is set if the versions are kept in the store, by way of Restore, Record and
	// Written. Otherwise the versions listed since the start are taken for all that there
	// were, and streams begin at each of them.
	Recorded bool
}

// Origins tells where streams began. It is safe for concurrent use and implements
// exchange.Participant.
type Origins struct {
	clock   func() time.Time
	listed  Listed
	metrics metrics

	mu    sync.Mutex
	known *lru.Cache[stream, origin]
	own   map[stream]*relayed
	// history is the software versions that this host or a peer has listed, observed last
	// at observedAt.
	history    history
	observedAt time.Time
	// interval is the time between two reports of a peer, settle that in which peers learn
	// of what this host reports.
	interval, settle time.Duration
	// fullUntil is the end of the time in which reports have the streams of all hosts, for
	// peers that have just started.
	fullUntil time.Time
	// changed is closed and replaced when a peer reports streams.
	changed chan struct{}
}

// New returns Origins that know of no stream.
func New(cfg Config) *Origins {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	known, err := lru.New[stream, origin](maxOrigins)
	if err != nil {
		panic(err) // returned only for a size below one
	}
	o := &Origins{
		clock: cfg.Clock, listed: cfg.Listed, known: known, own: make(map[stream]*relayed),
		history: newHistory(cfg.Clock()), interval: maxWait, settle: maxWait, changed: make(chan struct{}),
	}
	if !cfg.Recorded {
		o.history.source = SourceNotKept
	}
	o.metrics = newMetrics(o)
	return o
}

// Collectors returns the metrics.
func (o *Origins) Collectors() []prometheus.Collector { return o.metrics.collectors() }

// Begin records that the first event of an attempt of a stream's caller is about to be
// relayed from an endpoint with a software version. The stream is named by its service
// and the attempt that brought its first event. The returned function must be called
// when the attempt ends.
func (o *Origins) Begin(service, attempt, software string) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, now := streamOf(service, attempt), o.clock()
	o.history.note(service, software, now, now)
	r, ok := o.own[id]
	if !ok {
		r = &relayed{origin: origin{service, software, now}}
		o.own[id] = r
	}
	o.known.Add(id, r.origin)
	r.attempts++
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		r.attempts--
		r.at = o.clock()
		o.known.Add(id, r.origin)
	}
}

// MayBegin returns the software versions of a service at which new streams may begin; nil
// means any. One that appeared just now is missing until it is recorded and known to the
// peers.
func (o *Origins) MayBegin(service string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if now.Sub(o.observedAt) >= observeInterval || len(o.history.services[service]) == 0 {
		o.observe(now)
	}
	return o.history.mayBegin(service, now, o.settle)
}

// Find returns the software version at which a stream may go on. If several versions may
// have begun it, or the versions are not known yet, it waits a short time for a peer's
// report of the stream or for the record. It returns false if the version remains unknown.
func (o *Origins) Find(ctx context.Context, service, attempt string) (software string, known bool) {
	ctx, cancel := context.WithTimeout(ctx, o.wait())
	defer cancel()
	for {
		software, result, changed := o.find(service, attempt)
		if software, final := software, result.final(attempt); final {
			o.metrics.lookups.WithLabelValues(string(result)).Inc()
			return software, result.found()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			o.metrics.lookups.WithLabelValues(string(result)).Inc()
			return "", false
		}
	}
}

// result is how a lookup of a stream's origin ended.
type result string

const (
	// resultReported means that this host or a peer relayed the stream.
	resultReported result = "reported"
	// resultOnly means that the service had one version only.
	resultOnly result = "only_version"
	// resultMixed means that several versions may have begun the stream.
	resultMixed result = "several_versions"
	// resultNoHistory means that this host does not know yet which versions there were.
	resultNoHistory result = "no_history"
)

func (r result) found() bool { return r == resultReported || r == resultOnly }

// final reports whether waiting can't change the result. A stream that its caller didn't
// name is not in any report.
func (r result) final(attempt string) bool { return r.found() || r == resultMixed && attempt == "" }

// wait returns how long a peer's report of a stream that has just begun may take, or the
// record if it has not been read.
func (o *Origins) wait() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.history.source == SourceNone {
		return maxWait
	}
	return min(2*o.interval, maxWait)
}

func (o *Origins) find(service, attempt string) (software string, r result, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.observe(now)
	if attempt != "" {
		if found, ok := o.known.Get(streamOf(service, attempt)); ok && now.Sub(found.at) <= memory {
			return found.software, resultReported, nil
		}
	}
	if o.history.source == SourceNone {
		return "", resultNoHistory, o.changed
	}
	if versions := o.history.counted(service, now); len(versions) == 1 {
		for only := range versions {
			return only, resultOnly, nil
		}
	}
	return "", resultMixed, o.changed
}

// observe notes which versions are listed. It must be called with the mutex held.
func (o *Origins) observe(now time.Time) {
	o.observedAt = now
	o.history.observe(o.listed(), now)
}

// notify wakes the lookups that wait. It must be called with the mutex held.
func (o *Origins) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// SetReachability implements exchange.Participant.
func (o *Origins) SetReachability(reachability exchange.Reachability) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.interval, o.settle = reachability.Interval, reachability.SettleTime()
	o.observe(now)
	// Streams that have ended are reported once more, for those that began and ended
	// between two reports.
	for id, r := range o.own {
		switch {
		case r.attempts > 0: // its caller may take it up within memory after its end
			o.history.note(r.service, r.software, now, now)
		case now.Sub(r.at) > 2*o.interval:
			delete(o.own, id)
		}
	}
}

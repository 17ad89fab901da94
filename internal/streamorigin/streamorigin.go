// Package streamorigin remembers at which version of the endpoints' software streams
// began. Events of two versions don't fit together, so that a stream that its caller
// takes up again, at any host, may go on only at the version that began it. Each host
// reports the streams that it relays while several versions of their service are
// listed. The versions that services had lately are kept in the store, so that a host that
// has just started also has those that are no longer listed. What a host knows counts
// while it is recent, by a clock that runs while the process or the machine stands still.
package streamorigin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/clock"
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
	// ListedAt returns the latest time, by Clock, of which Listed shows all endpoints that
	// the store held then; zero if that is unknown. Nil means that it always is.
	ListedAt func() time.Time
	// Clock returns the current time; only differences count. Nil means clock.Boot.
	Clock func() time.Time
	// Recorded is set if the versions are kept in the store, by way of Restore, Record and
	// Written. Otherwise the versions listed since the start are taken for all that there
	// were, and streams begin at each of them.
	Recorded bool
}

// Origins tells where streams began. It is safe for concurrent use and implements
// exchange.Participant.
type Origins struct {
	clock, listedAt func() time.Time
	listed          Listed
	metrics         metrics

	mu    sync.Mutex
	known *lru.Cache[stream, origin]
	own   map[stream]*relayed
	// history is the software versions that this host or a peer has listed, observed last
	// at observedAt.
	history    history
	observedAt time.Time
	// currency is how recent the history is.
	currency currency
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
		cfg.Clock = clock.Boot
	}
	if cfg.ListedAt == nil {
		cfg.ListedAt = func() time.Time { return time.Time{} }
	}
	known, err := lru.New[stream, origin](maxOrigins)
	if err != nil {
		panic(err) // returned only for a size below one
	}
	o := &Origins{
		clock: cfg.Clock, listedAt: cfg.ListedAt, listed: cfg.Listed, currency: newCurrency(), known: known, own: make(map[stream]*relayed),
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
// peers, and all are while a host that stood still lacks recent knowledge, for maxHoldAlone
// at most.
func (o *Origins) MayBegin(service string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if now.Sub(o.observedAt) >= observeInterval || len(o.history.services[service]) == 0 {
		o.observe(now)
	}
	if o.resuming(now) {
		return []string{}
	}
	return o.history.mayBegin(service, now, func(v *version) bool { return o.settled(v, now) })
}

// settled reports whether all peers that may be serving know of a version, or can no longer
// take their knowledge for recent without knowing of it. It must be called with the mutex
// held.
func (o *Origins) settled(v *version, now time.Time) bool {
	known := now.Sub(v.since)
	return known >= o.settle && (v.first || known >= o.currency.maxAge()+holdMargin || !o.currency.unconfirmed(v.confirmed, now))
}

// resuming reports whether this process has just resumed after it stood still, and may list
// a version that its peers have forgotten meanwhile. It must be called with the mutex held.
func (o *Origins) resuming(now time.Time) bool {
	return !o.history.resumedAt.IsZero() && now.Sub(o.history.resumedAt) < maxHoldAlone && !o.current(now)
}

// current reports whether the history is recent. It must be called with the mutex held.
func (o *Origins) current(now time.Time) bool {
	return o.history.source == SourceNotKept || o.currency.current(now)
}

// Find returns the software version at which a stream may go on. If several versions may
// have begun it, or the versions are not known yet or not by recent knowledge, it waits a
// short time for reports of peers or for the record. It returns false if the version remains unknown.
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
	// resultOutdated means that this host has not learned lately which versions there are.
	resultOutdated result = "outdated_history"
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
	if o.history.source == SourceNone || !o.current(o.clock()) {
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
		if !o.current(now) {
			return "", resultOutdated, o.changed
		}
		for only := range versions {
			return only, resultOnly, nil
		}
	}
	return "", resultMixed, o.changed
}

// observe notes which versions are listed. It must be called with the mutex held.
func (o *Origins) observe(now time.Time) {
	o.observedAt = now
	listedAt := o.listedAt() // before the list, which may be more recent
	hadHistory := o.history.source != SourceNone
	o.history.observe(o.listed(), now)
	if !hadHistory && o.history.source != SourceNone {
		o.currency.begin(now)
	}
	o.currency.advanceByList(listedAt)
	o.currency.advanceByPeers(now)
	o.currency.logChange(now)
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
	o.currency.interval = reachability.Interval
	o.currency.addPeers(slices.Concat(reachability.Reachable, reachability.Unreachable), now)
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

// Package streamorigin remembers at which version of the endpoints' software streams
// began. Events of two versions don't fit together, so that a stream that its caller
// takes up again, at any host, may go on only at the version that began it. Each host
// reports the streams that it relays while several versions of their service are
// listed.
package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"bilberryslip.example/bilberryslip/internal/exchange"
)

const (
	// memory is how long a version counts after it was last listed, and an origin after
	// it was last reported. Callers take streams up within their deadlines, which are
	// shorter.
	memory = time.Minute
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

// Origins tells where streams began. It is safe for concurrent use and implements
// exchange.Participant.
type Origins struct {
	clock  func() time.Time
	listed Listed

	mu    sync.Mutex
	known *lru.Cache[stream, origin]
	own   map[stream]*relayed
	// versions are the software versions by service that this host or a peer has listed,
	// with the last time.
	versions map[string]map[string]time.Time
	interval time.Duration
	// fullUntil is the end of the time in which reports have the streams of all hosts, for
	// peers that have just started.
	fullUntil time.Time
	// changed is closed and replaced when a peer reports streams.
	changed chan struct{}
}

// New returns Origins that know of no stream. A nil clock means time.Now.
func New(listed Listed, clock func() time.Time) *Origins {
	if clock == nil {
		clock = time.Now
	}
	known, err := lru.New[stream, origin](maxOrigins)
	if err != nil {
		panic(err) // returned only for a size below one
	}
	return &Origins{
		clock: clock, listed: listed, known: known, own: make(map[stream]*relayed),
		versions: make(map[string]map[string]time.Time), interval: maxWait, changed: make(chan struct{}),
	}
}

// Begin records that the first event of an attempt of a stream's caller is about to be
// relayed from an endpoint with a software version. The stream is named by its service
// and the attempt that brought its first event. The returned function must be called
// when the attempt ends.
func (o *Origins) Begin(service, attempt, software string) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := streamOf(service, attempt)
	r, ok := o.own[id]
	if !ok {
		r = &relayed{origin: origin{service, software, o.clock()}}
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

// Find returns the software version at which a stream may go on. If several versions may
// have begun it, it waits a short time for a peer's report of the stream. It returns
// false if the version remains unknown.
func (o *Origins) Find(ctx context.Context, service, attempt string) (software string, known bool) {
	ctx, cancel := context.WithTimeout(ctx, o.wait())
	defer cancel()
	for {
		software, known, changed := o.find(service, attempt)
		if known || attempt == "" {
			return software, known
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false
		}
	}
}

// wait returns how long a peer's report of a stream that has just begun may take.
func (o *Origins) wait() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return min(2*o.interval, maxWait)
}

func (o *Origins) find(service, attempt string) (software string, known bool, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.observe(now)
	if attempt != "" {
		if found, ok := o.known.Get(streamOf(service, attempt)); ok && now.Sub(found.at) <= memory {
			return found.software, true, nil
		}
	}
	if versions := o.versions[service]; len(versions) == 1 {
		for only := range versions {
			return only, true, nil
		}
	}
	return "", false, o.changed
}

// observe notes which versions are listed and forgets those that no longer were for
// memory. It must be called with the mutex held.
func (o *Origins) observe(now time.Time) {
	for service, list := range o.listed() {
		for _, software := range list {
			o.noteVersion(service, software, now)
		}
	}
	for service, versions := range o.versions {
		for software, at := range versions {
			if now.Sub(at) > memory {
				delete(versions, software)
			}
		}
		if len(versions) == 0 {
			delete(o.versions, service)
		}
	}
}

func (o *Origins) noteVersion(service, software string, at time.Time) {
	versions, ok := o.versions[service]
	if !ok {
		versions = make(map[string]time.Time)
		o.versions[service] = versions
	}
	if at.After(versions[software]) {
		versions[software] = at
	}
}

// SetReachability implements exchange.Participant.
func (o *Origins) SetReachability(reachability exchange.Reachability) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.interval = reachability.Interval
	o.observe(now)
	// Streams that have ended are reported once more, for those that began and ended
	// between two reports.
	for id, r := range o.own {
		if r.attempts == 0 && now.Sub(r.at) > 2*o.interval {
			delete(o.own, id)
		}
	}
}

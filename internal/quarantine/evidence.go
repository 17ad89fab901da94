package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// evidenceTTL is how long a crash counts. What is held back is tried again after
	// it.
	evidenceTTL = 10 * time.Minute
	// confirmWithin is the maximum time from the first request that breaks off at an
	// endpoint to the sign that the endpoint is gone. Its entry in the store expires
	// within that time.
	confirmWithin = 5 * time.Second
	// clockTolerance is by how much the times that hosts compute from each other's
	// reports may differ.
	clockTolerance = time.Second
	// clearedFor is how long before a crash a request, or one with a segment, must have
	// survived for the request or segment not to be suspected.
	clearedFor = time.Minute
	// maxSurvived is the number of suspects of each kind of which the last survival is
	// kept.
	maxSurvived = 4096
	// maxCrashes bounds the crashes that are kept.
	maxCrashes = 128
)

// maxSuspects bounds the suspects of each kind of a crash: an engine may run some
// hundred requests, which have few segments that are not cleared.
var maxSuspects = [kinds]int{KindSegment: 64, KindRequest: 256}

// crash is what is known of the crash of an endpoint.
type crash struct {
	// at is when the first request broke off there.
	at time.Time
	// confirmed is set once the endpoint is known to be gone.
	confirmed bool
	// suspects are the requests that were in flight at the start of their responses,
	// and their segments, with the time at which this host learned of them.
	// ownSuspects are those of this host's requests, counts the numbers by kind.
	suspects    map[Suspect]time.Time
	ownSuspects map[Suspect]bool
	counts      [kinds]int
}

func (c *crash) add(now time.Time, s Suspect) {
	if _, known := c.suspects[s]; !known && c.counts[s.Kind] < maxSuspects[s.Kind] {
		c.suspects[s] = now
		c.counts[s.Kind]++
	}
}

func (c *crash) remove(s Suspect) {
	delete(c.suspects, s)
	delete(c.ownSuspects, s)
	c.counts[s.Kind]--
}

// evidence is what this host and its peers have seen of crashes. It is not safe for
// concurrent use.
type evidence struct {
	crashes map[Incarnation]*crash
	// gone are the endpoints that are known to be gone, with the time at which they
	// were seen to be.
	gone *lru.Cache[Incarnation, time.Time]
	// survived is when a request of this host last survived the start of its response,
	// by kind of suspect; peersSurvived is the same for peers' requests, as far as they
	// are suspected.
	survived, peersSurvived [kinds]*lru.Cache[Suspect, time.Time]
	// restored are holds that an earlier process has stored.
	restored map[Suspect]hold
	// disputedAt is when what survived was last suspected.
	disputedAt *lru.Cache[Suspect, time.Time]
}

func newEvidence() *evidence {
	e := &evidence{
		crashes: make(map[Incarnation]*crash), restored: make(map[Suspect]hold), gone: newCache[Incarnation](maxCrashes),
		disputedAt: newCache[Suspect](maxSuspects[KindSegment] + maxSuspects[KindRequest]),
	}
	for kind := range kinds {
		e.survived[kind], e.peersSurvived[kind] = newCache[Suspect](maxSurvived), newCache[Suspect](maxSurvived)
	}
	return e
}

func newCache[K comparable](size int) *lru.Cache[K, time.Time] {
	cache, err := lru.New[K, time.Time](size)
	if err != nil {
		panic(err) // returned only for a size below one
	}
	return cache
}

// addSuspects records suspects of requests that broke off at an endpoint at a time. It
// returns true for the first suspects of this host if nothing confirms the crash yet.
func (e *evidence) addSuspects(now, at time.Time, endpoint Incarnation, suspects []Suspect, own bool) bool {
	c, ok := e.crashes[endpoint]
	if !ok {
		if len(e.crashes) >= maxCrashes {
			e.dropOldest()
		}
		c = &crash{at: at, suspects: make(map[Suspect]time.Time), ownSuspects: make(map[Suspect]bool)}
		e.crashes[endpoint] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	known := len(c.ownSuspects)
	for _, s := range suspects {
		if e.cleared(s, at) {
			if !own {
				e.disputedAt.Add(s, now)
			}
			continue
		}
		c.add(now, s)
		if _, added := c.suspects[s]; added && own {
			c.ownSuspects[s] = true
		}
	}
	if goneAt, ok := e.gone.Peek(endpoint); ok {
		e.confirm(endpoint, goneAt)
	}
	return known == 0 && len(c.ownSuspects) > 0 && !c.confirmed
}

func (e *evidence) dropOldest() {
	var oldest Incarnation
	var oldestAt time.Time
	for endpoint, c := range e.crashes {
		if oldestAt.IsZero() || c.at.Before(oldestAt) {
			oldest, oldestAt = endpoint, c.at
		}
	}
	delete(e.crashes, oldest)
}

// recordGone records that an endpoint is gone.
func (e *evidence) recordGone(now time.Time, endpoint Incarnation) {
	if known, ok := e.gone.Peek(endpoint); !ok || now.Sub(known) > confirmWithin {
		e.gone.Add(endpoint, now)
	}
	e.confirm(endpoint, now)
}

// confirm marks the endpoint as crashed if it was gone soon after requests broke off.
func (e *evidence) confirm(endpoint Incarnation, goneAt time.Time) {
	if c, ok := e.crashes[endpoint]; ok {
		since := goneAt.Sub(c.at)
		c.confirmed = c.confirmed || since >= -clockTolerance && since <= confirmWithin
	}
}

// recordAnswer drops a crash that nothing confirms if the endpoint answered a request
// that was sent after it. If it is confirmed, the answer is that of a successor with the
// same identifier whose entry has not been read yet.
func (e *evidence) recordAnswer(endpoint Incarnation, sentAt time.Time) {
	if c, ok := e.crashes[endpoint]; ok && !c.confirmed && sentAt.After(c.at) {
		delete(e.crashes, endpoint)
	}
}

// recordSurvival records that a request of this host survived the start of its
// response.
func (e *evidence) recordSurvival(now time.Time, suspects []Suspect) {
	for _, s := range suspects {
		e.survived[s.Kind].Add(s, now)
	}
}

// recordPeerSurvival records that a request of a peer survived at a time.
func (e *evidence) recordPeerSurvival(at time.Time, s Suspect) {
	if known, _ := e.peersSurvived[s.Kind].Peek(s); at.After(known) {
		e.peersSurvived[s.Kind].Add(s, at)
	}
}

// cleared reports whether something is not to be suspected of a crash at a time,
// because a request with it survived after that or shortly before.
func (e *evidence) cleared(s Suspect, crashAt time.Time) bool {
	since := crashAt.Add(-clearedFor)
	own, _ := e.survived[s.Kind].Peek(s)
	peers, _ := e.peersSurvived[s.Kind].Peek(s)
	return own.After(since) || peers.After(since)
}

// prune drops crashes that are too old or were not confirmed in time, and suspects
// that were cleared.
func (e *evidence) prune(now time.Time) {
	for endpoint, c := range e.crashes {
		age := now.Sub(c.at)
		if age > evidenceTTL || !c.confirmed && age > confirmWithin+clockTolerance {
			delete(e.crashes, endpoint)
			continue
		}
		for s := range c.suspects {
			if e.cleared(s, c.at) {
				c.remove(s)
				e.disputedAt.Add(s, now)
			}
		}
	}
}

// hold tells why requests are held back.
type hold struct {
	// crashes is the number of crashes that the suspect explains.
	crashes int
	// until is when the evidence no longer suffices.
	until time.Time
}

// holds returns what to hold back. Suspects count once they have been known for settle,
// in which peers can clear them.
func (e *evidence) holds(now time.Time, settle time.Duration) map[Suspect]hold {
	var crashes []suspicion
	for _, c := range e.crashes {
		if !c.confirmed {
			continue
		}
		settled := suspicion{at: c.at}
		for s, knownAt := range c.suspects {
			if now.Sub(knownAt) >= settle {
				settled.suspects = append(settled.suspects, s)
			}
		}
		crashes = append(crashes, settled)
	}
	holds := make(map[Suspect]hold)
	for s, times := range attribute(crashes) {
		holds[s] = hold{crashes: len(times), until: times[len(times)-minCrashes].Add(evidenceTTL)}
	}
	e.addRestored(now, holds)
	return holds
}

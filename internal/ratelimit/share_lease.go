package ratelimit

import (
	"cmp"
	"time"

	"bilberryslip.example/bilberryslip/internal/membership"
)

// LeaseConfig configures how long a process may use its units without renewing
// its leases, that is, without confirmation that its ledger entry is unmarked,
// and how long reclaimers wait before they free them. Zero values select the
// defaults.
type LeaseConfig struct {
	// Short is the lease on the units above the floor. Default 20 s.
	Short time.Duration
	// Floor is the lease on the floor against the entry's reclaimers. Default
	// 15 min.
	Floor time.Duration
	// Long is the lease on all units against every host, also without the
	// reclaimers' consent. Default 12 h.
	Long time.Duration
	// Promise is how long a reclaimer promises the holder not to consent to a
	// reclaim. Default 10 s.
	Promise time.Duration
	// FloorFraction is the fraction of the units in the floor. Default 0.5.
	FloorFraction float64
	// Drift is the largest relative difference between the clock rates of two
	// hosts. Default 0.01.
	Drift float64
	// DeadAfter is how long the membership must have listed a holder as dead
	// before its reclaimers mark its entry. Default 3 s.
	DeadAfter time.Duration
}

func (c LeaseConfig) withDefaults() LeaseConfig {
	c.Short = cmp.Or(c.Short, 20*time.Second)
	c.Floor = cmp.Or(c.Floor, 15*time.Minute)
	c.Long = cmp.Or(c.Long, 12*time.Hour)
	c.Promise = cmp.Or(c.Promise, 10*time.Second)
	c.FloorFraction = cmp.Or(c.FloorFraction, 0.5)
	c.Drift = cmp.Or(c.Drift, 0.01)
	c.DeadAfter = cmp.Or(c.DeadAfter, 3*time.Second)
	return c
}

// withDrift returns how long a host has to wait by its own clock until a lease
// has expired on another host's clock.
func (c LeaseConfig) withDrift(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*c.Drift)
}

// PeerView is a host's view of the ledger as sent to one peer, the receiver.
type PeerView struct {
	// Version is the latest version of the ledger that the sender has observed.
	// It is negative if there is none.
	Version int64
	// Age is the time since that version was last confirmed to be the latest.
	Age time.Duration
	// ReceiverUnits is the number of the receiver's units in that version.
	ReceiverUnits int64
	// ReceiverMarked reports whether the receiver's entry is marked.
	ReceiverMarked bool
	// Promise is how long after sending the view the sender will not consent to
	// a reclaim of the receiver's units.
	Promise time.Duration
}

// ShareLease tracks how many of its ledger units a process may use and until
// when, and the promises that it has given to other hosts. It is a set of
// leases that are renewed by reads of the ledger and by views of peers. It also
// plans the process's edits of the ledger. It is not safe for concurrent use.
type ShareLease struct {
	config LeaseConfig
	self   membership.Host

	// ledger is the latest observed ledger; version is its version, negative
	// if none has been observed.
	ledger  *Ledger
	version int64
	// asOf is a lower bound of the last time at which version was the latest.
	asOf time.Time
	// stale is set once a view of a peer showed that the observed version is
	// outdated or missing.
	stale bool

	// units and floor are the numbers of units that this process may use
	// while its leases last.
	units, floor int64
	// renewedAt is the time from which the leases run. It is a lower bound of
	// the last time at which this process's entry was unmarked.
	renewedAt time.Time
	// reclaimers are the sets of reclaimers that the ledger in the platform may
	// hold for this process: the set in the observed version and those of
	// writes whose outcome is unknown.
	reclaimers [][]string
	// promisesReceived holds the expiry of the promises received from
	// reclaimers, by their incarnation.
	promisesReceived map[string]time.Time

	// pending is the edit whose outcome is not yet recorded, or nil.
	pending  *Edit
	draining bool

	// promisesGiven holds the expiry of this host's promises not to consent,
	// by the holder's incarnation.
	promisesGiven map[string]time.Time
	// markSeenAt is when this host first observed a mark, by its identifier.
	markSeenAt map[string]time.Time
	// deadSince is when this host first found a holder dead, by incarnation.
	deadSince map[string]time.Time
	// consentedAt is when this host last consented to a reclaim, by the
	// holder's incarnation.
	consentedAt map[string]time.Time
	// absences holds the hosts with ledger entries that the platform's host list
	// omits, by name.
	absences map[string]absence
}

// NewShareLease returns the share lease of the process self, which holds no
// units yet.
func NewShareLease(config LeaseConfig, self membership.Host) *ShareLease {
	return &ShareLease{
		config: config.withDefaults(), self: self, ledger: &Ledger{}, version: -1,
		promisesReceived: make(map[string]time.Time), promisesGiven: make(map[string]time.Time),
		markSeenAt: make(map[string]time.Time), deadSince: make(map[string]time.Time),
		consentedAt: make(map[string]time.Time),
	}
}

// UsableUnitsAt returns how many units the process may safely use at the given
// time, based on the leases and promises that it has now. Later calls never
// return less for the same time, unless the process itself gives up units.
func (s *ShareLease) UsableUnitsAt(at time.Time) int64 {
	if s.renewedAt.IsZero() || !at.Before(s.renewedAt.Add(s.config.Long)) {
		return 0
	}
	if at.Before(s.renewedAt.Add(s.config.Short)) || s.coveredByPromises(at) {
		return s.units
	}
	if at.Before(s.renewedAt.Add(s.config.Floor)) {
		return min(s.floor, s.units)
	}
	return 0
}

// coveredByPromises reports whether each set of reclaimers that the platform may
// hold is empty or has a member whose promise lasts beyond the given time. Since
// all reclaimers have to consent, one promise protects the units.
func (s *ShareLease) coveredByPromises(at time.Time) bool {
	for _, set := range s.reclaimers {
		if len(set) > 0 && !s.anyPromise(set, at) {
			return false
		}
	}
	return true
}

// anyPromise reports whether a member of the set has given a promise that lasts
// beyond the given time.
func (s *ShareLease) anyPromise(set []string, at time.Time) bool {
	for _, incarnation := range set {
		if at.Before(s.promisesReceived[incarnation]) {
			return true
		}
	}
	return false
}

// Expirations returns the times after from and up to to at which a lease or a
// promise expires, so that UsableUnitsAt may change. They are not sorted.
func (s *ShareLease) Expirations(from, to time.Time) []time.Time {
	ends := []time.Time{
		s.renewedAt.Add(s.config.Short), s.renewedAt.Add(s.config.Floor), s.renewedAt.Add(s.config.Long),
	}
	for _, end := range s.promisesReceived {
		ends = append(ends, end)
	}
	var within []time.Time
	for _, end := range ends {
		if end.After(from) && !end.After(to) {
			within = append(within, end)
		}
	}
	return within
}

// ObserveLedger records a version of the ledger that was read, or written, by a
// call to the platform that was sent at sentAt and returned by now. It renews
// the leases if this process's entry is unmarked. Older versions are ignored.
func (s *ShareLease) ObserveLedger(observed *Ledger, version int64, sentAt, now time.Time) {
	if version < s.version {
		return
	}
	if version > s.version {
		s.ledger, s.version = observed, version
		s.asOf = sentAt
	}
	s.asOf = latest(s.asOf, sentAt)
	s.recordMarks(now)
	if s.pending != nil && version <= s.pending.Base {
		s.renew(sentAt)
		return
	}
	s.pending = nil
	s.stale = false
	s.applyOwnEntry()
	s.renew(sentAt)
}

// applyOwnEntry sets units, floor and reclaimers from this process's entry in
// the observed ledger.
func (s *ShareLease) applyOwnEntry() {
	s.units, s.floor, s.reclaimers = 0, 0, nil
	if e := s.ownEntry(); e != nil {
		s.units, s.floor = e.Units, e.Floor
		s.reclaimers = [][]string{e.Reclaimers}
	}
}

func (s *ShareLease) ownEntry() *Entry { return s.ledger.Entry(s.self.Incarnation) }

// renew renews the leases, given that the observed version was the latest at the
// given time, unless this process's entry is missing or marked.
func (s *ShareLease) renew(at time.Time) {
	if e := s.ownEntry(); e != nil && e.Mark == nil {
		s.renewedAt = latest(s.renewedAt, at)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordMarks updates markSeenAt to the marks in the observed ledger.
func (s *ShareLease) recordMarks(now time.Time) {
	current := make(map[string]time.Time)
	for i := range s.ledger.Entries {
		mark := s.ledger.Entries[i].Mark
		if mark == nil {
			continue
		}
		current[mark.ID] = now
		if first, ok := s.markSeenAt[mark.ID]; ok {
			current[mark.ID] = first
		}
	}
	s.markSeenAt = current
}

// ObserveView records a peer's view from its response to a request sent at
// sentAt. The view may renew the leases, carry a promise, or show that the
// observed version is outdated and that the process holds fewer units.
func (s *ShareLease) ObserveView(from string, view PeerView, sentAt time.Time) {
	if s.version < 0 {
		s.stale = true
		return
	}
	if view.Version < s.version {
		s.acceptPromise(from, view.Promise, sentAt)
		return
	}
	if view.ReceiverUnits < s.units && s.pending == nil {
		s.units = view.ReceiverUnits
		s.floor = min(s.floor, s.units)
		s.stale = true
		return
	}
	s.acceptPromise(from, view.Promise, sentAt)
	at := sentAt.Add(-view.Age)
	if view.Version > s.version {
		s.stale = true
		if !view.ReceiverMarked && view.ReceiverUnits > 0 {
			s.renewedAt = latest(s.renewedAt, at)
		}
		return
	}
	s.asOf = latest(s.asOf, at)
	s.renew(at)
}

// acceptPromise records a peer's promise, which runs from sentAt, when this host
// sent its request.
func (s *ShareLease) acceptPromise(from string, promise time.Duration, sentAt time.Time) {
	if promise > 0 {
		s.promisesReceived[from] = latest(s.promisesReceived[from], sentAt.Add(promise))
	}
}

// ViewFor returns the view to send to a peer and records the promise that it
// contains.
func (s *ShareLease) ViewFor(receiver string, now time.Time) PeerView {
	view := PeerView{Version: s.version, Age: now.Sub(s.asOf), Promise: s.givePromise(receiver, now)}
	if e := s.ledger.Entry(receiver); e != nil {
		view.ReceiverUnits = e.Units
		view.ReceiverMarked = e.Mark != nil
	}
	return view
}

// givePromise records a promise to the receiver and returns its length. It
// returns zero if this host has consented to a reclaim of the receiver's units,
// or may have by a pending edit, or if it has not observed a ledger yet.
func (s *ShareLease) givePromise(receiver string, now time.Time) time.Duration {
	if s.version < 0 || s.pending != nil && s.pending.Next.consented(receiver, s.self.Incarnation) {
		return 0
	}
	if s.ledger.consented(receiver, s.self.Incarnation) {
		return 0
	}
	s.promisesGiven[receiver] = latest(s.promisesGiven[receiver], now.Add(s.config.withDrift(s.config.Promise)))
	return s.config.Promise
}

// consented reports whether the reclaimer has consented to a reclaim of the
// holder's units, or the holder has no entry.
func (l *Ledger) consented(holder, reclaimer string) bool {
	e := l.Entry(holder)
	if e == nil {
		return true
	}
	if e.Mark == nil {
		return false
	}
	for _, consent := range e.Mark.Consents {
		if consent == reclaimer {
			return true
		}
	}
	return false
}

// NeedsRead reports whether the ledger has to be read from the platform, because
// the observed version is missing, outdated or was last confirmed too long ago.
func (s *ShareLease) NeedsRead(now time.Time) bool {
	return s.version < 0 || s.stale || now.Sub(s.asOf) > s.config.Short/3
}

// Version returns the latest observed version of the ledger, or a negative
// number if none has been observed.
func (s *ShareLease) Version() int64 { return s.version }

// ObservedLedger returns the latest observed ledger. Callers must not modify it.
func (s *ShareLease) ObservedLedger() *Ledger { return s.ledger }

// HeldUnits returns the units that the process holds in the ledger, whether or
// not its leases still allow their use.
func (s *ShareLease) HeldUnits() int64 { return s.units }

// AsOf returns a lower bound of the last time at which the observed version was
// the latest.
func (s *ShareLease) AsOf() time.Time { return s.asOf }

// Reclaimers returns the incarnations whose promises extend the use of this
// process's units. It may contain duplicates.
func (s *ShareLease) Reclaimers() []string {
	var all []string
	for _, set := range s.reclaimers {
		all = append(all, set...)
	}
	return all
}

// Drain starts draining: the process plans to give up all units once no loans
// need them.
func (s *ShareLease) Drain() { s.draining = true }

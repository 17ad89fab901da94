package ratelimit

import (
	"cmp"
	"time"

	"bilberryslip.example/bilberryslip/internal/membership"
)

// LeaseConfig sets how long units may be used without proof, and how long a
// reclaimer waits. Zero values mean the defaults.
type LeaseConfig struct {
	// Short guards all units above the floor. Default 20 s.
	Short time.Duration
	// Floor guards the floor against the entry's reclaimers. Default 15 min.
	Floor time.Duration
	// Long guards all units against everybody else. Default 12 h.
	Long time.Duration
	// Promise is how long a reclaimer promises not to consent. Default 10 s.
	Promise time.Duration
	// FloorFraction is the part of the units in the floor. Default 0.5.
	FloorFraction float64
	// Drift is the largest relative error between two hosts' clock rates.
	// Default 0.01.
	Drift float64
	// DeadAfter is how long a holder must have been dead in the membership
	// before its reclaimers mark it. Default 3 s.
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

// wait is how long a reclaimer counts for a lease.
func (c LeaseConfig) wait(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*c.Drift)
}

// View is what one host tells another of the ledger.
type View struct {
	// Version is the ledger's version that the sender knows.
	Version int64
	// Age is the time since that version was proved to be the latest.
	Age time.Duration
	// ReceiverUnits are the receiver's units in that version.
	ReceiverUnits int64
	// ReceiverMarked is set where the receiver's entry is marked.
	ReceiverMarked bool
	// Promise is how long the sender will not consent to reclaim the
	// receiver's units, from when it sent the view.
	Promise time.Duration
}

// Tenure knows how much of its units a process may use and until when, and
// what it has promised to others. It is not safe for concurrent use.
type Tenure struct {
	config LeaseConfig
	self   membership.Host

	known   *Ledger
	version int64
	// asOf is a time at or before one at which version was the latest.
	asOf time.Time
	// behind is set once a peer reported a later version.
	behind bool

	units, floor int64
	// proofAt is a time at or before one at which the own entry was unmarked.
	proofAt time.Time
	// reclaimers are the sets of reclaimers that the platform may hold: that
	// of the known version and that of an unsettled write.
	reclaimers [][]string
	// promises are what reclaimers promised, by incarnation.
	promises map[string]time.Time

	pending *Edit
	leaving bool

	// promised is until when this host promised others not to consent.
	promised map[string]time.Time
	// seen is when a mark was first seen, by its identifier.
	seen map[string]time.Time
	// deadSince is when a holder was first found dead.
	deadSince map[string]time.Time
	// consentedAt is when this host last consented against a holder.
	consentedAt map[string]time.Time
}

// NewTenure returns the tenure of a process without units.
func NewTenure(config LeaseConfig, self membership.Host) *Tenure {
	return &Tenure{
		config: config.withDefaults(), self: self, known: &Ledger{}, version: -1,
		promises: make(map[string]time.Time), promised: make(map[string]time.Time),
		seen: make(map[string]time.Time), deadSince: make(map[string]time.Time),
		consentedAt: make(map[string]time.Time),
	}
}

// UnitsAt returns how many units the process is sure to be allowed at a time,
// unless it gives units up itself. Later calls never return less for the same
// time.
func (t *Tenure) UnitsAt(at time.Time) int64 {
	if t.proofAt.IsZero() || !at.Before(t.proofAt.Add(t.config.Long)) {
		return 0
	}
	if at.Before(t.proofAt.Add(t.config.Short)) || t.promisedAt(at) {
		return t.units
	}
	if at.Before(t.proofAt.Add(t.config.Floor)) {
		return min(t.floor, t.units)
	}
	return 0
}

// promisedAt reports whether in each set that the platform may hold some
// reclaimer's promise lasts beyond the time, or there is no reclaimer.
func (t *Tenure) promisedAt(at time.Time) bool {
	for _, set := range t.reclaimers {
		if len(set) > 0 && !t.anyPromise(set, at) {
			return false
		}
	}
	return true
}

func (t *Tenure) anyPromise(set []string, at time.Time) bool {
	for _, incarnation := range set {
		if at.Before(t.promises[incarnation]) {
			return true
		}
	}
	return false
}

// Boundaries returns the times after from, up to to, at which UnitsAt may
// change by itself.
func (t *Tenure) Boundaries(from, to time.Time) []time.Time {
	ends := []time.Time{
		t.proofAt.Add(t.config.Short), t.proofAt.Add(t.config.Floor), t.proofAt.Add(t.config.Long),
	}
	for _, end := range t.promises {
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

// Learn takes a version of the ledger that was read, or written, by a call
// sent at sentAt and answered by now.
func (t *Tenure) Learn(ledger *Ledger, version int64, sentAt, now time.Time) {
	if version < t.version {
		return
	}
	if version > t.version {
		t.known, t.version = ledger, version
		t.asOf = sentAt
	}
	t.asOf = latest(t.asOf, sentAt)
	t.noteMarks(now)
	if t.pending != nil && version <= t.pending.Base {
		t.prove(sentAt)
		return
	}
	t.pending = nil
	t.behind = false
	t.adopt()
	t.prove(sentAt)
}

// adopt takes the own entry as it stands in the known version.
func (t *Tenure) adopt() {
	t.units, t.floor, t.reclaimers = 0, 0, nil
	if e := t.own(); e != nil {
		t.units, t.floor = e.Units, e.Floor
		t.reclaimers = [][]string{e.Reclaimers}
	}
}

func (t *Tenure) own() *Entry { return t.known.Entry(t.self.Incarnation) }

// prove takes the known version as the latest at a time.
func (t *Tenure) prove(at time.Time) {
	if e := t.own(); e != nil && e.Mark == nil {
		t.proofAt = latest(t.proofAt, at)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Tenure) noteMarks(now time.Time) {
	present := make(map[string]time.Time)
	for i := range t.known.Entries {
		mark := t.known.Entries[i].Mark
		if mark == nil {
			continue
		}
		present[mark.ID] = now
		if first, ok := t.seen[mark.ID]; ok {
			present[mark.ID] = first
		}
	}
	t.seen = present
}

// LearnView takes a peer's view from its answer to a request sent at sentAt.
func (t *Tenure) LearnView(from string, view View, sentAt time.Time) {
	if t.version < 0 {
		t.behind = true
		return
	}
	if view.Version < t.version {
		t.acceptPromise(from, view.Promise, sentAt)
		return
	}
	if view.ReceiverUnits < t.units && t.pending == nil {
		t.units = view.ReceiverUnits
		t.floor = min(t.floor, t.units)
		t.behind = true
		return
	}
	t.acceptPromise(from, view.Promise, sentAt)
	at := sentAt.Add(-view.Age)
	if view.Version > t.version {
		t.behind = true
		if !view.ReceiverMarked && view.ReceiverUnits > 0 {
			t.proofAt = latest(t.proofAt, at)
		}
		return
	}
	t.asOf = latest(t.asOf, at)
	t.prove(at)
}

func (t *Tenure) acceptPromise(from string, promise time.Duration, sentAt time.Time) {
	if promise > 0 {
		t.promises[from] = latest(t.promises[from], sentAt.Add(promise))
	}
}

// ViewFor returns the view for a peer and gives it the promise in the view.
func (t *Tenure) ViewFor(receiver string, now time.Time) View {
	view := View{Version: t.version, Age: now.Sub(t.asOf), Promise: t.promise(receiver, now)}
	if e := t.known.Entry(receiver); e != nil {
		view.ReceiverUnits = e.Units
		view.ReceiverMarked = e.Mark != nil
	}
	return view
}

// promise gives a promise unless this host has consented, or may have, to
// reclaim the receiver's units.
func (t *Tenure) promise(receiver string, now time.Time) time.Duration {
	if t.version < 0 || t.pending != nil && t.pending.Next.consented(receiver, t.self.Incarnation) {
		return 0
	}
	if t.known.consented(receiver, t.self.Incarnation) {
		return 0
	}
	t.promised[receiver] = latest(t.promised[receiver], now.Add(t.config.wait(t.config.Promise)))
	return t.config.Promise
}

// consented reports whether the reclaimer has consented against the holder,
// or the holder has no entry any more.
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

// NeedsRead reports whether the ledger has to be read from the platform.
func (t *Tenure) NeedsRead(now time.Time) bool {
	return t.version < 0 || t.behind || now.Sub(t.asOf) > t.config.Short/3
}

// Version returns the version of the ledger that is known; negative where none
// is.
func (t *Tenure) Version() int64 { return t.version }

// Known returns the ledger as known. It must not be changed.
func (t *Tenure) Known() *Ledger { return t.known }

// Units returns the units held in the ledger, whether or not they may be used.
func (t *Tenure) Units() int64 { return t.units }

// AsOf returns a time at or before one at which the known version was the
// latest.
func (t *Tenure) AsOf() time.Time { return t.asOf }

// Reclaimers returns the incarnations whose promises the tenure rests on.
func (t *Tenure) Reclaimers() []string {
	var all []string
	for _, set := range t.reclaimers {
		all = append(all, set...)
	}
	return all
}

// Leave makes the process give up all units with its next edit.
func (t *Tenure) Leave() { t.leaving = true }

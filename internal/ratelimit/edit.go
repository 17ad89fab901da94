package ratelimit

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/membership"
)

const (
	// maxReclaimers is the number of reclaimers of an entry.
	maxReclaimers = 2
	// consentBackoff is the time between two consents of one host against the
	// same holder.
	consentBackoff = time.Minute
	// strangerDelay is how long a host that is no reclaimer leaves a dead
	// holder's entry unmarked, at least; it is up to twice as long.
	strangerDelay = 5 * time.Minute
)

// Edit is a conditional update of the ledger.
type Edit struct {
	// Base is the version that the edit replaces; zero creates the ledger.
	Base int64
	Next *Ledger
	// ID is unique to the edit and identifies its write in the platform.
	ID string
	// Unknown is set by the writer once an attempt's outcome is not known.
	Unknown bool
	// changed tells that Next differs from the version at Base.
	changed bool
}

// Plan returns the next edit that this process should write, or nil. The
// identifier must be unique. While an earlier edit's outcome is not known, Plan
// returns that edit. Keep is the least units that loans need.
func (t *Tenure) Plan(now time.Time, hosts []membership.Host, keep int64, id string) *Edit {
	if t.version < 0 {
		return nil
	}
	if t.pending != nil {
		return t.pending
	}
	edit := &Edit{Base: t.version, Next: t.known.Clone(), ID: id}
	t.planOwn(edit, hosts, keep)
	if !t.leaving {
		t.planReclaims(edit, now, hosts)
	}
	if !edit.changed {
		return nil
	}
	return edit
}

// Begin must be called before the edit is written: what the edit gives up is
// no longer used from here on.
func (t *Tenure) Begin(edit *Edit) {
	t.pending = edit
	own := edit.Next.Entry(t.self.Incarnation)
	if own == nil {
		t.units, t.floor = 0, 0
		return
	}
	t.units = min(t.units, own.Units)
	t.floor = min(t.floor, own.Floor)
	t.reclaimers = append(t.reclaimers, own.Reclaimers)
}

// Written reports that the edit is in force as the version given.
func (t *Tenure) Written(edit *Edit, version int64, sentAt, now time.Time) {
	t.pending = nil
	for i := range edit.Next.Entries {
		holder := edit.Next.Entries[i].Incarnation
		if edit.Next.consented(holder, t.self.Incarnation) && !t.known.consented(holder, t.self.Incarnation) {
			t.consentedAt[holder] = now
		}
	}
	t.Learn(edit.Next, version, sentAt, now)
}

// Reset forgets everything after the ledger was found missing.
func (t *Tenure) Reset() {
	t.known, t.version, t.pending = &Ledger{}, 0, nil
	t.adopt()
}

// NotWritten reports that the edit took no effect and never will.
func (t *Tenure) NotWritten() {
	t.pending = nil
	t.adopt()
}

// planOwn decides on the own entry. Keep is the least units that loans need.
func (t *Tenure) planOwn(edit *Edit, hosts []membership.Host, keep int64) {
	own := edit.Next.Entry(t.self.Incarnation)
	if t.leaving {
		if own != nil && keep == 0 {
			edit.Next.Remove(t.self.Incarnation)
			edit.changed = true
		}
		return
	}
	units := edit.Next.Balance(t.self.Incarnation, t.living(hosts))
	if own == nil {
		if units > 0 {
			edit.Next.Entries = append(edit.Next.Entries, t.entry(units, t.chooseReclaimers(nil, hosts)))
			edit.changed = true
		}
		return
	}
	units = max(units, min(keep, own.Units))
	reclaimers := t.chooseReclaimers(own.Reclaimers, hosts)
	if units == own.Units && own.Mark == nil && slices.Equal(reclaimers, own.Reclaimers) {
		return
	}
	*own = t.entry(units, reclaimers)
	edit.changed = true
}

func (t *Tenure) entry(units int64, reclaimers []string) Entry {
	return Entry{
		Host: t.self.Name, Incarnation: t.self.Incarnation, Zone: t.self.Zone,
		Units: units, Floor: int64(float64(units) * t.config.FloorFraction), Reclaimers: reclaimers,
	}
}

func (t *Tenure) living(hosts []membership.Host) []string {
	living := []string{t.self.Incarnation}
	for _, host := range hosts {
		if host.Alive && !host.Leaving {
			living = append(living, host.Incarnation)
		}
	}
	return living
}

// chooseReclaimers keeps the present reclaimers while they live. Otherwise it
// chooses hosts of the same zone first, so that a zone that is cut off as a
// whole keeps its units. Without a living host of the zone nobody can tell a
// dead holder from one that is cut off, and the present ones stay.
func (t *Tenure) chooseReclaimers(present []string, hosts []membership.Host) []string {
	mates, others := t.candidates(hosts)
	if len(mates) == 0 {
		return present
	}
	chosen := mates[:min(len(mates), maxReclaimers)]
	chosen = append(chosen, others[:min(len(others), maxReclaimers-len(chosen))]...)
	if len(present) == len(chosen) && t.valid(present, mates, others) {
		return present
	}
	return chosen
}

// valid reports whether all reclaimers live and one is of the own zone.
func (t *Tenure) valid(reclaimers, mates, others []string) bool {
	inZone := false
	for _, reclaimer := range reclaimers {
		mate := slices.Contains(mates, reclaimer)
		if !mate && !slices.Contains(others, reclaimer) {
			return false
		}
		inZone = inZone || mate
	}
	return inZone
}

// candidates returns the living incarnations of the own zone and of others,
// in an order that spreads the reclaimers over the hosts.
func (t *Tenure) candidates(hosts []membership.Host) (mates, others []string) {
	for _, host := range hosts {
		switch {
		case !host.Alive || host.Leaving:
		case host.Zone == t.self.Zone:
			mates = append(mates, host.Incarnation)
		default:
			others = append(others, host.Incarnation)
		}
	}
	t.rank(mates)
	t.rank(others)
	return mates, others
}

func (t *Tenure) rank(incarnations []string) {
	weight := func(i int) uint64 { return xxhash.Sum64String(t.self.Incarnation + incarnations[i]) }
	sort.Slice(incarnations, func(i, j int) bool { return weight(i) < weight(j) })
}

// planReclaims marks, consents to and frees the entries of dead holders.
func (t *Tenure) planReclaims(edit *Edit, now time.Time, hosts []membership.Host) {
	alive := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		alive[host.Incarnation] = host.Alive
	}
	for _, known := range t.known.Entries {
		if known.Incarnation == t.self.Incarnation {
			continue
		}
		if alive[known.Incarnation] {
			delete(t.deadSince, known.Incarnation)
			continue
		}
		since, ok := t.deadSince[known.Incarnation]
		if !ok {
			t.deadSince[known.Incarnation] = now
			continue
		}
		t.planReclaim(edit, &known, now, now.Sub(since))
	}
}

func (t *Tenure) planReclaim(edit *Edit, known *Entry, now time.Time, dead time.Duration) {
	if known.Mark != nil && t.planFree(edit, known, now) {
		return
	}
	if slices.Contains(known.Reclaimers, t.self.Incarnation) {
		if dead >= t.config.DeadAfter {
			t.planConsent(edit, known, now)
		}
		return
	}
	if known.Mark == nil && dead >= t.strangerDelay(known.Incarnation) {
		edit.Next.Entry(known.Incarnation).Mark = &Mark{ID: edit.ID + "/" + known.Incarnation}
		edit.changed = true
		t.deadSince[known.Incarnation] = now
	}
}

// strangerDelay spreads the marks of hosts that are no reclaimers.
func (t *Tenure) strangerDelay(holder string) time.Duration {
	spread := xxhash.Sum64String(t.self.Incarnation+holder) % uint64(strangerDelay)
	return strangerDelay + time.Duration(spread)
}

func (t *Tenure) planConsent(edit *Edit, known *Entry, now time.Time) {
	if t.known.consented(known.Incarnation, t.self.Incarnation) || now.Before(t.promised[known.Incarnation]) {
		return
	}
	if last, ok := t.consentedAt[known.Incarnation]; ok && now.Sub(last) < consentBackoff {
		return
	}
	e := edit.Next.Entry(known.Incarnation)
	if e.Mark == nil {
		e.Mark = &Mark{ID: edit.ID + "/" + known.Incarnation}
	}
	e.Mark.Consents = append(e.Mark.Consents, t.self.Incarnation)
	edit.changed = true
}

// planFree frees what the leases allow: after the short lease all above the
// floor and after the floor lease the rest, where all reclaimers consent; and
// everything after the long lease.
func (t *Tenure) planFree(edit *Edit, known *Entry, now time.Time) bool {
	marked := now.Sub(t.seen[known.Mark.ID])
	free := marked >= t.config.wait(t.config.Long)
	if known.AllConsent() && slices.Contains(known.Reclaimers, t.self.Incarnation) {
		free = free || marked >= t.config.wait(t.config.Floor)
		if !free && marked >= t.config.wait(t.config.Short) && known.Units > known.Floor {
			edit.Next.Entry(known.Incarnation).Units = known.Floor
			edit.changed = true
			return true
		}
	}
	if free {
		edit.Next.Remove(known.Incarnation)
		edit.changed = true
	}
	return free
}

// Left reports whether the process is leaving and holds no entry any more.
func (t *Tenure) Left() bool { return t.leaving && t.pending == nil && t.own() == nil }

package ratelimit

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/membership"
)

const (
	// maxReclaimers limits the reclaimers of a ledger entry.
	maxReclaimers = 2
	// consentBackoff is the least time between two consents of one host to
	// reclaim the units of the same holder.
	consentBackoff = time.Minute
	// nonReclaimerDelay is the least time for which a host that is not a
	// reclaimer leaves a dead holder's entry unmarked. The delay of each host
	// and holder is between once and twice this time.
	nonReclaimerDelay = 5 * time.Minute
)

// Edit is a compare-and-swap update of the ledger in the platform.
type Edit struct {
	// Base is the version that the edit replaces. Zero creates the ledger.
	Base int64
	Next *Ledger
	// ID is unique to the edit and identifies its write in the platform, so
	// that a retry can detect that an earlier attempt took effect.
	ID string
	// Unknown is set by the writer once the outcome of an attempt is unknown.
	Unknown bool
	// changed is set if Next differs from the ledger at Base.
	changed bool
}

// Plan returns the next edit that this process should write, or nil if there
// is none. The identifier must be unique. While an earlier edit is pending, Plan
// returns that edit again. The process keeps at least minUnits, which cover its
// outstanding loans.
func (t *Tenure) Plan(now time.Time, hosts []membership.Host, minUnits int64, id string) *Edit {
	if t.version < 0 {
		return nil
	}
	if t.pending != nil {
		return t.pending
	}
	edit := &Edit{Base: t.version, Next: t.ledger.Clone(), ID: id}
	t.planOwnEntry(edit, hosts, minUnits)
	if !t.draining {
		t.planReclaims(edit, now, hosts)
	}
	if !edit.changed {
		return nil
	}
	return edit
}

// Begin must be called before the edit is written. From then on the process no
// longer uses the units that the edit gives up, since the write may take effect
// at any time.
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

// Written records that the edit took effect as the given version, in a call
// sent at sentAt.
func (t *Tenure) Written(edit *Edit, version int64, sentAt, now time.Time) {
	t.pending = nil
	for i := range edit.Next.Entries {
		holder := edit.Next.Entries[i].Incarnation
		if edit.Next.consented(holder, t.self.Incarnation) && !t.ledger.consented(holder, t.self.Incarnation) {
			t.consentedAt[holder] = now
		}
	}
	t.Learn(edit.Next, version, sentAt, now)
}

// Reset discards the ledger, the pending edit and all units. It must be called
// when the ledger is missing from the platform.
func (t *Tenure) Reset() {
	t.ledger, t.version, t.pending = &Ledger{}, 0, nil
	t.applyOwnEntry()
}

// NotWritten records that the pending edit took no effect and never will, so
// that the process may use the units in its observed entry again.
func (t *Tenure) NotWritten() {
	t.pending = nil
	t.applyOwnEntry()
}

// planOwnEntry plans the change of this process's entry. The process keeps at
// least minUnits, which cover its outstanding loans.
func (t *Tenure) planOwnEntry(edit *Edit, hosts []membership.Host, minUnits int64) {
	own := edit.Next.Entry(t.self.Incarnation)
	if t.draining {
		if own != nil && minUnits == 0 {
			edit.Next.Remove(t.self.Incarnation)
			edit.changed = true
		}
		return
	}
	units := edit.Next.DesiredUnits(t.self.Incarnation, t.active(hosts))
	if own == nil {
		if units > 0 {
			edit.Next.Entries = append(edit.Next.Entries, t.newEntry(units, t.chooseReclaimers(nil, hosts)))
			edit.changed = true
		}
		return
	}
	units = max(units, min(minUnits, own.Units))
	reclaimers := t.chooseReclaimers(own.Reclaimers, hosts)
	if units == own.Units && own.Mark == nil && slices.Equal(reclaimers, own.Reclaimers) {
		return
	}
	*own = t.newEntry(units, reclaimers)
	edit.changed = true
}

func (t *Tenure) newEntry(units int64, reclaimers []string) Entry {
	return Entry{
		Host: t.self.Name, Incarnation: t.self.Incarnation, Zone: t.self.Zone,
		Units: units, Floor: int64(float64(units) * t.config.FloorFraction), Reclaimers: reclaimers,
	}
}

// active returns the incarnations of this process and of all hosts that are
// alive and not draining.
func (t *Tenure) active(hosts []membership.Host) []string {
	active := []string{t.self.Incarnation}
	for _, host := range hosts {
		if host.Alive && !host.Leaving {
			active = append(active, host.Incarnation)
		}
	}
	return active
}

// chooseReclaimers keeps the current reclaimers while all of them are alive.
// Otherwise it prefers hosts of the same zone, so that a zone that is
// partitioned as a whole keeps its units. If no other host of the zone is
// alive, no host can distinguish a dead holder from a partitioned one, and the
// current reclaimers stay.
func (t *Tenure) chooseReclaimers(current []string, hosts []membership.Host) []string {
	sameZone, otherZones := t.candidates(hosts)
	if len(sameZone) == 0 {
		return current
	}
	chosen := sameZone[:min(len(sameZone), maxReclaimers)]
	chosen = append(chosen, otherZones[:min(len(otherZones), maxReclaimers-len(chosen))]...)
	if len(current) == len(chosen) && t.validReclaimers(current, sameZone, otherZones) {
		return current
	}
	return chosen
}

// validReclaimers reports whether all reclaimers are alive and at least one is
// in this process's zone.
func (t *Tenure) validReclaimers(reclaimers, sameZone, otherZones []string) bool {
	inZone := false
	for _, reclaimer := range reclaimers {
		inSameZone := slices.Contains(sameZone, reclaimer)
		if !inSameZone && !slices.Contains(otherZones, reclaimer) {
			return false
		}
		inZone = inZone || inSameZone
	}
	return inZone
}

// candidates returns the active incarnations of this process's zone and of the
// other zones, each in an order that spreads the reclaimers over the hosts.
func (t *Tenure) candidates(hosts []membership.Host) (sameZone, otherZones []string) {
	for _, host := range hosts {
		switch {
		case !host.Alive || host.Leaving:
		case host.Zone == t.self.Zone:
			sameZone = append(sameZone, host.Incarnation)
		default:
			otherZones = append(otherZones, host.Incarnation)
		}
	}
	t.rank(sameZone)
	t.rank(otherZones)
	return sameZone, otherZones
}

// rank sorts incarnations by rendezvous hashing.
func (t *Tenure) rank(incarnations []string) {
	weight := func(i int) uint64 { return xxhash.Sum64String(t.self.Incarnation + incarnations[i]) }
	sort.Slice(incarnations, func(i, j int) bool { return weight(i) < weight(j) })
}

// planReclaims plans the next step of reclaiming the units of dead holders: it
// marks their entries, adds consents and frees units.
func (t *Tenure) planReclaims(edit *Edit, now time.Time, hosts []membership.Host) {
	alive := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		alive[host.Incarnation] = host.Alive
	}
	for _, entry := range t.ledger.Entries {
		if entry.Incarnation == t.self.Incarnation {
			continue
		}
		if alive[entry.Incarnation] {
			delete(t.deadSince, entry.Incarnation)
			continue
		}
		since, ok := t.deadSince[entry.Incarnation]
		if !ok {
			t.deadSince[entry.Incarnation] = now
			continue
		}
		t.planReclaim(edit, &entry, now, now.Sub(since))
	}
}

func (t *Tenure) planReclaim(edit *Edit, entry *Entry, now time.Time, deadFor time.Duration) {
	if entry.Mark != nil && t.planFree(edit, entry, now) {
		return
	}
	if slices.Contains(entry.Reclaimers, t.self.Incarnation) {
		if deadFor >= t.config.DeadAfter {
			t.planConsent(edit, entry, now)
		}
		return
	}
	if entry.Mark == nil && deadFor >= t.nonReclaimerDelay(entry.Incarnation) {
		edit.Next.Entry(entry.Incarnation).Mark = &Mark{ID: edit.ID + "/" + entry.Incarnation}
		edit.changed = true
		t.deadSince[entry.Incarnation] = now
	}
}

// nonReclaimerDelay returns how long this host leaves a dead holder's entry
// unmarked if it is not one of the reclaimers. The delay differs between hosts
// so that they do not all write marks at once.
func (t *Tenure) nonReclaimerDelay(holder string) time.Duration {
	spread := xxhash.Sum64String(t.self.Incarnation+holder) % uint64(nonReclaimerDelay)
	return nonReclaimerDelay + time.Duration(spread)
}

// planConsent adds this host's consent, and a mark if there is none, unless the
// host has consented already, a promise that it gave to the holder has not
// expired, or its last consent to reclaim from this holder was too recent.
func (t *Tenure) planConsent(edit *Edit, entry *Entry, now time.Time) {
	if t.ledger.consented(entry.Incarnation, t.self.Incarnation) || now.Before(t.promisesGiven[entry.Incarnation]) {
		return
	}
	if last, ok := t.consentedAt[entry.Incarnation]; ok && now.Sub(last) < consentBackoff {
		return
	}
	e := edit.Next.Entry(entry.Incarnation)
	if e.Mark == nil {
		e.Mark = &Mark{ID: edit.ID + "/" + entry.Incarnation}
	}
	e.Mark.Consents = append(e.Mark.Consents, t.self.Incarnation)
	edit.changed = true
}

// planFree frees the units whose leases have expired, counted from when this
// host first observed the mark, and reports whether it freed any. If all
// reclaimers have consented, a reclaimer frees the units above the floor after
// the short lease and the rest after the floor lease. Any host frees all units
// after the long lease.
func (t *Tenure) planFree(edit *Edit, entry *Entry, now time.Time) bool {
	markedFor := now.Sub(t.markSeenAt[entry.Mark.ID])
	free := markedFor >= t.config.withDrift(t.config.Long)
	if entry.AllConsent() && slices.Contains(entry.Reclaimers, t.self.Incarnation) {
		free = free || markedFor >= t.config.withDrift(t.config.Floor)
		if !free && markedFor >= t.config.withDrift(t.config.Short) && entry.Units > entry.Floor {
			edit.Next.Entry(entry.Incarnation).Units = entry.Floor
			edit.changed = true
			return true
		}
	}
	if free {
		edit.Next.Remove(entry.Incarnation)
		edit.changed = true
	}
	return free
}

// Left reports whether the process is draining and no longer has a ledger
// entry.
func (t *Tenure) Left() bool { return t.draining && t.pending == nil && t.ownEntry() == nil }

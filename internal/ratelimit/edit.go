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
	// OutcomeUnknown is set by the writer once the outcome of an attempt is
	// unknown.
	OutcomeUnknown bool
	// changed is set if Next differs from the ledger at Base.
	changed bool
}

// Plan returns the next edit that this process should write, or nil if there
// is none. The identifier must be unique. While an earlier edit is pending, Plan
// returns that edit again. The process keeps at least minUnits, which cover its
// outstanding loans.
func (s *ShareLease) Plan(now time.Time, hosts []membership.Host, minUnits int64, id string) *Edit {
	if s.version < 0 {
		return nil
	}
	if s.pending != nil {
		return s.pending
	}
	edit := &Edit{Base: s.version, Next: s.ledger.Clone(), ID: id}
	s.planOwnEntry(edit, hosts, minUnits)
	if !s.draining {
		s.planReclaims(edit, now, hosts)
	}
	if !edit.changed {
		return nil
	}
	return edit
}

// Begin must be called before the edit is written. From then on the process no
// longer uses the units that the edit gives up, since the write may take effect
// at any time.
func (s *ShareLease) Begin(edit *Edit) {
	s.pending = edit
	own := edit.Next.Entry(s.self.Incarnation)
	if own == nil {
		s.units, s.floor = 0, 0
		return
	}
	s.units = min(s.units, own.Units)
	s.floor = min(s.floor, own.Floor)
	s.reclaimers = append(s.reclaimers, own.Reclaimers)
}

// RecordWritten records that the edit took effect as the given version, in a call
// sent at sentAt.
func (s *ShareLease) RecordWritten(edit *Edit, version int64, sentAt, now time.Time) {
	s.pending = nil
	for i := range edit.Next.Entries {
		holder := edit.Next.Entries[i].Incarnation
		if edit.Next.consented(holder, s.self.Incarnation) && !s.ledger.consented(holder, s.self.Incarnation) {
			s.consentedAt[holder] = now
		}
	}
	s.ObserveLedger(edit.Next, version, sentAt, now)
}

// Reset discards the ledger, the pending edit and all units. It must be called
// when the ledger is missing from the platform.
func (s *ShareLease) Reset() {
	s.ledger, s.version, s.pending = &Ledger{}, 0, nil
	s.applyOwnEntry()
}

// RecordNotWritten records that the pending edit took no effect and never will,
// so that the process may use the units in its observed entry again.
func (s *ShareLease) RecordNotWritten() {
	s.pending = nil
	s.applyOwnEntry()
}

// planOwnEntry plans the change of this process's entry. The process keeps at
// least minUnits, which cover its outstanding loans.
func (s *ShareLease) planOwnEntry(edit *Edit, hosts []membership.Host, minUnits int64) {
	own := edit.Next.Entry(s.self.Incarnation)
	if s.draining {
		if own != nil && minUnits == 0 {
			edit.Next.Remove(s.self.Incarnation)
			edit.changed = true
		}
		return
	}
	units := edit.Next.DesiredUnits(s.self.Incarnation, s.active(hosts))
	if own == nil {
		if units > 0 {
			edit.Next.Entries = append(edit.Next.Entries, s.newEntry(units, s.chooseReclaimers(nil, hosts)))
			edit.changed = true
		}
		return
	}
	units = max(units, min(minUnits, own.Units))
	reclaimers := s.chooseReclaimers(own.Reclaimers, hosts)
	if units == own.Units && own.Mark == nil && slices.Equal(reclaimers, own.Reclaimers) {
		return
	}
	*own = s.newEntry(units, reclaimers)
	edit.changed = true
}

func (s *ShareLease) newEntry(units int64, reclaimers []string) Entry {
	return Entry{
		Host: s.self.Name, Incarnation: s.self.Incarnation, Zone: s.self.Zone,
		Units: units, Floor: int64(float64(units) * s.config.FloorFraction), Reclaimers: reclaimers,
	}
}

// active returns the incarnations of this process and of all hosts that are
// alive and not draining.
func (s *ShareLease) active(hosts []membership.Host) []string {
	active := []string{s.self.Incarnation}
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
func (s *ShareLease) chooseReclaimers(current []string, hosts []membership.Host) []string {
	sameZone, otherZones := s.candidates(hosts)
	if len(sameZone) == 0 {
		return current
	}
	chosen := sameZone[:min(len(sameZone), maxReclaimers)]
	chosen = append(chosen, otherZones[:min(len(otherZones), maxReclaimers-len(chosen))]...)
	if len(current) == len(chosen) && s.validReclaimers(current, sameZone, otherZones) {
		return current
	}
	return chosen
}

// validReclaimers reports whether all reclaimers are alive and at least one is
// in this process's zone.
func (s *ShareLease) validReclaimers(reclaimers, sameZone, otherZones []string) bool {
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
func (s *ShareLease) candidates(hosts []membership.Host) (sameZone, otherZones []string) {
	for _, host := range hosts {
		switch {
		case !host.Alive || host.Leaving:
		case host.Zone == s.self.Zone:
			sameZone = append(sameZone, host.Incarnation)
		default:
			otherZones = append(otherZones, host.Incarnation)
		}
	}
	s.rank(sameZone)
	s.rank(otherZones)
	return sameZone, otherZones
}

// rank sorts incarnations by rendezvous hashing.
func (s *ShareLease) rank(incarnations []string) {
	weight := func(i int) uint64 { return xxhash.Sum64String(s.self.Incarnation + incarnations[i]) }
	sort.Slice(incarnations, func(i, j int) bool { return weight(i) < weight(j) })
}

// planReclaims plans the next step of reclaiming the units of dead holders: it
// marks their entries, adds consents and frees units.
func (s *ShareLease) planReclaims(edit *Edit, now time.Time, hosts []membership.Host) {
	alive := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		alive[host.Incarnation] = host.Alive
	}
	for _, entry := range s.ledger.Entries {
		if entry.Incarnation == s.self.Incarnation {
			continue
		}
		if alive[entry.Incarnation] {
			delete(s.deadSince, entry.Incarnation)
			continue
		}
		since, ok := s.deadSince[entry.Incarnation]
		if !ok {
			s.deadSince[entry.Incarnation] = now
			continue
		}
		s.planReclaim(edit, &entry, now, now.Sub(since))
	}
}

func (s *ShareLease) planReclaim(edit *Edit, entry *Entry, now time.Time, deadFor time.Duration) {
	if entry.Mark != nil && s.planFree(edit, entry, now) {
		return
	}
	if s.unlisted(entry.Host) && entry.Mark == nil && deadFor >= s.config.DeadAfter {
		edit.Next.Entry(entry.Incarnation).Mark = &Mark{ID: edit.ID + "/" + entry.Incarnation}
		edit.changed = true
		return
	}
	if slices.Contains(entry.Reclaimers, s.self.Incarnation) {
		if deadFor >= s.config.DeadAfter {
			s.planConsent(edit, entry, now)
		}
		return
	}
	if entry.Mark == nil && deadFor >= s.nonReclaimerDelay(entry.Incarnation) {
		edit.Next.Entry(entry.Incarnation).Mark = &Mark{ID: edit.ID + "/" + entry.Incarnation}
		edit.changed = true
		s.deadSince[entry.Incarnation] = now
	}
}

// nonReclaimerDelay returns how long this host leaves a dead holder's entry
// unmarked if it is not one of the reclaimers. The delay differs between hosts
// so that they do not all write marks at once.
func (s *ShareLease) nonReclaimerDelay(holder string) time.Duration {
	spread := xxhash.Sum64String(s.self.Incarnation+holder) % uint64(nonReclaimerDelay)
	return nonReclaimerDelay + time.Duration(spread)
}

// planConsent adds this host's consent, and a mark if there is none, unless the
// host has consented already, a promise that it gave to the holder has not
// expired, or its last consent to reclaim from this holder was too recent.
func (s *ShareLease) planConsent(edit *Edit, entry *Entry, now time.Time) {
	if s.ledger.consented(entry.Incarnation, s.self.Incarnation) || now.Before(s.promisesGiven[entry.Incarnation]) {
		return
	}
	if last, ok := s.consentedAt[entry.Incarnation]; ok && now.Sub(last) < consentBackoff {
		return
	}
	e := edit.Next.Entry(entry.Incarnation)
	if e.Mark == nil {
		e.Mark = &Mark{ID: edit.ID + "/" + entry.Incarnation}
	}
	e.Mark.Consents = append(e.Mark.Consents, s.self.Incarnation)
	edit.changed = true
}

// planFree frees the units whose leases have expired, counted from when this
// host first observed the mark, and reports whether it freed any. If all
// reclaimers have consented, a reclaimer frees the units above the floor after
// the short lease and the rest after the floor lease. So does any host if the
// platform has removed the holder's host. Any host frees all units after the
// long lease.
func (s *ShareLease) planFree(edit *Edit, entry *Entry, now time.Time) bool {
	markedFor := now.Sub(s.markSeenAt[entry.Mark.ID])
	free := markedFor >= s.config.withDrift(s.config.Long)
	consented := entry.AllConsent() && slices.Contains(entry.Reclaimers, s.self.Incarnation)
	if consented || s.unlisted(entry.Host) {
		free = free || markedFor >= s.config.withDrift(s.config.Floor)
		if !free && markedFor >= s.config.withDrift(s.config.Short) && entry.Units > entry.Floor {
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

// Drained reports whether the process is draining and no longer has a ledger
// entry.
func (s *ShareLease) Drained() bool { return s.draining && s.pending == nil && s.ownEntry() == nil }

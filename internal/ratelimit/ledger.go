package ratelimit

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TotalUnits is the constant number of units that the ledger divides among the
// hosts. A host with u units has the share u/TotalUnits of each organisation's
// rate and burst.
const TotalUnits int64 = 1 << 20

// maxDonors limits the hosts that give up units for one host that has too few.
const maxDonors = 8

// Ledger is the division of units among processes, identified by incarnation.
// It is stored as one object in the platform. Units that no entry holds are
// free. The zero value is an empty ledger.
type Ledger struct {
	Entries []Entry `json:"entries"`
}

// Entry records the units that one process holds.
type Entry struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Units       int64  `json:"units"`
	// Floor is the number of Units that can be reclaimed only after the floor
	// lease.
	Floor int64 `json:"floor"`
	// Reclaimers are the incarnations that can reclaim the units before the
	// long lease expires, provided that all of them consent. If empty, the
	// units can't be reclaimed before then.
	Reclaimers []string `json:"reclaimers,omitempty"`
	// Mark is set while a reclaim of the units is pending.
	Mark *Mark `json:"mark,omitempty"`
}

// Mark announces that the units of an entry will be reclaimed unless the holder
// removes the mark.
type Mark struct {
	// ID is unique to this mark.
	ID string `json:"id"`
	// Consents are the reclaimers that have consented to the reclaim: their
	// promises to the holder have expired and they give no further ones.
	Consents []string `json:"consents,omitempty"`
}

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	c := &Ledger{Entries: slices.Clone(l.Entries)}
	for i := range c.Entries {
		e := &c.Entries[i]
		e.Reclaimers = slices.Clone(e.Reclaimers)
		if e.Mark != nil {
			e.Mark = &Mark{ID: e.Mark.ID, Consents: slices.Clone(e.Mark.Consents)}
		}
	}
	return c
}

// Entry returns the entry of an incarnation, or nil if there is none. The entry
// is not a copy.
func (l *Ledger) Entry(incarnation string) *Entry {
	for i := range l.Entries {
		if l.Entries[i].Incarnation == incarnation {
			return &l.Entries[i]
		}
	}
	return nil
}

// Free returns the units that no entry holds.
func (l *Ledger) Free() int64 {
	free := TotalUnits
	for i := range l.Entries {
		free -= l.Entries[i].Units
	}
	return free
}

// Remove removes an incarnation's entry.
func (l *Ledger) Remove(incarnation string) {
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool { return e.Incarnation == incarnation })
}

// Valid reports whether no number is negative, no floor exceeds its entry's
// units, and the entries hold at most TotalUnits together.
func (l *Ledger) Valid() bool {
	for i := range l.Entries {
		e := &l.Entries[i]
		if e.Units < 0 || e.Floor < 0 || e.Floor > e.Units {
			return false
		}
	}
	return l.Free() >= 0
}

// AllConsent reports whether the entry is marked and has reclaimers, and all of
// them have consented.
func (e *Entry) AllConsent() bool {
	if e.Mark == nil || len(e.Reclaimers) == 0 {
		return false
	}
	for _, reclaimer := range e.Reclaimers {
		if !slices.Contains(e.Mark.Consents, reclaimer) {
			return false
		}
	}
	return true
}

// DesiredUnits returns how many units the process self should hold, given the
// active incarnations including its own. The process takes free units up to an
// equal share, and gives up units if another process is well below its share.
func (l *Ledger) DesiredUnits(self string, active []string) int64 {
	target := TotalUnits / int64(max(1, len(active)))
	units := l.units(self)
	if gain := min(target-units, l.Free()); gain > 0 && (units == 0 || gain >= target/16 || l.takesRemainder(self, active, target)) {
		return units + gain
	}
	if l.Free() >= target/4 {
		return units
	}
	if units > target+target/4 && len(l.incarnationsBelow(active, target*3/4)) > 0 {
		return target
	}
	for _, incarnation := range l.incarnationsBelow(active, target/2) {
		if l.isDonor(self, incarnation, active, target) {
			return max(target*3/4, units-target/maxDonors)
		}
	}
	return units
}

// takesRemainder reports whether self is the one process below its equal share
// that takes free units which are too few for a write by every such process.
func (l *Ledger) takesRemainder(self string, active []string, target int64) bool {
	below := l.incarnationsBelow(active, target)
	return len(below) > 0 && slices.Min(below) == self
}

func (l *Ledger) units(incarnation string) int64 {
	if e := l.Entry(incarnation); e != nil {
		return e.Units
	}
	return 0
}

// incarnationsBelow returns the active incarnations that hold fewer units than
// the limit.
func (l *Ledger) incarnationsBelow(active []string, limit int64) []string {
	var below []string
	for _, incarnation := range active {
		if l.units(incarnation) < limit {
			below = append(below, incarnation)
		}
	}
	return below
}

// isDonor reports whether self is one of the at most maxDonors processes,
// chosen by rendezvous hashing, that give up units for the receiver.
func (l *Ledger) isDonor(self, receiver string, active []string, target int64) bool {
	rank := 0
	own := xxhash.Sum64String(receiver + self)
	for _, incarnation := range active {
		if incarnation != self && l.units(incarnation) > target*3/4 && xxhash.Sum64String(receiver+incarnation) > own {
			rank++
		}
	}
	return l.units(self) > target*3/4 && rank < maxDonors
}

// RemoveHost removes all entries of a host and reports whether there were any.
func (l *Ledger) RemoveHost(host string) bool {
	before := len(l.Entries)
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool { return e.Host == host })
	return len(l.Entries) < before
}

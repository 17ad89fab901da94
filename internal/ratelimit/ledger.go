package ratelimit

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TotalUnits is the constant number of units that the ledger divides. A host
// with u units has the share u/TotalUnits of each organisation's rate and
// burst.
const TotalUnits int64 = 1 << 20

// maxDonors is the most hosts that give units up for one host that is short.
const maxDonors = 8

// Ledger is the division of units among processes. It is the value of one
// object in the platform. Units that no entry holds are free. The zero value
// is an empty ledger.
type Ledger struct {
	Entries []Entry `json:"entries"`
}

// Entry is one process's part of the ledger.
type Entry struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Units       int64  `json:"units"`
	// Floor is the part of Units that is reclaimed only after the floor lease.
	Floor int64 `json:"floor"`
	// Reclaimers are the incarnations that can, all together, reclaim the
	// units before the long lease has passed. Empty means none can.
	Reclaimers []string `json:"reclaimers,omitempty"`
	// Mark is set while the entry is about to be reclaimed.
	Mark *Mark `json:"mark,omitempty"`
}

// Mark announces that an entry's units will be reclaimed unless its holder
// removes the mark.
type Mark struct {
	// ID is unique to this mark.
	ID string `json:"id"`
	// Consents are the reclaimers that have ended their promise not to
	// reclaim.
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

// Entry returns the entry of an incarnation, or nil.
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

// Valid reports whether no more than all units are held and none is negative.
func (l *Ledger) Valid() bool {
	for i := range l.Entries {
		e := &l.Entries[i]
		if e.Units < 0 || e.Floor < 0 || e.Floor > e.Units {
			return false
		}
	}
	return l.Free() >= 0
}

// AllConsent reports whether every reclaimer of the entry has consented.
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

// Balance decides how many units a process should hold, given the living
// incarnations, its own included.
func (l *Ledger) Balance(self string, living []string) int64 {
	target := TotalUnits / int64(max(1, len(living)))
	units := l.units(self)
	if grab := min(target-units, l.Free()); grab > 0 && (units == 0 || grab >= target/16) {
		return units + grab
	}
	if l.Free() >= target/4 {
		return units
	}
	if units > target+target/4 && len(l.below(living, target*3/4)) > 0 {
		return target
	}
	for _, incarnation := range l.below(living, target/2) {
		if l.donates(self, incarnation, living, target) {
			return max(target*3/4, units-target/maxDonors)
		}
	}
	return units
}

func (l *Ledger) units(incarnation string) int64 {
	if e := l.Entry(incarnation); e != nil {
		return e.Units
	}
	return 0
}

// below returns the living incarnations with fewer units than the limit.
func (l *Ledger) below(living []string, limit int64) []string {
	var short []string
	for _, incarnation := range living {
		if l.units(incarnation) < limit {
			short = append(short, incarnation)
		}
	}
	return short
}

// donates reports whether self is one of the few hosts that give units to a
// host that is short, chosen by rendezvous hashing.
func (l *Ledger) donates(self, receiver string, living []string, target int64) bool {
	rank := 0
	own := xxhash.Sum64String(receiver + self)
	for _, incarnation := range living {
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

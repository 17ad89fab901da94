// Package evacuation tracks which availability zones are evacuated: while one is, no
// request may be sent to an endpoint in it. Operators state this in the store; hosts
// that can't read it learn of it by their peers' reports.
package evacuation

import (
	"cmp"
	"slices"
	"strings"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// maxEnded bounds the ended evacuations that are remembered, to correct peers that
// still take them for being in force.
const maxEnded = 64

// Statement says that a zone is evacuated, or no longer is.
type Statement struct {
	Zone string
	// Version is the version of the store at which that was stated.
	Version objectstore.Version
	// Ended is set if the zone is no longer evacuated.
	Ended bool
}

// Zones holds the newest statement on each zone. A statement holds until a newer one
// replaces it. That a listing lacks an object states the end of its evacuation only if
// the object was last seen in the same era of the store: a store that was restored from
// an older copy may have lost the object, which nobody removed.
//
// The zero value knows no statement. It is not safe for concurrent use.
type Zones struct {
	statements map[string]Statement
	// covered is the version of the store up to which this host has read all
	// statements. era is the highest era that it has seen.
	covered objectstore.Version
	era     int64
	// known is set once the statements were read from the store or a peer.
	known bool
}

// Known reports whether the statements were read from the store or from a peer that knew
// them. Until then, any zone may be evacuated.
func (z *Zones) Known() bool { return z.known }

// InForce returns the names of the evacuated zones, sorted.
func (z *Zones) InForce() []string {
	var names []string
	for _, s := range z.statements {
		if !s.Ended {
			names = append(names, s.Zone)
		}
	}
	slices.Sort(names)
	return names
}

// Statements returns the newest statement on each zone, sorted by zone.
func (z *Zones) Statements() []Statement {
	list := make([]Statement, 0, len(z.statements))
	for _, s := range z.statements {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Statement) int { return strings.Compare(a.Zone, b.Zone) })
	return list
}

// List applies a listing of the store at a version. It returns the statements that began
// or ended an evacuation, and those that stay in force although the listing lacks them.
func (z *Zones) List(version objectstore.Version, listed []Statement) (changes, missing []Statement) {
	if version.Era() < z.era {
		return nil, nil
	}
	z.known = true
	z.cover(version)
	present := make(map[string]bool, len(listed))
	for _, s := range listed {
		present[s.Zone] = true
	}
	for _, s := range z.Statements() {
		switch {
		case s.Ended || present[s.Zone] || s.Version > version:
		case s.Version.Era() != version.Era():
			missing = append(missing, s)
		default:
			changes = z.merge(changes, Statement{Zone: s.Zone, Version: version, Ended: true})
		}
	}
	for _, s := range listed {
		changes = z.merge(changes, s)
	}
	return changes, missing
}

// Apply applies a change in the store. All earlier ones must have been applied. It
// returns the statement if it began or ended an evacuation.
func (z *Zones) Apply(s Statement) []Statement {
	if s.Version.Era() < z.era {
		return nil
	}
	z.cover(s.Version)
	return z.merge(nil, s)
}

func (z *Zones) cover(version objectstore.Version) {
	z.covered, z.era = max(z.covered, version), max(z.era, version.Era())
}

// Learn applies what a peer knows, and whether it has read the statements itself or from
// another peer. It returns the statements that began or ended an evacuation.
func (z *Zones) Learn(reported []Statement, known bool) []Statement {
	z.known = z.known || known
	var changes []Statement
	for _, s := range reported {
		z.era = max(z.era, s.Version.Era())
		if !s.Ended && s.Version > z.statements[s.Zone].Version && s.Version.Era() == z.covered.Era() && s.Version <= z.covered {
			// This host has read the store later than that, and the object was gone.
			s = Statement{Zone: s.Zone, Version: z.covered, Ended: true}
		}
		changes = z.merge(changes, s)
	}
	return changes
}

// merge records a statement unless the known one is as new, and appends it to changes if
// it began or ended an evacuation.
func (z *Zones) merge(changes []Statement, s Statement) []Statement {
	known, ok := z.statements[s.Zone]
	if ok && s.Version <= known.Version {
		return changes
	}
	if z.statements == nil {
		z.statements = make(map[string]Statement)
	}
	z.statements[s.Zone] = s
	z.forgetEnded()
	if inForce := ok && !known.Ended; inForce == s.Ended {
		changes = append(changes, s)
	}
	return changes
}

// forgetEnded forgets the oldest ended statements above maxEnded.
func (z *Zones) forgetEnded() {
	if len(z.statements) <= maxEnded {
		return
	}
	ended := slices.DeleteFunc(z.Statements(), func(s Statement) bool { return !s.Ended })
	slices.SortFunc(ended, func(a, b Statement) int { return cmp.Compare(a.Version, b.Version) })
	for _, s := range ended[:max(0, len(ended)-maxEnded)] {
		delete(z.statements, s.Zone)
	}
}

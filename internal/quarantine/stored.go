package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// StoredHold is a hold as it is kept in the platform's store, so that it outlasts a
// restart of all hosts.
type StoredHold struct {
	// Kind is "segment" or "request".
	Kind string `json:"kind"`
	// Hash is the suspect's hash in hexadecimal.
	Hash string `json:"hash"`
	// Crashes is the number of crashes that it explains.
	Crashes int       `json:"crashes"`
	Until   time.Time `json:"until"`
}

// Holds returns what is held back, sorted by kind and hash.
func (q *Quarantine) Holds() []StoredHold {
	list := []StoredHold{}
	for s, h := range *q.holds.Load() {
		list = append(list, StoredHold{Kind: s.Kind.String(), Hash: s.HashText(), Crashes: h.crashes, Until: h.until.UTC().Truncate(time.Second)})
	}
	slices.SortFunc(list, func(a, b StoredHold) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Hash, b.Hash)) })
	return list
}

// Restore adds holds that an earlier process has stored. They end at their time, but not
// later than one for a crash now would, or when a request that they hold back survives. It
// returns the error of the last hold that can't be read, and adds the others.
func (q *Quarantine) Restore(list []StoredHold) error {
	latest := q.clock().Add(evidenceTTL)
	restored := make(map[Suspect]hold, len(list))
	var invalid error
	for _, stored := range list {
		s, err := stored.suspect()
		if err != nil {
			invalid = err
			continue
		}
		until := stored.Until
		if until.After(latest) {
			until = latest
		}
		restored[s] = hold{crashes: stored.Crashes, until: until}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for s, h := range restored {
		q.evidence.restored[s] = h
	}
	q.update(q.clock())
	return invalid
}

func (h StoredHold) suspect() (Suspect, error) {
	hash, err := strconv.ParseUint(h.Hash, 16, 64)
	if err != nil {
		return Suspect{}, errors.Wrapf(err, "hash of a stored hold: %q", h.Hash)
	}
	for kind := range kinds {
		if kind.String() == h.Kind {
			return Suspect{kind, hash}, nil
		}
	}
	return Suspect{}, errors.Newf("unknown kind %q of a stored hold", h.Kind)
}

// addRestored adds the restored holds that are still in force to holds.
func (e *evidence) addRestored(now time.Time, holds map[Suspect]hold) {
	for s, h := range e.restored {
		if !now.Before(h.until) || e.cleared(s, h.until.Add(-evidenceTTL)) {
			delete(e.restored, s)
			continue
		}
		if h.until.After(holds[s].until) {
			holds[s] = h
		}
	}
}

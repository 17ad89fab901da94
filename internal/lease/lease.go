// Package lease elects one lease holder for a name with conditional updates in
// the platform's store. A lease avoids duplicate work but gives no mutual
// exclusion: a holder that was paused may act for a moment after its lease
// expired, so the objects guarded by a lease need conditional updates of their
// own.
package lease

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Value is the stored form of a lease.
type Value struct {
	// Holder is the host that holds the lease; empty after a release.
	Holder string `json:"holder"`
	// Incarnation identifies the holder's process.
	Incarnation string `json:"incarnation"`
	// Term increases each time that the holder changes. It starts at 1.
	Term int64 `json:"term"`
	// Era is the era of the store in which the value was written.
	Era int64 `json:"era,omitempty"`
	// Settled is set by the holder twice the lease's duration after another
	// holder may last have acted. Only then does a process that restarts with the
	// lease have no previous holder to wait for. Writers that don't know the field
	// omit it, which is safe.
	Settled bool `json:"settled,omitempty"`
}

// view is a candidate's copy of the stored lease. The zero value is that of a
// lease not read yet.
type view struct {
	object objectstore.Object
	value  Value
	exists bool
	// unchangedSince is when this candidate first saw the object's version.
	unchangedSince time.Time
	// validFrom is the time just before the write that last renewed the lease;
	// zero if this candidate is not the holder.
	validFrom time.Time
}

// action is the next step of a candidate.
type action int

const (
	actionWait action = iota
	actionRenew
	// actionReacquire writes the lease that the candidate holds since an earlier
	// era of the store.
	actionReacquire
	actionAcquire
)

// next returns the action that the view calls for. A candidate takes a lease
// over when its version has not changed for the duration, measured by the
// candidate's own clock. A lease of an earlier era of the store may not be the last
// one of that era; see eraState. A release of an earlier era is waited for like a
// lease: a host that had not seen the restore may have written it over the current
// lease, if the store assigned the same revision again.
func (v *view) next(self Value, now time.Time, duration time.Duration, eras eraState) action {
	settled := v.exists && v.value.Era == eras.era || eras.settled(now, duration)
	switch {
	case eras.carried(now):
		return actionReacquire
	case v.heldBy(self) && settled && (v.value.Era == eras.era || eras.unrestored):
		return actionRenew
	case v.exists && !v.heldBy(self) && (v.value.Holder != "" || v.value.Era != eras.era):
		settled = settled && now.Sub(v.unchangedSince) >= duration
	}
	if settled {
		return actionAcquire
	}
	return actionWait
}

// heldBy reports whether self is the stored holder, expired or not.
func (v *view) heldBy(self Value) bool {
	return v.exists && v.value.Holder == self.Holder && v.value.Incarnation == self.Incarnation
}

// mayAct reports whether the candidate self may act as the holder at now.
func (v *view) mayAct(self Value, now time.Time, duration time.Duration) bool {
	return v.heldBy(self) && !v.validFrom.IsZero() && now.Sub(v.validFrom) < duration
}

// unknownHolder is the holder of a lease whose value can't be used. No host has the name.
const unknownHolder = "?"

// maxTerm bounds the term of a lease, so that later ones can follow.
const maxTerm = 1 << 53

// decodeValue decodes a lease. One that another program has overwritten, so that its value
// can't be used, counts as held by an unknown holder: nobody acts by it, and candidates take
// it over once it was not changed for the duration. Its term is the last one known.
func decodeValue(obj objectstore.Object, lastTerm int64) (value Value, usable bool) {
	if json.Unmarshal(obj.Value, &value) != nil || value.Term < 0 || value.Term > maxTerm || len(obj.Value) == 0 {
		return Value{Holder: unknownHolder, Term: lastTerm, Era: obj.Version.Era()}, false
	}
	return value, true
}

// observe updates the view from an object that was read or written. Versions
// older than the view's are ignored.
func (v *view) observe(obj objectstore.Object, now time.Time) {
	if v.exists && obj.Version < v.object.Version {
		return
	}
	value, usable := decodeValue(obj, v.value.Term)
	if !v.exists || obj.Version != v.object.Version {
		v.unchangedSince = now
		if !usable {
			logrus.WithFields(logrus.Fields{"lease": obj.Name, "version": obj.Version}).
				Warn("value of the lease can't be used; another program wrote it, and it is replaced once it was not changed for the duration of the lease")
		}
	}
	v.object, v.value, v.exists = obj, value, true
}

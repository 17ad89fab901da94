// Package lease elects one lease holder for a name with conditional updates in
// the platform's store. A lease avoids duplicate work but gives no mutual
// exclusion: a holder that was paused may act for a moment after its lease
// expired, so the objects guarded by a lease need conditional updates of their
// own.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

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

func decodeValue(obj objectstore.Object) (Value, error) {
	var value Value
	err := json.Unmarshal(obj.Value, &value)
	return value, errors.Wrapf(err, "decode lease %s", obj.Name)
}

// observe updates the view from an object that was read or written. Versions
// older than the view's are ignored.
func (v *view) observe(obj objectstore.Object, now time.Time) error {
	if v.exists && obj.Version < v.object.Version {
		return nil
	}
	value, err := decodeValue(obj)
	if err != nil {
		return err
	}
	if !v.exists || obj.Version != v.object.Version {
		v.unchangedSince = now
	}
	v.object, v.value, v.exists = obj, value, true
	return nil
}

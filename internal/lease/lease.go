// Package lease elects one holder for a name through the platform's
// conditional updates. A lease saves work, not safety: a paused holder may
// believe for a moment that it still holds, so what it guards must be
// protected by its own conditional updates.
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
	// Incarnation is the holder's process.
	Incarnation string `json:"incarnation"`
	// Term grows each time that the holder changes. It starts at 1.
	Term int64 `json:"term"`
}

// view is what a candidate knows of the stored lease. The zero value knows
// nothing.
type view struct {
	object objectstore.Object
	value  Value
	exists bool
	// since is when this candidate first read the object's version.
	since time.Time
	// validFrom is when the write that last renewed the lease was begun; zero
	// where this candidate does not hold it.
	validFrom time.Time
}

// action is what a candidate does next.
type action int

const (
	actionWait action = iota
	actionRenew
	actionTake
)

// next decides from the view alone. A candidate takes a lease over when its
// version has not changed for the duration, on the candidate's own clock.
func (v *view) next(self Value, now time.Time, duration time.Duration) action {
	switch {
	case !v.exists || v.value.Holder == "":
		return actionTake
	case v.mine(self):
		return actionRenew
	case now.Sub(v.since) >= duration:
		return actionTake
	default:
		return actionWait
	}
}

func (v *view) mine(self Value) bool {
	return v.exists && v.value.Holder == self.Holder && v.value.Incarnation == self.Incarnation
}

// held reports whether the candidate may act as holder at the time given.
func (v *view) held(self Value, now time.Time, duration time.Duration) bool {
	return v.mine(self) && !v.validFrom.IsZero() && now.Sub(v.validFrom) < duration
}

// observe takes in an object as read or written.
func (v *view) observe(obj objectstore.Object, now time.Time) error {
	if v.exists && obj.Version < v.object.Version {
		return nil
	}
	var value Value
	if err := json.Unmarshal(obj.Value, &value); err != nil {
		return errors.Wrapf(err, "decode lease %s", obj.Name)
	}
	if !v.exists || obj.Version != v.object.Version {
		v.since = now
	}
	v.object, v.value, v.exists = obj, value, true
	return nil
}

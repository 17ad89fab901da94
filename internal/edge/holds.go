package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/retry"
)

// kindHolds is the kind of the store object that lists what is held back.
const kindHolds objectstore.Kind = "bilberryslip-holds"

const (
	// holdsName is the name of the only object.
	holdsName = "all"
	// holdsInterval is the time between two checks whether the holds have changed.
	holdsInterval = time.Second
	// minReadBackoff and maxReadBackoff bound the backoff between attempts to read the
	// holds at the start.
	minReadBackoff, maxReadBackoff = 50 * time.Millisecond, time.Second
)

// storedHolds is the value of the object.
type storedHolds struct {
	Holds []quarantine.StoredHold `json:"holds"`
}

// holdKeeper keeps the holds in the store, so that they outlast a restart of all hosts.
// Each host reads them at its start; the holder of the placement lease writes them when
// they change or the store was restored. It implements suture.Service.
type holdKeeper struct {
	store      objectstore.RestorableStore
	quarantine *quarantine.Quarantine
	// leads reports whether this host holds the placement lease.
	leads func() bool
	// object is the object as last read or written; without a version if there is none.
	object objectstore.Object
}

// String returns the name of the service for the supervisor's logs.
func (k *holdKeeper) String() string { return "holds" }

// Serve restores the stored holds, and then writes those of this host while it leads,
// until ctx is done.
func (k *holdKeeper) Serve(ctx context.Context) error {
	backoff := retry.NewBackOff(minReadBackoff, maxReadBackoff)
	for {
		err := k.read(ctx)
		if err == nil {
			break
		}
		logrus.WithError(err).Warn("reading the stored holds failed; retrying")
		if !retry.Sleep(ctx, backoff.NextBackOff()) {
			return ctx.Err()
		}
	}
	for retry.Sleep(ctx, holdsInterval) {
		if !k.leads() {
			continue
		}
		if err := k.write(ctx); err != nil {
			logrus.WithError(err).Warn("writing the holds failed; trying again")
		}
	}
	return ctx.Err()
}

func (k *holdKeeper) read(ctx context.Context) error {
	object, err := k.store.Get(ctx, kindHolds, holdsName)
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return err
	}
	k.restore(object)
	return nil
}

// restore takes over the holds of an object. One that can't be read is replaced by the
// next write.
func (k *holdKeeper) restore(object objectstore.Object) {
	k.object = object
	var value storedHolds
	err := json.Unmarshal(object.Value, &value)
	if err == nil {
		err = k.quarantine.Restore(value.Holds)
	}
	if err != nil {
		logrus.WithError(err).Warn("stored holds that can't be read are ignored; they are replaced by those of this host")
	}
}

// write stores the holds if they differ from the stored ones. If another host has written
// in between, it takes that host's holds over and leaves the write to the next call.
func (k *holdKeeper) write(ctx context.Context) error {
	holds := k.quarantine.Holds()
	value, err := json.Marshal(storedHolds{Holds: holds})
	if err != nil {
		return errors.Wrap(err, "encode the holds")
	}
	exists := k.object.Name != ""
	if !exists && len(holds) == 0 || exists && !k.undone() && sameJSON(value, k.object.Value) {
		return nil
	}
	current, replaced, err := writeStored(ctx, k.store, kindHolds, holdsName, k.object, value)
	switch {
	case err != nil:
		return err
	case replaced:
		k.restore(current)
	default:
		k.object = current
	}
	return nil
}

// undone reports whether the store was restored from an older copy since the object was
// read or written, so that it may lack it or hold an earlier one.
func (k *holdKeeper) undone() bool {
	era, known := k.store.Era()
	return known && k.object.Version.Era() < era
}

// sameJSON reports whether two values are equal but for white space.
func sameJSON(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	return json.Compact(&compactA, a) == nil && json.Compact(&compactB, b) == nil && bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

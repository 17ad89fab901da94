package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/streamorigin"
)

// kindSoftware is the kind of the store object that lists the software versions that
// services had lately.
const kindSoftware objectstore.Kind = "bilberryslip-software"

const (
	// softwareName is the name of the only object.
	softwareName = "all"
	// softwareInterval is the time between two checks whether the versions have changed.
	// They cost no call.
	softwareInterval = 100 * time.Millisecond
	// substituteAfter is how long a version may be unrecorded before hosts that don't hold
	// the placement lease write it too, spread over substituteSpread by their names, so
	// that the first one's report spares the others the call. A lease moves within some
	// seconds.
	substituteAfter, substituteSpread = 3 * time.Second, 5 * time.Second
)

// softwareKeeper keeps the software versions that services had lately in the store, so that
// hosts know of those that are gone after a restart of all hosts. Each host reads them
// once, as soon as it lists endpoints, and again after it was out of touch with the store
// and peers; the holder of the placement lease writes them when
// they change. It implements suture.Service.
type softwareKeeper struct {
	store   objectstore.RestorableStore
	origins *streamorigin.Origins
	host    string
	// firstStart means that all hosts start for the first time.
	firstStart bool
	// listed returns the versions of the listed endpoints by service.
	listed streamorigin.Listed
	// leads reports whether this host holds the placement lease.
	leads func() bool
	// object is the object as last read or written; without a name if there is none.
	object objectstore.Object
	// clock is that of origins.
	clock func() time.Time
}

// String returns the name of the service for the supervisor's logs.
func (k *softwareKeeper) String() string { return "software" }

// Serve reads the record, and then writes this host's versions as needed, until ctx is
// done.
func (k *softwareKeeper) Serve(ctx context.Context) error {
	// Without endpoints there is no stream to be taken up, and mostly no store.
	for len(k.listed()) == 0 {
		if !retry.Sleep(ctx, minReadBackoff) {
			return ctx.Err()
		}
	}
	backoff := retry.NewBackOff(minReadBackoff, maxReadBackoff)
	for {
		err := k.read(ctx)
		if err == nil {
			break
		}
		logrus.WithError(err).Warn("reading the recorded software versions failed; streams of unknown origin are refused until a read succeeds or a peer reports the versions; retrying")
		if !retry.Sleep(ctx, backoff.NextBackOff()) {
			return ctx.Err()
		}
	}
	backoff.Reset()
	pause := softwareInterval
	for retry.Sleep(ctx, pause) {
		pause = softwareInterval
		if err := k.update(ctx); err != nil {
			logrus.WithError(err).Warn("reading or recording the software versions failed; trying again")
			pause = backoff.NextBackOff()
			continue
		}
		backoff.Reset()
	}
	return ctx.Err()
}

// update reads the record again if this host was out of touch, and writes this host's
// versions if it is to.
func (k *softwareKeeper) update(ctx context.Context) error {
	if k.origins.NeedsRecord() {
		return k.read(ctx)
	}
	if !k.writes() {
		return nil
	}
	return k.write(ctx)
}

// writes reports whether this host is to write changes: as holder of the placement lease,
// or if the holder has not recorded a version for too long.
func (k *softwareKeeper) writes() bool {
	spread := time.Duration(xxhash.Sum64String(k.host) % uint64(substituteSpread))
	return k.leads() || k.origins.UnrecordedFor() > substituteAfter+spread
}

func (k *softwareKeeper) read(ctx context.Context) error {
	readAt := k.clock()
	object, err := k.store.Get(ctx, kindSoftware, softwareName)
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		k.origins.Restore(nil, k.era(), k.firstStart, readAt)
		return nil
	}
	if err != nil {
		return err
	}
	k.restore(object, readAt)
	return nil
}

// restore takes over an object that was read by a call that began at readAt. One that can't
// be read counts as missing and is replaced by the next write.
func (k *softwareKeeper) restore(object objectstore.Object, readAt time.Time) {
	k.object = object
	var record streamorigin.Record
	err := json.Unmarshal(object.Value, &record)
	if err == nil && (record.Era < 0 || record.Era > k.era()) {
		// The response with the record has shown the store's era.
		err = errors.Newf("field era is %d; the store is in era %d", record.Era, k.era())
	}
	if err != nil {
		logrus.WithError(err).Warn("recorded software versions ignored; they are replaced by those of this host")
		k.origins.Restore(nil, k.era(), false, readAt)
		return
	}
	if era := k.era(); record.Era < era {
		logrus.WithFields(logrus.Fields{"era": era, "recorded_era": record.Era}).Warn("the recorded software versions are of an older copy of the store; versions may be missing")
	}
	k.origins.Restore(&record, k.era(), false, readAt)
}

// era returns the store's era; 0 if it has none.
func (k *softwareKeeper) era() int64 {
	era, _ := k.store.Era()
	return era
}

// write stores the versions if they differ from the stored ones. If another host has
// written in between, it takes that host's versions over and leaves the write to the next
// call.
func (k *softwareKeeper) write(ctx context.Context) error {
	record := k.origins.Record(k.era())
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the software versions")
	}
	exists := k.object.Name != ""
	if !exists && len(record.Services) == 0 || exists && sameJSON(value, k.object.Value) {
		return nil
	}
	writtenAt := k.clock()
	current, replaced, err := writeStored(ctx, k.store, kindSoftware, softwareName, k.object, value)
	switch {
	case err != nil:
		return err
	case replaced:
		k.restore(current, writtenAt)
		return nil
	}
	k.object = current
	if current.Name == "" {
		return nil
	}
	k.origins.Written(record)
	logrus.WithFields(logrus.Fields{"version": current.Version, "services": string(value)}).Info("software versions recorded")
	return nil
}

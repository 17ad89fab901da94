package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// maxChunkBytes limits the size of a chunk as stored. The platform accepts
	// at most 1 MiB per value.
	maxChunkBytes = 512 << 10
	// snapshotTimeout limits the time to write and compact one snapshot.
	snapshotTimeout = time.Minute
	// manifestPrefix is the name prefix of manifests.
	manifestPrefix = "manifest-"
)

// manifest identifies the chunks that make up a stored snapshot. It is written
// after them, so a snapshot that has a manifest is complete.
type manifest struct {
	Revision int64 `json:"revision"`
	// ChunkPrefix is the name prefix of the chunks. It is unique to each write.
	ChunkPrefix string `json:"chunkPrefix"`
	// Chunks is the number of chunks.
	Chunks int `json:"chunks"`
}

func (m manifest) name() string { return manifestPrefix + changeName(m.Revision) }

// wakeSnapshots wakes the snapshot loop if the revision passed a multiple of
// SnapshotInterval.
func (l *Log) wakeSnapshots(before, after int64) {
	if before/l.config.SnapshotInterval == after/l.config.SnapshotInterval {
		return
	}
	select {
	case l.snapshotDue <- struct{}{}:
	default:
	}
}

// snapshotLoop writes a snapshot whenever one is due. It becomes due on every
// host at once; a random delay lets the first host write it, after which the
// others find that it exists.
func (l *Log) snapshotLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.snapshotDue:
		}
		if !retry.Sleep(ctx, rand.N(l.config.SnapshotDelay)) {
			return ctx.Err()
		}
		if err := l.WriteSnapshot(ctx); err != nil && ctx.Err() == nil {
			logrus.WithError(err).Warn("writing the configuration snapshot failed; retrying when the next one is due")
		}
	}
}

// WriteSnapshot stores the snapshot in force in the platform and deletes the
// snapshots and changes that it makes unnecessary. It does nothing if the latest
// stored snapshot is less than SnapshotInterval revisions old.
func (l *Log) WriteSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	manifests, err := l.listManifests(ctx)
	if err != nil {
		return err
	}
	snapshot := l.Current()
	if len(manifests) > 0 && manifests[len(manifests)-1].Revision+l.config.SnapshotInterval > snapshot.revision {
		return nil
	}
	m, err := l.writeChunks(ctx, snapshot)
	if err != nil {
		return err
	}
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encoding a snapshot manifest")
	}
	if _, err := objectstore.CreateSettled(ctx, l.config.Store, objectstore.KindConfigSnapshot, m.name(), uuid.NewString(), value); err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"revision": m.Revision, "chunks": m.Chunks}).Info("configuration snapshot written")
	return l.compact(ctx, append(manifests, m))
}

func (l *Log) writeChunks(ctx context.Context, snapshot *Snapshot) (manifest, error) {
	m := manifest{
		Revision:    snapshot.revision,
		ChunkPrefix: fmt.Sprintf("chunk-%s-%s-", changeName(snapshot.revision), uuid.NewString()),
	}
	for _, chunk := range splitSnapshot(snapshot) {
		value, err := protojson.Marshal(chunk)
		if err != nil {
			return m, errors.Wrap(err, "encoding a snapshot chunk")
		}
		name := fmt.Sprintf("%s%04d", m.ChunkPrefix, m.Chunks)
		if _, err := objectstore.CreateSettled(ctx, l.config.Store, objectstore.KindConfigSnapshot, name, uuid.NewString(), value); err != nil {
			return m, err
		}
		m.Chunks++
	}
	return m, nil
}

// splitSnapshot splits a snapshot into chunks of at most maxChunkBytes. A single
// object above that size gets a chunk of its own.
func splitSnapshot(snapshot *Snapshot) []*apiv1.ConfigSnapshot {
	current := &apiv1.ConfigSnapshot{Revision: snapshot.revision}
	chunks := []*apiv1.ConfigSnapshot{current}
	size := 0
	for _, obj := range snapshot.Objects(apiv1.Kind_KIND_UNSPECIFIED) {
		added := encodedSize(obj)
		if size > 0 && size+added > maxChunkBytes {
			current = &apiv1.ConfigSnapshot{Revision: snapshot.revision}
			chunks = append(chunks, current)
			size = 0
		}
		current.Objects = append(current.Objects, obj)
		size += added
	}
	return chunks
}

// listManifests returns the stored manifests, ordered by revision.
func (l *Log) listManifests(ctx context.Context) ([]manifest, error) {
	listing, err := l.config.Store.List(ctx, objectstore.KindConfigSnapshot, manifestPrefix)
	if err != nil {
		return nil, err
	}
	manifests := make([]manifest, 0, len(listing.Items))
	for _, item := range listing.Items {
		var m manifest
		err := json.Unmarshal(item.Value, &m)
		if err == nil && (m.Revision <= 0 || m.Chunks <= 0 || m.ChunkPrefix == "") {
			err = errors.New("the manifest names no snapshot")
		}
		if err != nil {
			l.ignore(item, err)
			continue
		}
		manifests = append(manifests, m)
	}
	return manifests, nil
}

// loadSnapshot reads the newest stored snapshot that can be read whole and installs it if it
// is later than the one in force.
func (l *Log) loadSnapshot(ctx context.Context) error {
	manifests, err := l.listManifests(ctx)
	if err != nil {
		return err
	}
	if len(manifests) == 0 {
		return errors.New("the configuration log begins late and there is no snapshot; restore the snapshot objects")
	}
	for i := len(manifests) - 1; i >= 0; i-- {
		if err = l.readSnapshot(ctx, manifests[i]); err == nil {
			return nil
		}
		logrus.WithError(err).WithField("revision", manifests[i].Revision).Warn("configuration snapshot can't be read; trying the one before")
	}
	return err
}

// readSnapshot reads a stored snapshot and installs it if it is later than the one in force.
func (l *Log) readSnapshot(ctx context.Context, m manifest) error {
	listing, err := l.config.Store.List(ctx, objectstore.KindConfigSnapshot, m.ChunkPrefix)
	if err != nil {
		return err
	}
	if len(listing.Items) != m.Chunks {
		return errors.Newf("configuration snapshot %d has %d chunks of %d; list again", m.Revision, len(listing.Items), m.Chunks)
	}
	objects, err := decodeChunks(listing)
	if err != nil {
		return err
	}
	l.update(func(r *replica, _ time.Time) { r.installSnapshot(NewSnapshot(m.Revision, objects)) })
	return nil
}

func decodeChunks(listing objectstore.Listing) ([]*apiv1.Object, error) {
	var objects []*apiv1.Object
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	for _, item := range listing.Items {
		chunk := &apiv1.ConfigSnapshot{}
		if err := options.Unmarshal(item.Value, chunk); err != nil {
			return nil, errors.Wrapf(err, "decoding snapshot chunk %q; delete the snapshot's manifest", item.Name)
		}
		objects = append(objects, chunk.Objects...)
	}
	return objects, nil
}

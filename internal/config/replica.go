package config

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

const (
	// maxHistory is the number of applied changes that are kept to serve peers
	// and to recognise a change that is applied again.
	maxHistory = 2048
	// maxPending is the number of changes kept that arrived before an earlier
	// one.
	maxPending = 1024
)

// receivedChange is a change and the time at which this host first received it.
type receivedChange struct {
	change     *apiv1.Change
	receivedAt time.Time
}

// replica is this host's copy of the configuration log. Changes may arrive from
// any source and in any order; it applies change n+1 only after change n. It does
// no I/O and is not safe for concurrent use.
type replica struct {
	snapshot *Snapshot
	// history holds contiguous revisions that end at the snapshot's.
	history []receivedChange
	// pending holds changes that cannot be applied yet because an earlier one
	// is missing.
	pending map[int64]receivedChange
	byID    map[string]*apiv1.Change
	// forked is set when two different changes were received for one revision.
	forked bool
	// keepChanges is the number of latest changes that are never compacted. An
	// older revision may have been compacted and its name taken again by a
	// delayed write, which is not part of the log.
	keepChanges int64
}

func newReplica(keepChanges int64) *replica {
	return &replica{
		keepChanges: keepChanges,
		snapshot:    NewSnapshot(0, nil),
		pending:     make(map[int64]receivedChange),
		byID:        make(map[string]*apiv1.Change),
	}
}

func (r *replica) revision() int64 { return r.snapshot.revision }

// addChanges adds changes from any source, applies those that have become
// contiguous and reports whether the snapshot advanced.
func (r *replica) addChanges(now time.Time, changes ...*apiv1.Change) bool {
	for _, change := range changes {
		r.addChange(now, change)
	}
	return r.advance()
}

// addChange puts a change among the pending ones, or compares it with the change
// known at its revision.
func (r *replica) addChange(now time.Time, change *apiv1.Change) {
	revision := change.GetRevision()
	if revision <= r.revision() {
		known := r.changeAt(revision)
		kept := revision > r.revision()-r.keepChanges
		r.forked = r.forked || kept && known != nil && known.ChangeId != change.ChangeId
		return
	}
	if known, ok := r.pending[revision]; ok {
		r.forked = r.forked || known.change.ChangeId != change.ChangeId
		return
	}
	if len(r.pending) < maxPending || revision == r.revision()+1 {
		r.pending[revision] = receivedChange{change: change, receivedAt: now}
	}
}

// advance applies the pending changes that directly follow the snapshot, in one
// step, and reports whether there were any.
func (r *replica) advance() bool {
	var run []receivedChange
	for next := r.revision() + 1; ; next++ {
		received, ok := r.pending[next]
		if !ok {
			break
		}
		delete(r.pending, next)
		run = append(run, received)
	}
	if len(run) == 0 {
		return false
	}
	changes := make([]*apiv1.Change, len(run))
	for i, received := range run {
		changes[i] = received.change
		r.byID[received.change.ChangeId] = received.change
	}
	r.snapshot = r.snapshot.after(changes)
	r.history = append(r.history, run...)
	r.trim()
	return true
}

// trim drops the oldest changes beyond maxHistory.
func (r *replica) trim() {
	excess := len(r.history) - maxHistory
	for i := range max(excess, 0) {
		delete(r.byID, r.history[i].change.ChangeId)
	}
	if excess > 0 {
		r.history = append([]receivedChange(nil), r.history[excess:]...)
	}
}

// installSnapshot replaces the current snapshot if the new one is later, and
// reports whether it did. It clears the history.
func (r *replica) installSnapshot(snapshot *Snapshot) bool {
	if snapshot.revision <= r.revision() {
		return false
	}
	r.snapshot = snapshot
	r.history = nil
	clear(r.byID)
	for revision := range r.pending {
		if revision <= snapshot.revision {
			delete(r.pending, revision)
		}
	}
	r.advance()
	return true
}

// backfill extends the history backwards with changes, ordered by revision, that
// the snapshot already includes.
func (r *replica) backfill(now time.Time, changes []*apiv1.Change) {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].Revision != r.oldest()-1 || len(r.history) >= maxHistory {
			continue
		}
		r.history = append([]receivedChange{{change: changes[i], receivedAt: now}}, r.history...)
		r.byID[changes[i].ChangeId] = changes[i]
	}
}

// oldest returns the revision of the oldest change in the history, or the next
// revision if the history is empty.
func (r *replica) oldest() int64 { return r.revision() - int64(len(r.history)) + 1 }

// changeAt returns the change at a revision, or nil if it is not in the history.
func (r *replica) changeAt(revision int64) *apiv1.Change {
	if revision < r.oldest() || revision > r.revision() {
		return nil
	}
	return r.history[revision-r.oldest()].change
}

// changesAfter returns at most limit changes that follow a revision; ok is false
// if the history does not reach back that far.
func (r *replica) changesAfter(revision int64, limit int) (changes []*apiv1.Change, ok bool) {
	if revision+1 < r.oldest() {
		return nil, false
	}
	for next := revision + 1; next <= r.revision() && len(changes) < limit; next++ {
		changes = append(changes, r.changeAt(next))
	}
	return changes, true
}

// after returns the snapshot that results from applying contiguous changes,
// which must begin at the next revision.
func (s *Snapshot) after(changes []*apiv1.Change) *Snapshot {
	objects := make(map[ObjectKey]*apiv1.Object, len(s.objects))
	for key, obj := range s.objects {
		objects[key] = obj
	}
	for _, change := range changes {
		applyMutations(objects, change.Revision, change.Mutations)
	}
	list := make([]*apiv1.Object, 0, len(objects))
	for _, obj := range objects {
		list = append(list, obj)
	}
	return NewSnapshot(s.revision+int64(len(changes)), list)
}

func applyMutations(objects map[ObjectKey]*apiv1.Object, revision int64, mutations []*apiv1.Mutation) {
	for _, mutation := range mutations {
		key := ObjectKey{mutation.GetKind(), mutation.GetName()}
		if mutation.Delete {
			delete(objects, key)
			continue
		}
		obj := proto.CloneOf(mutation.Object)
		obj.Version = revision
		objects[key] = obj
	}
}

package config

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

const (
	// maxHistory is the number of applied changes kept for peers and for
	// recognising a repeated change.
	maxHistory = 2048
	// maxPending is the number of changes kept that arrived too early.
	maxPending = 1024
)

// learnedChange is a change and when this host first saw it.
type learnedChange struct {
	change *apiv1.Change
	at     time.Time
}

// replica is this host's copy of the configuration log. It applies change
// n+1 only after change n, from whatever source and in whatever order changes
// arrive. It does no I/O and is not safe for concurrent use.
type replica struct {
	snapshot *Snapshot
	// history is dense and ends at the snapshot's revision.
	history []learnedChange
	// pending holds changes beyond the next one.
	pending map[int64]learnedChange
	byID    map[string]*apiv1.Change
	// forked is set once two different changes were seen at one revision.
	forked bool
	// keepChanges is the number of latest changes that are never compacted.
	// Below them the name of a revision may have been free for a late write,
	// which is no part of the log.
	keepChanges int64
}

func newReplica(keepChanges int64) *replica {
	return &replica{
		keepChanges: keepChanges,
		snapshot:    NewSnapshot(0, nil),
		pending:     make(map[int64]learnedChange),
		byID:        make(map[string]*apiv1.Change),
	}
}

func (r *replica) revision() int64 { return r.snapshot.revision }

// offer takes changes from any source and reports whether the snapshot
// advanced.
func (r *replica) offer(now time.Time, changes ...*apiv1.Change) bool {
	for _, change := range changes {
		r.take(now, change)
	}
	return r.advance()
}

func (r *replica) take(now time.Time, change *apiv1.Change) {
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
		r.pending[revision] = learnedChange{change: change, at: now}
	}
}

// advance applies the dense run of pending changes in one step.
func (r *replica) advance() bool {
	var run []learnedChange
	for next := r.revision() + 1; ; next++ {
		learned, ok := r.pending[next]
		if !ok {
			break
		}
		delete(r.pending, next)
		run = append(run, learned)
	}
	if len(run) == 0 {
		return false
	}
	changes := make([]*apiv1.Change, len(run))
	for i, learned := range run {
		changes[i] = learned.change
		r.byID[learned.change.ChangeId] = learned.change
	}
	r.snapshot = r.snapshot.after(changes)
	r.history = append(r.history, run...)
	r.trim()
	return true
}

func (r *replica) trim() {
	excess := len(r.history) - maxHistory
	for i := range max(excess, 0) {
		delete(r.byID, r.history[i].change.ChangeId)
	}
	if excess > 0 {
		r.history = append([]learnedChange(nil), r.history[excess:]...)
	}
}

// offerSnapshot replaces the snapshot if it is later than the present one.
func (r *replica) offerSnapshot(snapshot *Snapshot) bool {
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

// backfill extends the history backwards with changes that the snapshot
// already includes.
func (r *replica) backfill(now time.Time, changes []*apiv1.Change) {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].Revision != r.oldest()-1 || len(r.history) >= maxHistory {
			continue
		}
		r.history = append([]learnedChange{{change: changes[i], at: now}}, r.history...)
		r.byID[changes[i].ChangeId] = changes[i]
	}
}

// oldest returns the revision of the oldest change in the history, or the
// next revision where the history is empty.
func (r *replica) oldest() int64 { return r.revision() - int64(len(r.history)) + 1 }

// changeAt returns the change of a revision, or nil where it isn't kept.
func (r *replica) changeAt(revision int64) *apiv1.Change {
	if revision < r.oldest() || revision > r.revision() {
		return nil
	}
	return r.history[revision-r.oldest()].change
}

// changesAfter returns changes that follow a revision; ok is false where the
// history doesn't reach back to it.
func (r *replica) changesAfter(revision int64, limit int) (changes []*apiv1.Change, ok bool) {
	if revision+1 < r.oldest() {
		return nil, false
	}
	for next := revision + 1; next <= r.revision() && len(changes) < limit; next++ {
		changes = append(changes, r.changeAt(next))
	}
	return changes, true
}

// after returns the snapshot that follows from dense changes.
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

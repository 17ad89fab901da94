package objectstore

import "fmt"

// Version is the position of a write in the order of all writes to the platform.
// A later write has a higher version. It combines the era of the store with the
// revision of the write within that era, so that versions stay in order when the
// store is restored from an older copy, loses writes and assigns their revisions
// again. In a store without eras, the era is 0 and the version equals the revision.
type Version int64

// revisionBits is the number of low bits of a Version that hold the revision.
const revisionBits = 40

// NewVersion returns the version of a revision, below 2^40, in an era of the store.
func NewVersion(era, revision int64) Version { return Version(era<<revisionBits | revision) }

// Era returns the era of the store.
func (v Version) Era() int64 { return int64(v) >> revisionBits }

// Revision returns the revision within the era.
func (v Version) Revision() int64 { return int64(v) & (1<<revisionBits - 1) }

// String returns the revision, preceded by the era if it is not 0, for logs.
func (v Version) String() string {
	if v.Era() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d.%d", v.Era(), v.Revision())
}

// RestorableStore is a Store that may be restored from an older copy.
type RestorableStore interface {
	Store
	// Era returns the highest era seen in the store's responses and passed to
	// ObserveEra, and whether there was any.
	Era() (era int64, known bool)
	// ObserveEra records an era of the store that another process has seen.
	// Responses of earlier eras are rejected from then on.
	ObserveEra(era int64)
	// OnRestore sets a function to call with the new era whenever a higher one is
	// seen, except for the first. It must be called before the store is used.
	OnRestore(f func(era int64))
}

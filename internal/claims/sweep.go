package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// sweepName names the object that measures the retention.
	sweepName = "claims-sweep"
	// sweepMarks is the number of marks in one retention.
	sweepMarks = 144
	// sweepPrefixDigits is the number of hexadecimal digits by which claims
	// are listed, so that no list is long.
	sweepPrefixDigits = 3
	// sweepPrefixes is the number of such prefixes.
	sweepPrefixes = 1 << (4 * sweepPrefixDigits)
	// sweepPrefixesPerMark are swept at each mark, so that each prefix is
	// swept once in a retention.
	sweepPrefixesPerMark = (sweepPrefixes + sweepMarks - 1) / sweepMarks
	// deleteInterval spaces deletions, to leave the platform's write budget
	// to others.
	deleteInterval = 50 * time.Millisecond
)

// sweepState measures the retention without comparing the clocks of hosts. A
// host adds a mark only after it has seen the state unchanged for one
// interval by its own clock; so the platform's version at the mark n places
// back is at least n intervals old.
type sweepState struct {
	// Marks are versions of the platform, oldest first.
	Marks []objectstore.Version `json:"marks"`
	// Next is the next prefix to sweep.
	Next int `json:"next"`
}

// expired returns the version up to which claims are past their retention.
// Zero means that none is.
func (s sweepState) expired() objectstore.Version {
	if len(s.Marks) <= sweepMarks {
		return 0
	}
	return s.Marks[len(s.Marks)-1-sweepMarks]
}

// advanced returns the state with one more mark.
func (s sweepState) advanced(mark objectstore.Version) sweepState {
	marks := append(append([]objectstore.Version(nil), s.Marks...), mark)
	marks = marks[max(0, len(marks)-sweepMarks-1):]
	return sweepState{Marks: marks, Next: (s.Next + sweepPrefixesPerMark) % sweepPrefixes}
}

// Serve writes what is pending and deletes old claims until the context ends.
func (b *Book) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.servePending(ctx) })
	group.Go(func() error { return b.serveSweep(ctx) })
	return group.Wait()
}

// String names the service for its supervisor.
func (b *Book) String() string { return "claims" }

// serveSweep lets one host at each mark, whichever writes it, delete the
// claims that are past their retention.
func (b *Book) serveSweep(ctx context.Context) error {
	for {
		seen, err := b.readSweep(ctx)
		if !retry.Sleep(ctx, b.config.Retention/sweepMarks) {
			return ctx.Err()
		}
		if err == nil {
			err = b.sweep(ctx, seen)
		}
		if err != nil && ctx.Err() == nil {
			logrus.WithError(err).Warn("old claims not deleted; the next sweep tries again")
		}
	}
}

// readSweep returns the object that measures the retention, creating it where
// it is missing.
func (b *Book) readSweep(ctx context.Context) (objectstore.Object, error) {
	obj, err := b.config.Store.Get(ctx, objectstore.KindLease, sweepName)
	var missing *objectstore.NotFoundError
	if !errors.As(err, &missing) {
		return obj, err
	}
	return b.config.Store.Create(ctx, objectstore.KindLease, sweepName, uuid.NewString(), json.RawMessage(`{}`))
}

// sweep adds a mark to the state seen one interval ago, and if no other host
// did so, deletes the old claims of the next prefixes.
func (b *Book) sweep(ctx context.Context, seen objectstore.Object) error {
	var state sweepState
	if err := json.Unmarshal(seen.Value, &state); err != nil {
		return errors.Wrapf(err, "decoding %s %q; delete the object", seen.Kind, seen.Name)
	}
	next := state.advanced(seen.Version)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encoding the sweep state")
	}
	_, err = b.config.Store.Update(ctx, objectstore.KindLease, sweepName, seen.Version, uuid.NewString(), value)
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil || next.expired() == 0 {
		return err
	}
	for i := range sweepPrefixesPerMark {
		if err := b.sweepPrefix(ctx, (state.Next+i)%sweepPrefixes, next.expired()); err != nil {
			return err
		}
	}
	return nil
}

func (b *Book) sweepPrefix(ctx context.Context, prefix int, expired objectstore.Version) error {
	listing, err := b.config.Store.List(ctx, objectstore.KindClaim, fmt.Sprintf("%0*x", sweepPrefixDigits, prefix))
	if err != nil {
		return err
	}
	for _, obj := range listing.Items {
		if obj.Version > expired {
			continue
		}
		err := b.config.Store.Delete(ctx, objectstore.KindClaim, obj.Name, obj.Version)
		if err := ignoreMissing(err); err != nil {
			return err
		}
		b.metrics.deleted.Inc()
		if !retry.Sleep(ctx, deleteInterval) {
			return ctx.Err()
		}
	}
	return nil
}

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
	// sweepName names the object that stores the sweepState.
	sweepName = "claims-sweep"
	// sweepMarks is the number of marks per retention period.
	sweepMarks = 144
	// sweepPrefixDigits is the number of leading hexadecimal digits of their
	// names by which claims are listed. It keeps each listing short.
	sweepPrefixDigits = 3
	// sweepPrefixes is the number of such prefixes.
	sweepPrefixes = 1 << (4 * sweepPrefixDigits)
	// sweepPrefixesPerMark is the number of prefixes swept at each mark, so
	// that each prefix is swept once per retention period.
	sweepPrefixesPerMark = (sweepPrefixes + sweepMarks - 1) / sweepMarks
	// deleteInterval is the pause after each deletion. It leaves the
	// platform's write budget to other writers.
	deleteInterval = 50 * time.Millisecond
)

// sweepState measures the retention without comparing the clocks of hosts. A
// host adds a mark only if the state has not changed for one interval by its
// own clock. So the platform version recorded n marks back is at least n
// intervals old.
type sweepState struct {
	// Marks are platform versions, oldest first.
	Marks []objectstore.Version `json:"marks"`
	// Next is the next prefix to sweep.
	Next int `json:"next"`
}

// expired returns the platform version up to which claims are past their
// retention. Zero means that no claim is.
func (s sweepState) expired() objectstore.Version {
	if len(s.Marks) <= sweepMarks {
		return 0
	}
	return s.Marks[len(s.Marks)-1-sweepMarks]
}

// withMark returns the state with one more mark and the next prefix advanced.
func (s sweepState) withMark(mark objectstore.Version) sweepState {
	marks := append(append([]objectstore.Version(nil), s.Marks...), mark)
	marks = marks[max(0, len(marks)-sweepMarks-1):]
	return sweepState{Marks: marks, Next: (s.Next + sweepPrefixesPerMark) % sweepPrefixes}
}

// Serve retries pending writes and deletes claims past their retention until the
// context ends.
func (s *Store) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.servePending(ctx) })
	group.Go(func() error { return s.serveSweep(ctx) })
	return group.Wait()
}

// String returns the service's name, which its supervisor logs.
func (s *Store) String() string { return "claims" }

// serveSweep tries to add a mark in each interval. The host whose write of the
// mark succeeds deletes the claims that are past their retention.
func (s *Store) serveSweep(ctx context.Context) error {
	for {
		read, err := s.readSweep(ctx)
		if !retry.Sleep(ctx, s.config.Retention/sweepMarks) {
			return ctx.Err()
		}
		if err == nil {
			err = s.sweep(ctx, read)
		}
		if err != nil && ctx.Err() == nil {
			logrus.WithError(err).Warn("deleting expired claims failed; the next sweep retries")
		}
	}
}

// readSweep returns the object that stores the sweepState, creating it if it is
// missing.
func (s *Store) readSweep(ctx context.Context) (objectstore.Object, error) {
	obj, err := s.config.ObjectStore.Get(ctx, objectstore.KindLease, sweepName)
	var missing *objectstore.NotFoundError
	if !errors.As(err, &missing) {
		return obj, err
	}
	return s.config.ObjectStore.Create(ctx, objectstore.KindLease, sweepName, uuid.NewString(), json.RawMessage(`{}`))
}

// sweep adds a mark to the state read one interval ago. Unless another host
// added one first, it then deletes the expired claims of the next prefixes.
func (s *Store) sweep(ctx context.Context, read objectstore.Object) error {
	var state sweepState
	if err := json.Unmarshal(read.Value, &state); err != nil || state.Next < 0 || state.Next >= sweepPrefixes {
		logrus.WithError(err).WithFields(logrus.Fields{"kind": read.Kind, "name": read.Name, "version": read.Version}).
			Warn("sweep state can't be used; beginning a new one")
		state = sweepState{}
	}
	next := state.withMark(read.Version)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encoding sweep state")
	}
	_, err = s.config.ObjectStore.Update(ctx, objectstore.KindLease, sweepName, read.Version, uuid.NewString(), value)
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil || next.expired() == 0 {
		return err
	}
	for i := range sweepPrefixesPerMark {
		if err := s.sweepPrefix(ctx, (state.Next+i)%sweepPrefixes, next.expired()); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) sweepPrefix(ctx context.Context, prefix int, expired objectstore.Version) error {
	listing, err := s.config.ObjectStore.List(ctx, objectstore.KindClaim, fmt.Sprintf("%0*x", sweepPrefixDigits, prefix))
	if err != nil {
		return err
	}
	for _, obj := range listing.Items {
		if obj.Version > expired {
			continue
		}
		err := s.config.ObjectStore.Delete(ctx, objectstore.KindClaim, obj.Name, obj.Version)
		if err := ignoreMissing(err); err != nil {
			return err
		}
		s.metrics.deleted.Inc()
		if !retry.Sleep(ctx, deleteInterval) {
			return ctx.Err()
		}
	}
	return nil
}

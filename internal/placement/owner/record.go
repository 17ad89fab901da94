package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// claimsAtOnce limits the intent objects that are read or claimed at once.
const claimsAtOnce = 8

// record is this owner's copy of an endpoint's intent object.
type record struct {
	name    string
	version objectstore.Version
	exists  bool
	intents placement.Intents
	// readAt is when the first read of the object was answered.
	readAt time.Time
	// checkedAt is when the object was last read or written.
	checkedAt time.Time
	// known is false while the object has to be read: at first, and after a
	// write with an unknown outcome.
	known bool
	// unwrittenSince is when the first change was found that is not written;
	// zero where there is none.
	unwrittenSince time.Time
}

// deposedError reports that an owner with a higher term wrote the object.
type deposedError struct {
	owner string
	term  int64
}

// Error implements error.
func (e *deposedError) Error() string {
	return fmt.Sprintf("%s owns the endpoints now; leave them to it", e.owner)
}

// claimed reports whether this owner was the last to write the object, so
// that no earlier owner can write it without being noticed.
func (o *Owner) claimed(r *record) bool {
	return r != nil && r.known && r.exists && r.intents.Term == o.term && r.intents.Owner == o.sender
}

// claimAll reads and claims the objects of the zone's endpoints. An endpoint
// whose object can't be claimed gets no orders.
func (o *Owner) claimAll(ctx context.Context, views []*view) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(claimsAtOnce)
	for _, v := range views {
		if v.zone != o.cfg.Zone {
			continue
		}
		r := o.records[v.name]
		if r == nil {
			r = &record{name: v.name}
			o.records[v.name] = r
		}
		v.record = r
		switch {
		case !o.claimed(r):
			group.Go(func() error { return o.claim(ctx, r) })
		case o.recheckDue(r):
			group.Go(func() error { return o.read(ctx, r) })
		}
	}
	return group.Wait()
}

// recheckDue reports whether another sender may have written the end of its
// order in the meantime.
func (o *Owner) recheckDue(r *record) bool {
	if o.cfg.Now().Sub(r.checkedAt) < o.cfg.SettleDelay {
		return false
	}
	return slices.ContainsFunc(r.intents.Orders, func(order placement.Order) bool {
		return !order.Ended && order.Sender != o.sender
	})
}

func (o *Owner) claim(ctx context.Context, r *record) error {
	if !r.known {
		if err := o.read(ctx, r); err != nil {
			return err
		}
	}
	if o.claimed(r) {
		return nil
	}
	return o.write(ctx, r, r.intents.Clone())
}

func (o *Owner) read(ctx context.Context, r *record) error {
	obj, err := o.cfg.Store.Get(ctx, objectstore.KindEndpointIntent, r.name)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		*r = record{name: r.name, known: true, readAt: o.cfg.Now()}
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read intents of %s", r.name)
	}
	return o.take(r, obj)
}

// take copies an object as read or written into the record.
func (o *Owner) take(r *record, obj objectstore.Object) error {
	var intents placement.Intents
	if err := json.Unmarshal(obj.Value, &intents); err != nil {
		return errors.Wrapf(err, "decode intents of %s", r.name)
	}
	if intents.Term > o.term {
		return &deposedError{owner: intents.Owner, term: intents.Term}
	}
	r.checkedAt = o.cfg.Now()
	if !r.known {
		r.readAt = r.checkedAt
	}
	r.version, r.exists, r.known = obj.Version, true, true
	r.intents = intents
	r.unwrittenSince = time.Time{}
	return nil
}

// write replaces the object if nobody else has written it. On any error the
// record is read again before it is used, and no order of the write is sent.
func (o *Owner) write(ctx context.Context, r *record, next placement.Intents) error {
	next.Term, next.Owner = o.term, o.sender
	raw, err := json.Marshal(&next)
	if err != nil {
		return errors.Wrap(err, "encode intents")
	}
	obj, err := o.put(ctx, r, raw)
	if err != nil {
		r.known = false
		return errors.Wrapf(err, "write intents of %s", r.name)
	}
	o.metrics.writes.Inc()
	if err := o.take(r, obj); err != nil {
		return err
	}
	o.forgetSettled(r)
	return nil
}

func (o *Owner) put(ctx context.Context, r *record, raw json.RawMessage) (objectstore.Object, error) {
	writeID := uuid.NewString()
	if !r.exists {
		return o.cfg.Store.Create(ctx, objectstore.KindEndpointIntent, r.name, writeID, raw)
	}
	return o.cfg.Store.Update(ctx, objectstore.KindEndpointIntent, r.name, r.version, writeID, raw)
}

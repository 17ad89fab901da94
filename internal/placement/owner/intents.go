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

// maxParallelClaims limits the intent objects that are read or claimed in parallel.
const maxParallelClaims = 8

// cachedIntents is this owner's cached copy of an endpoint's intent object.
type cachedIntents struct {
	name    string
	version objectstore.Version
	// exists is set if the object is in the store.
	exists  bool
	intents placement.Intents
	// firstReadAt is the time of the response to the first read of the object,
	// or to the first one after a write failed.
	firstReadAt time.Time
	// checkedAt is the time at which the object was last read or written.
	checkedAt time.Time
	// valid is false while the object has to be read: at first, and after a
	// failed write.
	valid bool
	// unwrittenSince is the time at which the first change that is not yet
	// written was found; zero if there is none.
	unwrittenSince time.Time
}

// deposedError is returned if an owner with a higher term wrote the object.
type deposedError struct {
	owner string
	term  int64
}

// Error implements the error interface.
func (e *deposedError) Error() string {
	return fmt.Sprintf("intents were written by owner %s with a higher term", e.owner)
}

// claimed reports whether this owner was the last to write the object, so that a
// write by an earlier owner can't go unnoticed.
func (o *Owner) claimed(cached *cachedIntents) bool {
	return cached != nil && cached.valid && cached.exists && cached.intents.Term == o.term && cached.intents.Owner == o.sender
}

// claimAll reads and claims the intent objects of the zone's endpoints. If one
// can't be claimed, it returns an error, and the cycle sends no orders.
func (o *Owner) claimAll(ctx context.Context, views []*view) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelClaims)
	for _, v := range views {
		if v.zone != o.cfg.Zone {
			continue
		}
		cached := o.intentCache[v.name]
		if cached == nil {
			cached = &cachedIntents{name: v.name}
			o.intentCache[v.name] = cached
		}
		v.cached = cached
		switch {
		case !o.claimed(cached):
			group.Go(func() error { return o.ignoreUnreadable(cached, o.claim(ctx, cached)) })
		case o.recheckDue(cached):
			group.Go(func() error { return o.ignoreUnreadable(cached, o.read(ctx, cached)) })
		}
	}
	return group.Wait()
}

// unreadableIntentsError reports an object that another writer has overwritten.
type unreadableIntentsError struct {
	object objectstore.Object
	cause  error
}

// Error implements error.
func (e *unreadableIntentsError) Error() string {
	return fmt.Sprintf("intents of %s can't be decoded (%v); delete the object once its endpoint has no order in progress", e.object.Name, e.cause)
}

// ignoreUnreadable logs intents that can't be decoded and returns any other error. Their
// endpoint gets no orders: what it was ordered before is not known.
func (o *Owner) ignoreUnreadable(cached *cachedIntents, err error) error {
	var unreadable *unreadableIntentsError
	if !errors.As(err, &unreadable) {
		return err
	}
	cached.valid = false
	o.ignoredMu.Lock()
	defer o.ignoredMu.Unlock()
	o.ignored.Add(unreadable.object, err)
	return nil
}

// recheckDue reports whether the object has to be read again because another
// sender may have marked its order as ended since the last read.
func (o *Owner) recheckDue(cached *cachedIntents) bool {
	if o.cfg.Now().Sub(cached.checkedAt) < o.cfg.SettleDelay {
		return false
	}
	return slices.ContainsFunc(cached.intents.Orders, func(order placement.Order) bool {
		return !order.Ended && order.Sender != o.sender
	})
}

// claim makes this owner the last writer of the object.
func (o *Owner) claim(ctx context.Context, cached *cachedIntents) error {
	if !cached.valid {
		if err := o.read(ctx, cached); err != nil {
			return err
		}
	}
	if o.claimed(cached) {
		return nil
	}
	return o.write(ctx, cached, cached.intents.Clone())
}

// read reads the object into the cache.
func (o *Owner) read(ctx context.Context, cached *cachedIntents) error {
	obj, err := o.cfg.Store.Get(ctx, objectstore.KindEndpointIntent, cached.name)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		*cached = cachedIntents{name: cached.name, valid: true, firstReadAt: o.cfg.Now()}
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read intents of %s", cached.name)
	}
	return o.updateCache(cached, obj)
}

// updateCache stores an object that was read or written in the cache. It returns a
// deposedError if the object has a higher term than this owner.
func (o *Owner) updateCache(cached *cachedIntents, obj objectstore.Object) error {
	var intents placement.Intents
	if err := json.Unmarshal(obj.Value, &intents); err != nil {
		return &unreadableIntentsError{object: obj, cause: err}
	}
	if intents.Term > o.term {
		return &deposedError{owner: intents.Owner, term: intents.Term}
	}
	cached.checkedAt = o.cfg.Now()
	if !cached.valid {
		cached.firstReadAt = cached.checkedAt
	}
	cached.version, cached.exists, cached.valid = obj.Version, true, true
	cached.intents = intents
	cached.unwrittenSince = time.Time{}
	return nil
}

// write replaces the object if it has not been written by others since it was
// cached. After an error the object is read again before it is used, and no order
// of the write is sent.
func (o *Owner) write(ctx context.Context, cached *cachedIntents, next placement.Intents) error {
	next.Term, next.Owner = o.term, o.sender
	raw, err := json.Marshal(&next)
	if err != nil {
		return errors.Wrap(err, "encode intents")
	}
	obj, err := o.put(ctx, cached, raw)
	if err != nil {
		cached.valid = false
		return errors.Wrapf(err, "write intents of %s", cached.name)
	}
	o.metrics.writes.Inc()
	if err := o.updateCache(cached, obj); err != nil {
		return err
	}
	o.untrackSettled(cached)
	return nil
}

func (o *Owner) put(ctx context.Context, cached *cachedIntents, raw json.RawMessage) (objectstore.Object, error) {
	writeID := uuid.NewString()
	if !cached.exists {
		return o.cfg.Store.Create(ctx, objectstore.KindEndpointIntent, cached.name, writeID, raw)
	}
	return o.cfg.Store.Update(ctx, objectstore.KindEndpointIntent, cached.name, cached.version, writeID, raw)
}

package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// followWait is how long a lookout holds a call without changes; a call
	// that is not answered soon after it shows that the lookout is lost.
	followWait = 500 * time.Millisecond
	// followPause gathers changes between two calls.
	followPause = 200 * time.Millisecond
)

// follow answers a host that follows this one.
func (f *freshness) follow(ctx context.Context, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	m, ok := f.served[objectstore.Kind(request.GetKind())]
	if !ok || !f.onLookout() || f.stale(m) {
		return nil, twirp.NewError(twirp.Unavailable, "this host is not on lookout; follow another")
	}
	wait := min(time.Duration(request.GetWaitMillis())*time.Millisecond, followWait)
	update := m.Follow(ctx, objectstore.Version(request.GetAfter()), wait)
	response := &fleetv1.FollowResponse{Covered: int64(update.Covered), Whole: update.Whole}
	for _, event := range update.Events {
		response.Changes = append(response.Changes, &fleetv1.Change{
			Name: event.Object.Name, Version: int64(event.Version), Removed: event.Type == objectstore.EventDelete, Value: event.Object.Value,
		})
	}
	return response, nil
}

// stale reports whether the store's answer to this host is too old to be
// passed on.
func (f *freshness) stale(m *mirror.Mirror) bool {
	_, fresh := f.mirrors[m.Kind()]
	at := m.Reading().At
	return at.IsZero() || fresh && time.Since(at) > followAge
}

// lookoutSource reads the store by way of a peer on lookout. It implements
// mirror.Source.
type lookoutSource struct {
	exchange *exchange.Service
	address  string
	// lost is told when the peer doesn't answer.
	lost func()
}

func (l *lookoutSource) ask(ctx context.Context, kind objectstore.Kind, after objectstore.Version, wait time.Duration) (*fleetv1.FollowResponse, error) {
	response, err := l.exchange.FollowPeer(ctx, l.address, &fleetv1.FollowRequest{
		Kind: string(kind), After: int64(after), WaitMillis: wait.Milliseconds(),
	})
	if err != nil && ctx.Err() == nil {
		l.lost()
	}
	return response, errors.Wrapf(err, "follow the lookout at %s", l.address)
}

func events(kind objectstore.Kind, response *fleetv1.FollowResponse) []objectstore.Event {
	list := make([]objectstore.Event, 0, len(response.GetChanges()))
	for _, change := range response.GetChanges() {
		event := objectstore.Event{Type: objectstore.EventPut, Version: objectstore.Version(change.GetVersion())}
		event.Object = objectstore.Object{Kind: kind, Name: change.GetName(), Version: event.Version, Value: change.GetValue()}
		if change.GetRemoved() {
			event.Type = objectstore.EventDelete
		}
		list = append(list, event)
	}
	return list
}

// List implements mirror.Source.
func (l *lookoutSource) List(ctx context.Context, kind objectstore.Kind, _ string) (objectstore.Listing, error) {
	response, err := l.ask(ctx, kind, 0, 0)
	if err != nil {
		return objectstore.Listing{}, err
	}
	listing := objectstore.Listing{Version: objectstore.Version(response.GetCovered())}
	for _, event := range events(kind, response) {
		listing.Items = append(listing.Items, event.Object)
	}
	return listing, nil
}

// Watch implements mirror.Source.
func (l *lookoutSource) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	return objectstore.NewPolledWatch(ctx, after, followPause, func(ctx context.Context, after objectstore.Version) ([]objectstore.Event, error) {
		response, err := l.ask(ctx, kind, after, followWait)
		if err != nil {
			return nil, err
		}
		covered := objectstore.Version(response.GetCovered())
		if response.GetWhole() {
			return nil, &objectstore.CompactedError{Oldest: covered}
		}
		return append(events(kind, response), objectstore.Event{Type: objectstore.EventBookmark, Version: covered}), nil
	}), nil
}

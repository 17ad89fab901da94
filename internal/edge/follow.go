package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// followWait is how long a watcher host holds a call open without changes. A
	// call without a response soon after that means that the watcher failed.
	followWait = 500 * time.Millisecond
	// followPause is the pause between two calls, which batches changes.
	followPause = 200 * time.Millisecond
)

// follow handles a call of a peer that follows this host. It rejects the call if
// this host is not a watcher or its copy of the kind is too old to pass on.
func (c *watchCoordinator) follow(ctx context.Context, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	m, ok := c.served[objectstore.Kind(request.GetKind())]
	if !ok || !c.isWatcher() || c.stale(m) {
		return nil, twirp.NewError(twirp.Unavailable, "this host is not on lookout; follow another")
	}
	c.recordFollowed(time.Now())
	wait := min(time.Duration(request.GetWaitMillis())*time.Millisecond, followWait)
	update := m.Follow(ctx, objectstore.NewVersion(request.GetEra(), request.GetAfter()), wait)
	response := &fleetv1.FollowResponse{Era: update.Covered.Era(), Covered: update.Covered.Revision(), Whole: update.Whole}
	for _, event := range update.Events {
		response.Changes = append(response.Changes, &fleetv1.Change{
			Name: event.Object.Name, Version: event.Version.Revision(), Removed: event.Type == objectstore.EventDelete, Value: event.Object.Value,
		})
	}
	return response, nil
}

// stale reports whether the last response of the store is too old to pass on to
// followers.
func (c *watchCoordinator) stale(m *mirror.Mirror) bool {
	_, mustBeFresh := c.mirrors[m.Kind()]
	at := m.Reading().LastResponse
	return at.IsZero() || mustBeFresh && time.Since(at) > maxFollowAge
}

// watcherSource reads the store through a watcher host. It implements
// mirror.Source.
type watcherSource struct {
	peers   peerCalls
	address string
	// onFailure is called when a call to the peer fails, with whether the peer refused
	// it, and observeEra with the era of the store that a response shows.
	onFailure  func(refused bool)
	observeEra func(era int64)
}

func (s *watcherSource) fetchChanges(ctx context.Context, kind objectstore.Kind, after objectstore.Version, wait time.Duration) (*fleetv1.FollowResponse, error) {
	response, err := s.peers.FollowPeer(ctx, s.address, &fleetv1.FollowRequest{
		Kind: string(kind), Era: after.Era(), After: after.Revision(), WaitMillis: wait.Milliseconds(),
	})
	if err != nil && ctx.Err() == nil {
		var reply twirp.Error
		s.onFailure(errors.As(err, &reply) && reply.Code() == twirp.Unavailable)
	}
	if era := response.GetEra(); era > 0 {
		s.observeEra(era)
	}
	return response, errors.Wrapf(err, "follow the lookout at %s", s.address)
}

// covered returns the version up to which a response includes all changes.
func covered(response *fleetv1.FollowResponse) objectstore.Version {
	return objectstore.NewVersion(response.GetEra(), response.GetCovered())
}

func events(kind objectstore.Kind, response *fleetv1.FollowResponse) []objectstore.Event {
	list := make([]objectstore.Event, 0, len(response.GetChanges()))
	for _, change := range response.GetChanges() {
		event := objectstore.Event{Type: objectstore.EventPut, Version: objectstore.NewVersion(response.GetEra(), change.GetVersion())}
		event.Object = objectstore.Object{Kind: kind, Name: change.GetName(), Version: event.Version, Value: change.GetValue()}
		if change.GetRemoved() {
			event.Type = objectstore.EventDelete
		}
		list = append(list, event)
	}
	return list
}

// List implements mirror.Source.
func (s *watcherSource) List(ctx context.Context, kind objectstore.Kind, _ string) (objectstore.Listing, error) {
	response, err := s.fetchChanges(ctx, kind, 0, 0)
	if err != nil {
		return objectstore.Listing{}, err
	}
	listing := objectstore.Listing{Version: covered(response)}
	for _, event := range events(kind, response) {
		listing.Items = append(listing.Items, event.Object)
	}
	return listing, nil
}

// Watch implements mirror.Source.
func (s *watcherSource) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	return objectstore.NewPolledWatch(ctx, after, followPause, func(ctx context.Context, after objectstore.Version) ([]objectstore.Event, error) {
		response, err := s.fetchChanges(ctx, kind, after, followWait)
		if err != nil {
			return nil, err
		}
		if response.GetWhole() || response.GetEra() != after.Era() {
			return nil, &objectstore.CompactedError{Oldest: covered(response)}
		}
		return append(events(kind, response), objectstore.Event{Type: objectstore.EventBookmark, Version: covered(response)}), nil
	}), nil
}

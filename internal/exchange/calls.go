package exchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

// Exchange implements fleetv1.Fleet.
func (s *Service) Exchange(_ context.Context, report *fleetv1.Report) (*fleetv1.Report, error) {
	s.hear(time.Now(), report)
	return s.answerNow(time.Now()), nil
}

// answerNow returns the report that answers a peer. Demand is left out: the
// holder of the lease is told by calls.
func (s *Service) answerNow(now time.Time) *fleetv1.Report {
	s.mu.Lock()
	answer, fresh := s.answer, now.Sub(s.answeredAt) < answerLife
	s.mu.Unlock()
	if fresh && answer != nil {
		return answer
	}
	answer = s.report()
	leaveDemandOut(answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.answeredAt = answer, now
	return answer
}

// Place implements fleetv1.Fleet.
func (s *Service) Place(ctx context.Context, request *fleetv1.PlaceRequest) (*fleetv1.PlaceResponse, error) {
	if s.place == nil {
		return &fleetv1.PlaceResponse{}, nil
	}
	return s.place(ctx, request), nil
}

// Follow implements fleetv1.Fleet.
func (s *Service) Follow(ctx context.Context, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	if s.follow == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this host is not on lookout; follow another")
	}
	return s.follow(ctx, request)
}

// FollowPeer asks a peer for what it has read of the store.
func (s *Service) FollowPeer(ctx context.Context, address string, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(request.GetWaitMillis())*time.Millisecond)
	defer cancel()
	return s.peerClient(address).Follow(ctx, request)
}

// AskLeader asks the holder of the placement lease for a model or an adapter. It returns
// an error where none is in reach.
func (s *Service) AskLeader(ctx context.Context, request *fleetv1.PlaceRequest) (*fleetv1.PlaceResponse, error) {
	s.mu.Lock()
	leader := s.roster.leader(time.Now())
	s.mu.Unlock()
	if leader == nil {
		return nil, errors.New("no holder of the placement lease is in reach; check the hosts' path to the store")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peerClient(leader.address).Place(ctx, request)
}

package exchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/retry"
)

// Exchange implements fleetv1.Fleet.
func (s *Service) Exchange(_ context.Context, report *fleetv1.Report) (*fleetv1.Report, error) {
	s.handleReport(time.Now(), time.Time{}, report)
	return s.currentResponse(time.Now()), nil
}

// currentResponse returns the report with which to respond to a peer, cached
// for responseCacheTTL. It omits demand, which the lease holder gets from the
// reports that this host sends.
func (s *Service) currentResponse(now time.Time) *fleetv1.Report {
	s.mu.Lock()
	response, cached := s.cachedResponse, now.Sub(s.cachedAt) < responseCacheTTL
	s.mu.Unlock()
	if cached && response != nil {
		return response
	}
	response = s.report()
	omitDemand(response)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cachedResponse, s.cachedAt = response, now
	return response
}

// Place implements fleetv1.Fleet.
func (s *Service) Place(ctx context.Context, request *fleetv1.PlaceRequest) (*fleetv1.PlaceResponse, error) {
	if s.placeHandler == nil {
		return &fleetv1.PlaceResponse{}, nil
	}
	return s.placeHandler(ctx, request), nil
}

// Follow implements fleetv1.Fleet.
func (s *Service) Follow(ctx context.Context, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	if s.followHandler == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this host is not on lookout; follow another")
	}
	return s.followHandler(ctx, request)
}

// FollowPeer requests the changes that a watcher host has read from the store.
// The call times out callTimeout after the wait that the request allows.
func (s *Service) FollowPeer(ctx context.Context, address string, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(request.GetWaitMillis())*time.Millisecond)
	defer cancel()
	return s.peerClient(address).Follow(ctx, request)
}

// leaderPollInterval is the time between two checks whether a peer holds the
// placement lease.
const leaderPollInterval = 20 * time.Millisecond

// RequestPlacement forwards a request for a model or an adapter to the holder of
// the placement lease. It returns an error if no reachable peer holds the lease. A
// process that has recently started waits for the holder's first report.
func (s *Service) RequestPlacement(ctx context.Context, request *fleetv1.PlaceRequest) (*fleetv1.PlaceResponse, error) {
	leader, known := s.leaderAddress()
	for !known && s.joining() && retry.Sleep(ctx, leaderPollInterval) {
		leader, known = s.leaderAddress()
	}
	if !known {
		return nil, errors.New("no holder of the placement lease is in reach; check the hosts' path to the store")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peerClient(leader).Place(ctx, request)
}

// leaderAddress returns the address of the peer that holds the placement lease. It returns
// false if none is known.
func (s *Service) leaderAddress() (address string, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader := s.roster.leader(time.Now()); leader != nil {
		return leader.address, true
	}
	return "", false
}

// joining reports whether this process has recently started.
func (s *Service) joining() bool { return time.Since(s.started) < joinPeriod }

// PeerStatus is a reachable peer with its last report.
type PeerStatus struct {
	Name, Address string
	Report        *fleetv1.Report
}

// ReachablePeers returns the peers that reported recently.
func (s *Service) ReachablePeers() []PeerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list := make([]PeerStatus, 0, len(s.roster.peers))
	for _, p := range s.roster.peers {
		if p.report != nil && s.roster.reachable(now, p) {
			list = append(list, PeerStatus{Name: p.name, Address: p.address, Report: p.report})
		}
	}
	return list
}

// Relayed implements fleetv1.Fleet.
func (s *Service) Relayed(_ context.Context, request *fleetv1.RelayedRequest) (*fleetv1.RelayedResponse, error) {
	if s.relayedHandler != nil {
		s.relayedHandler(request)
	}
	return &fleetv1.RelayedResponse{}, nil
}

// TellRelayed tells a peer what an endpoint said in a response that it relayed.
func (s *Service) TellRelayed(ctx context.Context, address string, request *fleetv1.RelayedRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.peerClient(address).Relayed(ctx, request)
	return err
}

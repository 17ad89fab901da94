package shares

import (
	"context"
	"time"

	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// pullLoop transfers tokens from peers with full buckets to this host until
// ctx ends.
func (s *Service) pullLoop(ctx context.Context) {
	if s.config.Limiter.NoBorrowing {
		return
	}
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, request := range s.startPulls() {
				go s.pull(ctx, request)
			}
		}
	}
}

// startPulls reserves room for the next pulls and returns their requests.
func (s *Service) startPulls() []borrowRequest {
	urls := s.peerURLs()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	var requests []borrowRequest
	for _, p := range s.borrower.PlanPulls(now, s.limiter.BucketLevels(now)) {
		request := borrowRequest{p.PeerRequest, urls[p.Peer], newID(), p.Organisation}
		if request.url != "" && s.limiter.BeginPull(now, request.id, p) {
			requests = append(requests, request)
		}
	}
	return requests
}

func (s *Service) pull(ctx context.Context, request borrowRequest) {
	tokens, err := s.call(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	settlement := s.limiter.EndPull(now, request.id, tokens)
	s.borrower.RecordResponse(now, request.organisation, request.PeerRequest, tokens)
	if err != nil {
		s.settlements.add([]ratelimit.PeerSettlement{request.cancel()})
		return
	}
	s.settlements.add([]ratelimit.PeerSettlement{{Peer: request.Peer, Settlement: settlement}})
}

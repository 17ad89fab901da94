package shares

import (
	"context"
	"time"

	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// pullLoop moves tokens here from full peers until the context ends.
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
			for _, one := range s.beginPulls() {
				go s.pull(ctx, one)
			}
		}
	}
}

func (s *Service) beginPulls() []question {
	urls := s.peerURLs()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	var asked []question
	for _, p := range s.borrower.PlanPulls(now, s.limiter.BucketLevels(now)) {
		one := question{p.PeerRequest, urls[p.Peer], newID(), p.Organisation}
		if one.url != "" && s.limiter.BeginPull(now, one.id, p) {
			asked = append(asked, one)
		}
	}
	return asked
}

func (s *Service) pull(ctx context.Context, one question) {
	tokens, err := s.call(ctx, one)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	settlement := s.limiter.EndPull(now, one.id, tokens)
	s.borrower.RecordResponse(now, one.organisation, one.PeerRequest, tokens)
	if err != nil {
		s.settlements.add([]ratelimit.PeerSettlement{one.cancel()})
		return
	}
	s.settlements.add([]ratelimit.PeerSettlement{{Peer: one.Peer, Settlement: settlement}})
}

package shares

import (
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/membership"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

var _ membership.Extension = (*Service)(nil)

// FillRequest implements membership.Extension.
func (s *Service) FillRequest(request *peerv1.GossipRequest) { request.Spare = s.spares() }

// HandleRequest implements membership.Extension.
func (s *Service) HandleRequest(request *peerv1.GossipRequest, response *peerv1.GossipResponse) {
	sender := request.GetSelf().GetIncarnation()
	s.recordSpares(sender, request.GetSpare())
	response.Spare = s.spares()
	s.withShareLease(func(lease *ratelimit.ShareLease) {
		now := s.config.Now()
		view := lease.ViewFor(sender, now)
		response.Ledger = &peerv1.LedgerView{
			Version: view.Version, AgeMillis: view.Age.Milliseconds() + 1,
			ReceiverUnits: view.ReceiverUnits, ReceiverMarked: view.ReceiverMarked,
			PromiseMillis: view.Promise.Milliseconds(),
		}
	})
}

// HandleResponse implements membership.Extension.
func (s *Service) HandleResponse(response *peerv1.GossipResponse, sentAt time.Time) {
	sender := response.GetSelf().GetIncarnation()
	s.recordSpares(sender, response.GetSpare())
	view := response.GetLedger()
	if view == nil || view.GetVersion() < 0 || view.GetAgeMillis() < 0 {
		return
	}
	s.withShareLease(func(lease *ratelimit.ShareLease) {
		lease.ObserveView(sender, ratelimit.PeerView{
			Version: view.GetVersion(), Age: milliseconds(view.GetAgeMillis()),
			ReceiverUnits: view.GetReceiverUnits(), ReceiverMarked: view.GetReceiverMarked(),
			Promise: milliseconds(view.GetPromiseMillis()),
		}, sentAt)
	})
}

// milliseconds converts n milliseconds received from a peer, at most a day of
// them, so that the result cannot overflow.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(n, (24*time.Hour).Milliseconds())) * time.Millisecond
}

// Targets implements membership.Extension. It returns the URLs of the live
// reclaimers of this host's units, on whose promises the host's share depends.
func (s *Service) Targets() []string {
	var reclaimers []string
	s.withShareLease(func(lease *ratelimit.ShareLease) { reclaimers = lease.Reclaimers() })
	urls := s.peerURLs()
	var targets []string
	for _, incarnation := range reclaimers {
		if url, ok := urls[incarnation]; ok {
			targets = append(targets, url)
		}
	}
	return targets
}

// spares returns what this host could lend, for its gossip messages.
func (s *Service) spares() []*peerv1.Spare {
	s.mu.Lock()
	spares := s.limiter.Spares(s.config.Now())
	s.mu.Unlock()
	messages := make([]*peerv1.Spare, 0, len(spares))
	for _, spare := range spares {
		messages = append(messages, &peerv1.Spare{Organisation: spare.Organisation, Tokens: spare.Tokens, Room: spare.Room})
	}
	return messages
}

// recordSpares records what a peer could lend, and drops invalid entries.
func (s *Service) recordSpares(sender string, messages []*peerv1.Spare) {
	spares := make([]ratelimit.Spare, 0, len(messages))
	for _, m := range messages {
		spare := ratelimit.Spare{Organisation: m.GetOrganisation(), Tokens: m.GetTokens(), Room: m.GetRoom()}
		if spare.Valid() {
			spares = append(spares, spare)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.SetHints(s.config.Now(), sender, spares)
}

package shares

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// settleTimeout bounds a round of reports, and so the delay of the next round
// by a lender that does not respond.
const settleTimeout = 500 * time.Millisecond

// settlements are the reports waiting to be sent, by the lender's incarnation.
type settlements map[string][]*peerv1.TokenSettlement

func (s settlements) add(reports []ratelimit.PeerSettlement) {
	for _, r := range reports {
		s[r.Peer] = append(s[r.Peer], &peerv1.TokenSettlement{
			TransferId: r.ID, Unused: r.Unused, Used: r.Used, Final: r.Final,
		})
	}
}

// settleLoop reports to lenders until ctx ends, and once more after that.
func (s *Service) settleLoop(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.sendSettlements(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			s.sendSettlements(ctx)
		}
	}
}

// sendSettlements sends the waiting reports in one message per lender. Reports
// are not retried: the lender counts unreported tokens as used, so a lost
// report costs it a refund at most.
func (s *Service) sendSettlements(ctx context.Context) {
	s.mu.Lock()
	for acquisition := range s.borrowing {
		s.settlements.add(acquisition.Progress())
	}
	pending := maps.Clone(s.settlements)
	clear(s.settlements)
	s.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	urls := s.peerURLs()
	self := s.config.Members.Self().Incarnation
	for peer, reports := range pending {
		url, ok := urls[peer]
		if !ok {
			continue
		}
		request := &peerv1.SettleTokensRequest{Incarnation: self, Settlements: reports}
		calls.Go(func() {
			if _, err := s.config.Peers.SettleTokens(ctx, url, request); err != nil {
				logrus.WithFields(logrus.Fields{"peer": url, "error": err.Error()}).Debug("failed to send settlements to a lender")
			}
		})
	}
}

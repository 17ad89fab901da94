package shares

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// maxRounds limits the rounds of questions for one request.
	maxRounds = 4
	// settleInterval is the time between reports to lenders.
	settleInterval = 50 * time.Millisecond
	// admitMillis is how long after its question a request may be granted what
	// was borrowed.
	admitMillis = 1000
	// maxWait is how long a request waits for tokens that the rate brings
	// soon, and waitStep the time between looks.
	maxWait  = 300 * time.Millisecond
	waitStep = 100 * time.Millisecond
	// pullInterval is the time between moves of tokens from full peers.
	pullInterval = 500 * time.Millisecond
)

type question struct {
	ratelimit.PeerRequest
	url, id, organisation string
}

// cancel reports that nothing of a transfer will be used.
func (q question) cancel() ratelimit.PeerSettlement {
	return ratelimit.PeerSettlement{Peer: q.Peer, Settlement: ratelimit.Settlement{ID: q.id, Unused: q.Tokens, Final: true}}
}

// borrow asks peers until the tokens are there. It waits a little where the
// rate brings the missing ones soon; while an organisation is above its rate
// that happens only after a pause.
func (s *Service) borrow(ctx context.Context, organisation string, funding *ratelimit.Acquisition) bool {
	if s.config.Limiter.NoBorrowing || !s.mayBorrow(organisation) {
		return false
	}
	until := s.config.Now().Add(maxWait)
	for {
		if s.askAll(ctx, organisation, funding) {
			s.noteBorrowed(organisation, funding)
			return true
		}
		if !s.worthWaiting(funding, until) || !retry.Sleep(ctx, waitStep) {
			break
		}
		if s.topUp(funding); s.grant(funding) {
			s.noteBorrowed(organisation, funding)
			return true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Failed(s.config.Now(), organisation)
	return false
}

// askAll asks peers, a few at a time, until the tokens are there or no peer is
// left. What comes too late is returned.
func (s *Service) askAll(ctx context.Context, organisation string, funding *ratelimit.Acquisition) bool {
	urls := s.peerURLs()
	for range maxRounds {
		asked := s.round(organisation, funding, urls)
		if len(asked) == 0 {
			return false
		}
		if s.await(s.send(ctx, asked, funding), len(asked), funding) {
			return true
		}
		for _, one := range asked {
			delete(urls, one.Peer)
		}
	}
	return false
}

func (s *Service) worthWaiting(funding *ratelimit.Acquisition, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	left := until.Sub(now)
	return left >= waitStep && s.limiter.WorthWaiting(now, funding, left)
}

func (s *Service) topUp(funding *ratelimit.Acquisition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.TopUp(s.config.Now(), funding)
}

func (s *Service) mayBorrow(organisation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.borrower.MayBorrow(s.config.Now(), organisation)
}

func (s *Service) noteBorrowed(organisation string, funding *ratelimit.Acquisition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Succeeded(organisation)
	s.borrowing[funding] = struct{}{}
}

// peerURLs maps the incarnations of living peers to their base URLs.
func (s *Service) peerURLs() map[string]string {
	urls := make(map[string]string)
	for _, host := range s.config.Members.Hosts() {
		if host.Alive && !host.Leaving {
			urls[host.Incarnation] = host.PeerURL
		}
	}
	return urls
}

func (s *Service) round(organisation string, funding *ratelimit.Acquisition, urls map[string]string) []question {
	peers := make([]string, 0, len(urls))
	for peer := range urls {
		peers = append(peers, peer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := s.borrower.PlanRound(s.config.Now(), organisation, funding.Missing(), peers)
	asked := make([]question, 0, len(chosen))
	for _, one := range chosen {
		asked = append(asked, question{one, urls[one.Peer], newID(), organisation})
	}
	return asked
}

// send asks the peers at once. The calls outlive the request, so that tokens
// that come late are returned.
func (s *Service) send(ctx context.Context, asked []question, funding *ratelimit.Acquisition) <-chan struct{} {
	answers := make(chan struct{}, len(asked))
	ctx = context.WithoutCancel(ctx)
	for _, one := range asked {
		go func() {
			tokens, err := s.call(ctx, one)
			s.accept(one, funding, tokens, err)
			answers <- struct{}{}
		}()
	}
	return answers
}

func (s *Service) call(ctx context.Context, one question) (tokens float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, admitMillis*time.Millisecond)
	defer cancel()
	self := s.config.Members.Self()
	s.metrics.asked.Inc()
	response, err := s.config.Peers.BorrowTokens(ctx, one.url, &peerv1.BorrowTokensRequest{
		Host: self.Name, Incarnation: self.Incarnation, TransferId: one.id,
		Organisation: one.organisation, Tokens: one.Tokens, AdmitMillis: admitMillis,
	})
	if err != nil {
		return 0, err
	}
	if tokens = response.GetTokens(); !(tokens >= 0 && tokens <= one.Tokens) {
		return 0, errors.Newf("peer %s answered %v tokens of %v; run the same version on all hosts", one.Peer, tokens, one.Tokens)
	}
	return tokens, nil
}

func (s *Service) accept(one question, funding *ratelimit.Acquisition, tokens float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if err != nil {
		s.borrower.RecordResponse(now, one.organisation, one.PeerRequest, 0)
		s.settlements.add([]ratelimit.PeerSettlement{one.cancel()})
		return
	}
	s.borrower.RecordResponse(now, one.organisation, one.PeerRequest, tokens)
	s.metrics.borrowed.Add(tokens)
	if tokens > 0 {
		s.settlements.add(funding.AddLoan(now, ratelimit.Loan{Peer: one.Peer, ID: one.id, Tokens: tokens}))
	}
}

// await waits until the tokens are there, all have answered, or the time limit
// is over.
func (s *Service) await(answers <-chan struct{}, n int, funding *ratelimit.Acquisition) bool {
	timeout := time.NewTimer(s.config.BorrowTimeout)
	defer timeout.Stop()
	for range n {
		select {
		case <-answers:
			if s.grant(funding) {
				return true
			}
		case <-timeout.C:
			return s.grant(funding)
		}
	}
	return false
}

// BorrowTokens reserves tokens for a peer's request.
func (s *Service) BorrowTokens(_ context.Context, r *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := s.limiter.Lend(s.config.Now(), ratelimit.LoanRequest{
		ID: transferID(r.GetIncarnation(), r.GetTransferId()), Organisation: r.GetOrganisation(),
		Tokens: r.GetTokens(), Admit: milliseconds(r.GetAdmitMillis()),
	})
	s.metrics.lent.Add(tokens)
	return &peerv1.BorrowTokensResponse{Tokens: tokens}, nil
}

// SettleTokens takes a borrower's reports.
func (s *Service) SettleTokens(_ context.Context, r *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	for _, one := range r.GetSettlements() {
		s.limiter.Settle(now, ratelimit.Settlement{
			ID:     transferID(r.GetIncarnation(), one.GetTransferId()),
			Unused: one.GetUnused(), Used: one.GetUsed(), Final: one.GetFinal(),
		})
	}
	return &peerv1.SettleTokensResponse{}, nil
}

func transferID(incarnation, id string) string { return incarnation + "/" + id }

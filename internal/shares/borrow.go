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
	// maxRounds bounds the rounds of borrow requests in one pass over the
	// peers.
	maxRounds = 4
	// settleInterval is the time between settlement reports to lenders.
	settleInterval = 50 * time.Millisecond
	// admitMillis is the time after a borrow request within which the borrowed
	// tokens may be granted.
	admitMillis = 1000
	// maxWait is how long a request waits for tokens that will soon be
	// refilled at the rate, and waitStep the time between two checks for them.
	maxWait  = 300 * time.Millisecond
	waitStep = 100 * time.Millisecond
	// pullInterval is the time between transfers of tokens from full peers.
	pullInterval = 500 * time.Millisecond
)

// borrowRequest is a request to a peer to lend tokens.
type borrowRequest struct {
	ratelimit.PeerRequest
	url, id, organisation string
}

// cancel returns the report that no tokens of the transfer will be used.
func (r borrowRequest) cancel() ratelimit.PeerSettlement {
	return ratelimit.PeerSettlement{Peer: r.Peer, Settlement: ratelimit.Settlement{ID: r.id, Unused: r.Tokens, Final: true}}
}

// borrow requests the missing tokens from peers and reports whether the
// request was granted. It waits up to maxWait if the missing tokens will
// soon be refilled at the rate. After it failed for an organisation, it fails
// at once for the duration of a backoff.
func (s *Service) borrow(ctx context.Context, organisation string, acquisition *ratelimit.Acquisition) bool {
	if s.config.Limiter.NoBorrowing || !s.mayBorrow(organisation) {
		return false
	}
	until := s.config.Now().Add(maxWait)
	unanswered := make(map[string]bool)
	for {
		if s.borrowFromPeers(ctx, organisation, acquisition, unanswered) {
			s.recordBorrowed(organisation, acquisition)
			return true
		}
		if !s.worthWaiting(acquisition, until) || !retry.Sleep(ctx, waitStep) {
			break
		}
		if s.topUp(acquisition); s.grant(acquisition) {
			s.recordBorrowed(organisation, acquisition)
			return true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Failed(s.config.Now(), organisation)
	return false
}

// borrowFromPeers requests tokens from a few peers at a time, until the
// request is granted or no peer is left. Tokens that arrive too late are
// returned. Peers in unanswered, which it updates, are not asked again, so that the
// others are asked for their part.
func (s *Service) borrowFromPeers(ctx context.Context, organisation string, acquisition *ratelimit.Acquisition, unanswered map[string]bool) bool {
	urls := s.peerURLs()
	s.mu.Lock()
	for peer := range unanswered {
		delete(urls, peer)
	}
	s.mu.Unlock()
	for range maxRounds {
		requests := s.planRound(organisation, acquisition, urls)
		if len(requests) == 0 {
			return false
		}
		if s.await(s.send(ctx, requests, acquisition, unanswered), len(requests), acquisition) {
			return true
		}
		for _, request := range requests {
			delete(urls, request.Peer)
		}
	}
	return false
}

func (s *Service) worthWaiting(acquisition *ratelimit.Acquisition, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	left := until.Sub(now)
	return left >= waitStep && s.limiter.WorthWaiting(now, acquisition, left)
}

func (s *Service) topUp(acquisition *ratelimit.Acquisition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.TopUp(s.config.Now(), acquisition)
}

func (s *Service) mayBorrow(organisation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.borrower.MayBorrow(s.config.Now(), organisation)
}

func (s *Service) recordBorrowed(organisation string, acquisition *ratelimit.Acquisition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Succeeded(organisation)
	s.borrowing[acquisition] = struct{}{}
}

// peerURLs returns the base URLs of the live peers that aren't draining, by
// incarnation.
func (s *Service) peerURLs() map[string]string {
	urls := make(map[string]string)
	for _, host := range s.config.Members.Hosts() {
		if host.Alive && !host.Leaving {
			urls[host.Incarnation] = host.PeerURL
		}
	}
	return urls
}

// planRound returns the borrow requests of the next round.
func (s *Service) planRound(organisation string, acquisition *ratelimit.Acquisition, urls map[string]string) []borrowRequest {
	peers := make([]string, 0, len(urls))
	for peer := range urls {
		peers = append(peers, peer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := s.borrower.PlanRound(s.config.Now(), organisation, acquisition.Missing(), peers)
	requests := make([]borrowRequest, 0, len(chosen))
	for _, target := range chosen {
		requests = append(requests, borrowRequest{target, urls[target.Peer], newID(), organisation})
	}
	return requests
}

// send sends the requests concurrently, and a value on the channel for each
// that completed. It doesn't cancel them when ctx ends, so that tokens that
// arrive late are returned.
func (s *Service) send(ctx context.Context, requests []borrowRequest, acquisition *ratelimit.Acquisition, unanswered map[string]bool) <-chan struct{} {
	responses := make(chan struct{}, len(requests))
	ctx = context.WithoutCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range requests {
		unanswered[request.Peer] = true
		go func() {
			tokens, err := s.call(ctx, request)
			s.recordResponse(request, acquisition, tokens, err)
			if err == nil {
				s.mu.Lock()
				delete(unanswered, request.Peer)
				s.mu.Unlock()
			}
			responses <- struct{}{}
		}()
	}
	return responses
}

// call sends a request and returns the number of tokens that the peer lent.
func (s *Service) call(ctx context.Context, request borrowRequest) (tokens float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, admitMillis*time.Millisecond)
	defer cancel()
	self := s.config.Members.Self()
	s.metrics.borrowRequests.Inc()
	response, err := s.config.Peers.BorrowTokens(ctx, request.url, &peerv1.BorrowTokensRequest{
		Host: self.Name, Incarnation: self.Incarnation, TransferId: request.id,
		Organisation: request.organisation, Tokens: request.Tokens, AdmitMillis: admitMillis,
	})
	if err != nil {
		return 0, err
	}
	if tokens = response.GetTokens(); !(tokens >= 0 && tokens <= request.Tokens) {
		return 0, errors.Newf("peer %s lent %v tokens when %v were requested; run the same version on all hosts", request.Peer, tokens, request.Tokens)
	}
	return tokens, nil
}

// recordResponse adds the lent tokens to the acquisition. After an error it
// cancels the transfer, since the peer may have reserved the tokens.
func (s *Service) recordResponse(request borrowRequest, acquisition *ratelimit.Acquisition, tokens float64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if err != nil {
		s.borrower.RecordResponse(now, request.organisation, request.PeerRequest, 0)
		s.settlements.add([]ratelimit.PeerSettlement{request.cancel()})
		return
	}
	s.borrower.RecordResponse(now, request.organisation, request.PeerRequest, tokens)
	s.metrics.borrowed.Add(tokens)
	if tokens > 0 {
		s.settlements.add(acquisition.AddLoan(now, ratelimit.Loan{Peer: request.Peer, ID: request.id, Tokens: tokens}))
	}
}

// await waits until the request is granted, all n peers have responded, or
// BorrowTimeout has passed. It reports whether the request was granted.
func (s *Service) await(responses <-chan struct{}, n int, acquisition *ratelimit.Acquisition) bool {
	timeout := time.NewTimer(s.config.BorrowTimeout)
	defer timeout.Stop()
	for range n {
		select {
		case <-responses:
			if s.grant(acquisition) {
				return true
			}
		case <-timeout.C:
			return s.grant(acquisition)
		}
	}
	return false
}

// BorrowTokens reserves tokens for a request of a peer. It serves the peer
// call of that name.
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

// SettleTokens applies a borrower's settlement reports. It serves the peer
// call of that name.
func (s *Service) SettleTokens(_ context.Context, r *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	for _, settlement := range r.GetSettlements() {
		s.limiter.Settle(now, ratelimit.Settlement{
			ID:     transferID(r.GetIncarnation(), settlement.GetTransferId()),
			Unused: settlement.GetUnused(), Used: settlement.GetUsed(), Final: settlement.GetFinal(),
		})
	}
	return &peerv1.SettleTokensResponse{}, nil
}

// transferID returns an identifier that is unique among the transfers of all
// borrowers.
func transferID(incarnation, id string) string { return incarnation + "/" + id }

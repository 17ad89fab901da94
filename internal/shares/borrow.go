package shares

import (
	"context"
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

const (
	// peersPerRound is how many peers are asked at once.
	peersPerRound = 3
	// maxRounds limits the rounds for one request.
	maxRounds = 3
)

type answer struct {
	peer    string
	request ratelimit.Request
	loan    ratelimit.Loan
	err     error
}

// borrow asks peers, a few at a time, until the tokens are there or no peer is
// left. Answers that come later are still taken in.
func (s *Service) borrow(ctx context.Context, organisation string, tokens float64, outcome ratelimit.Outcome) ratelimit.Outcome {
	urls := s.peerURLs()
	if !s.mayBorrow(organisation) {
		return outcome
	}
	for range maxRounds {
		asked := s.ask(organisation, outcome.Missing, urls)
		if len(asked) == 0 {
			break
		}
		answers := s.send(ctx, asked)
		outcome = s.await(answers, len(asked), organisation, tokens, outcome)
		if outcome.Grant != nil {
			s.noteBorrowed(organisation, true)
			return outcome
		}
		for _, one := range asked {
			delete(urls, one.peer)
		}
	}
	s.noteBorrowed(organisation, false)
	return outcome
}

func (s *Service) mayBorrow(organisation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.borrower.MayAsk(s.config.Now(), organisation)
}

func (s *Service) noteBorrowed(organisation string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.borrower.Succeeded(organisation)
		return
	}
	s.borrower.Failed(s.config.Now(), organisation)
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

type question struct {
	peer, url string
	request   ratelimit.Request
}

func (s *Service) ask(organisation string, missing float64, urls map[string]string) []question {
	peers := make([]string, 0, len(urls))
	for peer := range urls {
		peers = append(peers, peer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	var asked []question
	chosen := s.borrower.Pick(now, organisation, peers, peersPerRound)
	for _, peer := range chosen {
		if request, ok := s.limiter.Ask(now, newID(), organisation, missing, len(chosen)); ok {
			asked = append(asked, question{peer, urls[peer], request})
		}
	}
	return asked
}

func (s *Service) send(ctx context.Context, asked []question) <-chan answer {
	answers := make(chan answer, len(asked))
	for _, one := range asked {
		go func() {
			// The call outlives the request, so that a late loan is not lost.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*s.config.BorrowTimeout)
			defer cancel()
			loan, err := s.call(ctx, one)
			s.accept(one, loan, err)
			answers <- answer{one.peer, one.request, loan, err}
		}()
	}
	return answers
}

func (s *Service) call(ctx context.Context, one question) (ratelimit.Loan, error) {
	self := s.config.Members.Self()
	s.metrics.asked.Inc()
	response, err := s.config.Peers.BorrowRate(ctx, one.url, &peerv1.BorrowRateRequest{
		Host: self.Name, Incarnation: self.Incarnation,
		TransferId: one.request.ID, Organisation: one.request.Organisation,
		Rate: one.request.Rate, Tokens: one.request.Tokens,
		DurationMillis: one.request.Duration.Milliseconds(),
	})
	if err != nil {
		return ratelimit.Loan{}, err
	}
	return ratelimit.Loan{Tokens: response.GetTokens(), Rate: response.GetRate(), Burst: response.GetBurst()}, nil
}

func (s *Service) accept(one question, loan ratelimit.Loan, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if err != nil || !loan.Valid(one.request) {
		s.limiter.Cancel(one.request.ID)
		s.borrower.Answered(now, one.peer, one.request, ratelimit.Loan{})
		return
	}
	s.limiter.Accept(now, one.request.ID, loan)
	s.borrower.Answered(now, one.peer, one.request, loan)
	s.metrics.borrowed.Add(loan.Tokens)
}

// await takes answers until the tokens are there, all have answered, or the
// time limit is over.
func (s *Service) await(answers <-chan answer, n int, organisation string, tokens float64, outcome ratelimit.Outcome) ratelimit.Outcome {
	timeout := time.NewTimer(s.config.BorrowTimeout)
	defer timeout.Stop()
	for range n {
		select {
		case <-answers:
			outcome = s.take(organisation, tokens)
			if outcome.Grant != nil {
				return outcome
			}
		case <-timeout.C:
			return outcome
		}
	}
	return outcome
}

// BorrowRate answers a peer that asks for a loan.
func (s *Service) BorrowRate(_ context.Context, r *peerv1.BorrowRateRequest) (*peerv1.BorrowRateResponse, error) {
	request := ratelimit.Request{
		ID: r.GetIncarnation() + "/" + r.GetTransferId(), Organisation: r.GetOrganisation(),
		Tokens: r.GetTokens(), Rate: r.GetRate(),
		Duration: time.Duration(min(r.GetDurationMillis(), time.Hour.Milliseconds())) * time.Millisecond,
	}
	s.mu.Lock()
	loan := s.limiter.Lend(s.config.Now(), request)
	s.mu.Unlock()
	s.metrics.lent.Add(loan.Tokens)
	return &peerv1.BorrowRateResponse{
		Tokens: loan.Tokens, Rate: loan.Rate, Burst: loan.Burst, DurationMillis: r.GetDurationMillis(),
	}, nil
}

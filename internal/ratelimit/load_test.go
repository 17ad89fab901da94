package ratelimit

import (
	"fmt"
	"slices"
	"time"
)

const (
	roundTimeout = 10 * time.Millisecond
	maxRounds    = 4
	maxWait      = 300 * time.Millisecond
	waitStep     = 100 * time.Millisecond
)

// job is one request of a caller.
type job struct {
	organisation string
	// tokens is the estimate, used the tokens that the job actually uses.
	tokens, used float64
	duration     time.Duration
	host         *simHost
	acquisition  *Acquisition
	within, done bool
	peers        []string
	arrived      time.Time
}

// arrive sends a job to the host in the slot, or to the next one that is up.
func (s *sim) arrive(slot int, c loadConfig) {
	tokens := c.meanTokens * (0.3 + 1.4*s.random.Float64())
	j := &job{
		organisation: c.organisation, tokens: tokens, used: tokens * (c.usedMin + (1-c.usedMin)*s.random.Float64()),
		duration: s.between(200*time.Millisecond, c.longest),
	}
	for i := range s.hosts {
		h := s.hosts[(slot+i)%len(s.hosts)]
		if h.up && !s.now.Before(h.pausedUntil) {
			j.host = h
			break
		}
	}
	if j.host == nil {
		return
	}
	f := s.fleet[c.organisation]
	if j.within = f.has(s.now, tokens); j.within {
		f.within++
	}
	if s.central != nil {
		s.central.serve(j)
		return
	}
	acquisition, refusal := j.host.limiter.BeginAcquisition(j.host.clock(), c.organisation, tokens)
	if refusal != nil {
		j.refuse()
		return
	}
	j.acquisition = acquisition
	if !j.grant() {
		j.borrow()
	}
}

// grant starts the job if all its tokens are acquired.
func (j *job) grant() bool {
	h := j.host
	if !h.limiter.Grant(h.clock(), j.acquisition) {
		return false
	}
	j.run(j.acquisition.Consume, func() { h.report(j.acquisition.Close(h.clock())) })
	return true
}

// run consumes the granted tokens in steps over the job's duration, then settles.
func (j *job) run(consume func(float64) float64, settle func()) {
	h, s := j.host, j.host.sim
	j.done = true
	f := s.fleet[j.organisation]
	f.granted++
	ideal := f.grant(s.now, j.tokens)
	grantedAt := s.now
	const steps = 4
	for step := range steps {
		s.after(j.duration*time.Duration(step+1)/steps, func() {
			ideal.Consume(j.used / steps)
			h.do(func() {
				consume(j.used / steps)
				if j.acquisition != nil {
					h.report(j.acquisition.Progress())
				}
			})
		})
	}
	s.after(j.duration, func() {
		ideal.Settle(s.now)
		f.used = append(f.used, usage{grantedAt, j.used})
		h.do(func() {
			settle()
		})
	})
}

func (j *job) refuse() {
	j.done = true
	if j.acquisition != nil {
		j.host.report(j.acquisition.Close(j.host.clock()))
	}
	f := j.host.sim.fleet[j.organisation]
	f.refused++
	if j.within && f.has(j.host.sim.now, j.tokens) {
		f.wrongful++
	}
}

// borrow requests loans from peers in rounds, as the service does.
func (j *job) borrow() {
	h := j.host
	borrows := h.sim.config.scheme == schemeChosen || h.sim.config.scheme == schemeEscrow
	if !borrows || !h.borrower.MayBorrow(h.clock(), j.organisation) {
		j.refuse()
		return
	}
	j.listPeers()
	j.arrived = h.sim.now
	j.round(maxRounds)
}

// retryLater borrows again after a short wait if the missing tokens are likely to
// be available soon, and refuses the job otherwise.
func (j *job) retryLater() {
	h := j.host
	left := maxWait - h.sim.now.Sub(j.arrived)
	if left < waitStep || !h.limiter.WorthWaiting(h.clock(), j.acquisition, left) {
		h.borrower.Failed(h.clock(), j.organisation)
		j.refuse()
		return
	}
	h.sim.after(waitStep, func() {
		h.do(func() {
			if j.done {
				return
			}
			h.limiter.TopUp(h.clock(), j.acquisition)
			if !j.grant() {
				j.listPeers()
				j.round(maxRounds)
			}
		})
	})
}

func (j *job) listPeers() {
	j.peers = nil
	for _, host := range j.host.table.Hosts(j.host.clock()) {
		if host.Alive && !host.Leaving {
			j.peers = append(j.peers, host.Incarnation)
		}
	}
}

func (j *job) round(left int) {
	h := j.host
	if left == 0 || len(j.peers) == 0 {
		j.retryLater()
		return
	}
	requests := h.borrower.PlanRound(h.clock(), j.organisation, j.acquisition.Missing(), j.peers)
	outstanding, advanced := len(requests), false
	next := func() {
		if !advanced && !j.done {
			advanced = true
			j.round(left - 1)
		}
	}
	for _, peerRequest := range requests {
		j.peers = slices.DeleteFunc(j.peers, func(p string) bool { return p == peerRequest.Peer })
		j.requestLoan(peerRequest, func() {
			outstanding--
			if j.done {
				return
			}
			if j.grant() {
				h.borrower.Succeeded(j.organisation)
			} else if outstanding == 0 {
				next()
			}
		})
	}
	h.sim.after(roundTimeout, func() { h.do(next) })
}

const borrowMessageSize = 120 // bytes, of the request and of the response

func (j *job) requestLoan(peerRequest PeerRequest, onResponse func()) {
	h, s := j.host, j.host.sim
	s.seq++
	request := LoanRequest{ID: fmt.Sprint(s.seq), Organisation: j.organisation, Tokens: peerRequest.Tokens, Admit: time.Second}
	to := s.process(peerRequest.Peer)
	s.send(h, to, borrowMessageSize, func() {
		tokens := to.lend(request)
		s.send(to, h, borrowMessageSize, func() {
			h.borrower.RecordResponse(h.clock(), j.organisation, peerRequest, tokens)
			h.accept(j, Loan{Peer: peerRequest.Peer, ID: request.ID, Tokens: tokens})
			onResponse()
		})
	})
}

// lend lends tokens. In the escrow scheme it gives them up, so that unused ones
// do not return.
func (h *simHost) lend(request LoanRequest) float64 {
	tokens := h.limiter.Lend(h.clock(), request)
	lent := h.limiter.lent[request.ID]
	if lent == nil || lent.grant == nil {
		return tokens
	}
	if h.sim.config.scheme == schemeEscrow {
		h.limiter.close(h.clock(), lent)
	}
	return tokens
}

func (h *simHost) accept(j *job, loan Loan) {
	duplicate := slices.ContainsFunc(j.acquisition.loans, func(l incomingLoan) bool { return l.ID == loan.ID })
	if duplicate && h.sim.config.injected == faultAcceptTwice {
		loan.ID += "/again"
	}
	h.report(j.acquisition.AddLoan(h.clock(), loan))
}

// pull moves tokens to this host from peers without room.
func (h *simHost) pull() {
	s := h.sim
	for _, p := range h.borrower.PlanPulls(h.clock(), h.limiter.BucketLevels(h.clock())) {
		s.seq++
		id := fmt.Sprint(s.seq)
		if !h.limiter.BeginPull(h.clock(), id, p) {
			continue
		}
		to := s.process(p.Peer)
		request := LoanRequest{ID: id, Organisation: p.Organisation, Tokens: p.Tokens, Admit: time.Second}
		s.send(h, to, borrowMessageSize, func() {
			tokens := to.lend(request)
			s.send(to, h, borrowMessageSize, func() {
				h.borrower.RecordResponse(h.clock(), p.Organisation, p.PeerRequest, tokens)
				h.report([]PeerSettlement{{p.Peer, h.limiter.EndPull(h.clock(), id, tokens)}})
			})
		})
	}
}

// report queues settlements and sends those to one peer in one message.
func (h *simHost) report(reports []PeerSettlement) {
	for _, r := range reports {
		if len(h.reports[r.Peer]) == 0 {
			h.sim.after(settleInterval, func() { h.do(func() { h.flush(r.Peer) }) })
		}
		h.reports[r.Peer] = append(h.reports[r.Peer], r.Settlement)
	}
}

const (
	settleInterval = 50 * time.Millisecond
	settlementSize = 60 // bytes
)

func (h *simHost) flush(peer string) {
	settlements := h.reports[peer]
	delete(h.reports, peer)
	to := h.sim.process(peer)
	h.sim.send(h, to, settlementSize*len(settlements), func() {
		for _, settlement := range settlements {
			to.limiter.Settle(to.clock(), settlement)
		}
	})
}

func (s *sim) process(incarnation string) *simHost {
	for _, h := range s.hosts {
		if h.self.Incarnation == incarnation {
			return h
		}
	}
	return nil
}

// loadConfig configures the load of one organisation.
type loadConfig struct {
	organisation string
	// offered is the mean rate of tokens used, relative to the policy's rate.
	offered float64
	// meanTokens is the mean estimate of a request.
	meanTokens float64
	// skew is the fraction of the requests that go to one host, which changes
	// every 20 s.
	skew float64
	// high and low are the multiples of the mean between which the rate
	// alternates. Zero for both means a constant rate.
	high, low float64
	// usedMin is the least fraction of the estimate that is used. The fraction
	// is uniform between usedMin and 1.
	usedMin float64
	// longest is the longest duration of a job.
	longest time.Duration
}

// load generates jobs with exponential inter-arrival times until the end.
func (s *sim) load(c loadConfig, end time.Time) {
	high := false
	if c.high > 0 {
		var alternate func()
		alternate = func() {
			high = !high
			span := s.between(12*time.Second, 18*time.Second)
			if high {
				span = s.between(2*time.Second, 4*time.Second)
			}
			s.after(span, alternate)
		}
		alternate()
	}
	var next func()
	arrive := func() {
		slot := s.random.IntN(len(s.hosts))
		if s.random.Float64() < c.skew {
			slot = int(s.now.Sub(epoch)/(20*time.Second)) * 5 % len(s.hosts)
		}
		s.arrive(slot, c)
		next()
	}
	next = func() {
		if s.now.After(end) {
			return
		}
		rate := c.offered * s.policies[c.organisation].Rate / ((0.5 + c.usedMin/2) * c.meanTokens)
		switch {
		case high:
			rate *= c.high
		case c.high > 0:
			rate *= max(c.low, 0.001)
		}
		// The rate may change during a long wait, so a wait of 0.5 s or more is
		// cut to 0.5 s and sampled again.
		if wait := s.random.ExpFloat64() / rate; wait < 0.5 {
			s.after(time.Duration(wait*float64(time.Second)), arrive)
		} else {
			s.after(time.Second/2, next)
		}
	}
	next()
}

package ratelimit

import (
	"fmt"
	"slices"
	"time"
)

const (
	roundTimeout = 10 * time.Millisecond
	rounds       = 4
	maxWait      = 300 * time.Millisecond
	waitStep     = 100 * time.Millisecond
)

// job is one caller's request.
type job struct {
	organisation string
	// tokens is the estimate, used what it really takes.
	tokens, used float64
	duration     time.Duration
	host         *simHost
	funding      *Funding
	within, done bool
	peers        []string
	arrived      time.Time
}

// arrive brings a request to a host, or to the next one that is up.
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
	funding, refusal := j.host.limiter.Fund(j.host.clock(), c.organisation, tokens)
	if refusal != nil {
		j.refuse()
		return
	}
	j.funding = funding
	if !j.grant() {
		j.borrow()
	}
}

func (j *job) grant() bool {
	h := j.host
	if !h.limiter.Grant(h.clock(), j.funding) {
		return false
	}
	j.run(j.funding.Consume, func() { h.report(j.funding.Close(h.clock())) })
	return true
}

// run uses the granted tokens in steps and settles.
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
				if j.funding != nil {
					h.report(j.funding.Progress())
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
	if j.funding != nil {
		j.host.report(j.funding.Close(j.host.clock()))
	}
	f := j.host.sim.fleet[j.organisation]
	f.refused++
	if j.within && f.has(j.host.sim.now, j.tokens) {
		f.wrongful++
	}
}

// borrow asks peers in rounds, as the service does.
func (j *job) borrow() {
	h := j.host
	borrows := h.sim.config.scheme == schemeChosen || h.sim.config.scheme == schemeEscrow
	if !borrows || !h.borrower.MayAsk(h.clock(), j.organisation) {
		j.refuse()
		return
	}
	j.listPeers()
	j.arrived = h.sim.now
	j.round(rounds)
}

// wait tries again a little later, if the missing tokens come soon.
func (j *job) wait() {
	h := j.host
	left := maxWait - h.sim.now.Sub(j.arrived)
	if left < waitStep || !h.limiter.WorthWaiting(h.clock(), j.funding, left) {
		h.borrower.Failed(h.clock(), j.organisation)
		j.refuse()
		return
	}
	h.sim.after(waitStep, func() {
		h.do(func() {
			if j.done {
				return
			}
			h.limiter.TopUp(h.clock(), j.funding)
			if !j.grant() {
				j.listPeers()
				j.round(rounds)
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
		j.wait()
		return
	}
	chosen := h.borrower.Round(h.clock(), j.organisation, j.funding.Missing(), j.peers)
	open, over := len(chosen), false
	next := func() {
		if !over && !j.done {
			over = true
			j.round(left - 1)
		}
	}
	for _, question := range chosen {
		j.peers = slices.DeleteFunc(j.peers, func(p string) bool { return p == question.Peer })
		j.ask(question, func() {
			open--
			if j.done {
				return
			}
			if j.grant() {
				h.borrower.Succeeded(j.organisation)
			} else if open == 0 {
				next()
			}
		})
	}
	h.sim.after(roundTimeout, func() { h.do(next) })
}

const borrowMessageSize = 120 // bytes, of the request and of the answer

func (j *job) ask(question Question, answered func()) {
	h, s := j.host, j.host.sim
	s.seq++
	request := Request{ID: fmt.Sprint(s.seq), Organisation: j.organisation, Tokens: question.Tokens, Admit: time.Second}
	to := s.process(question.Peer)
	s.send(h, to, borrowMessageSize, func() {
		tokens := to.lend(request)
		s.send(to, h, borrowMessageSize, func() {
			h.borrower.Answered(h.clock(), j.organisation, question, tokens)
			h.accept(j, Part{Peer: question.Peer, ID: request.ID, Tokens: tokens})
			answered()
		})
	})
}

// lend lends, or in the escrow scheme gives away, tokens.
func (h *simHost) lend(request Request) float64 {
	tokens := h.limiter.Lend(h.clock(), request)
	held := h.limiter.held[request.ID]
	if held == nil || held.grant == nil {
		return tokens
	}
	if h.sim.config.scheme == schemeEscrow {
		h.limiter.close(h.clock(), held)
	}
	return tokens
}

func (h *simHost) accept(j *job, part Part) {
	taken := slices.ContainsFunc(j.funding.parts, func(p fundingPart) bool { return p.ID == part.ID })
	if taken && h.sim.config.broken == faultAcceptTwice {
		part.ID += "/again"
	}
	h.report(j.funding.Add(h.clock(), part))
}

// pull moves tokens here from peers without room.
func (h *simHost) pull() {
	s := h.sim
	for _, p := range h.borrower.Pulls(h.clock(), h.limiter.Rooms(h.clock())) {
		s.seq++
		id := fmt.Sprint(s.seq)
		if !h.limiter.BeginPull(h.clock(), id, p) {
			continue
		}
		to := s.process(p.Peer)
		request := Request{ID: id, Organisation: p.Organisation, Tokens: p.Tokens, Admit: time.Second}
		s.send(h, to, borrowMessageSize, func() {
			tokens := to.lend(request)
			s.send(to, h, borrowMessageSize, func() {
				h.borrower.Answered(h.clock(), p.Organisation, p.Question, tokens)
				h.report([]Report{{p.Peer, h.limiter.EndPull(h.clock(), id, tokens)}})
			})
		})
	}
}

// report sends settlements, those to one peer together.
func (h *simHost) report(reports []Report) {
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

// loadConfig shapes one organisation's requests.
type loadConfig struct {
	organisation string
	// offered is the mean rate of tokens used, relative to the policy's.
	offered float64
	// meanTokens is the mean estimate of a request.
	meanTokens float64
	// skew is the part of the requests that go to one host, which changes
	// every 20 s.
	skew float64
	// high and low make the rate alternate between two multiples of the mean.
	// Zero for both means a steady rate.
	high, low float64
	// usedMin is the least part of the estimate that is used; the mean is half
	// way to 1.
	usedMin float64
	// longest is the longest time that a request takes.
	longest time.Duration
}

// load lets requests arrive until the end.
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
		// A long wait is drawn anew, since the rate may change.
		if wait := s.random.ExpFloat64() / rate; wait < 0.5 {
			s.after(time.Duration(wait*float64(time.Second)), arrive)
		} else {
			s.after(time.Second/2, next)
		}
	}
	next()
}

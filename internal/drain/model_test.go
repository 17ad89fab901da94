package drain_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/drain"
)

// modelSchedules is the number of schedules that are drawn; STOP_SCHEDULES overrides it, and
// STOP_SEED the seed of the first one.
const modelSchedules = 500

// modelRequest is a request of a caller in the model.
type modelRequest struct {
	drain.Request
	// wholeAt is when its last byte arrives, deadline when its caller gives up, and endsAt
	// when its endpoint answers, both zero until it is passed on.
	wholeAt, deadline, endsAt time.Time
	begun, passedOn, answered bool
	decision                  drain.Decision
}

// modelConn is a connection of a caller: requests arrive one after the other, and the next
// one may arrive before the answer to the one before.
type modelConn struct {
	openedAt time.Time
	requests []*modelRequest
	// lastSaid is set once an answer said that the connection closes, callerCloses after how
	// long the caller then closes it.
	lastSaid, closed bool
	callerCloses     time.Duration
	closesAt         time.Time
}

// current returns the first request without an answer, or nil.
func (c *modelConn) current() *modelRequest {
	for _, r := range c.requests {
		if !r.answered {
			return r
		}
	}
	return nil
}

// modelHost is a host that acts on a Stop as the programs do, with everything around it drawn.
type modelHost struct {
	random *rand.Rand
	stop   *drain.Stop
	timing drain.Timing
	now    time.Time
	began  time.Time
	conns  []*modelConn
	relays []time.Time // when each relayed connection ends
	// slowdown multiplies what endpoints take.
	slowdown int
	problems []string
}

const (
	modelStep = 10 * time.Millisecond
	// mostLate is the largest number of steps in which a busy host doesn't look at its work.
	mostLate = 5
)

func (h *modelHost) failf(format string, arguments ...any) {
	h.problems = append(h.problems, fmt.Sprintf("%v after the signal: %s", h.now.Sub(h.began), fmt.Sprintf(format, arguments...)))
}

func (h *modelHost) between(least, most time.Duration) time.Duration {
	return least + time.Duration(h.random.Int64N(int64(most-least)+1))
}

// arrive draws new connections, requests on open ones, and relayed connections.
func (h *modelHost) arrive() {
	if h.random.IntN(6) == 0 && h.stop.Listens() {
		h.conns = append(h.conns, &modelConn{openedAt: h.now, callerCloses: h.between(0, 3*time.Second)})
	}
	if h.random.IntN(60) == 0 && h.stop.RelaysForPeers() {
		h.relays = append(h.relays, h.now.Add(h.between(0, 12*time.Second)))
	}
	for _, c := range h.conns {
		if c.closed || c.lastSaid || h.random.IntN(40) > 0 || len(c.requests) > 0 && c.current() != nil && h.random.IntN(4) > 0 {
			continue
		}
		r := &modelRequest{begun: true, Request: drain.Request{Service: "s", OutputTokens: h.random.IntN(3) * 200}}
		r.wholeAt = h.now
		if h.random.IntN(3) == 0 { // a body that takes its time
			r.wholeAt = h.now.Add(h.between(0, 4*time.Second))
		}
		if last := len(c.requests) - 1; last >= 0 && r.wholeAt.Before(c.requests[last].wholeAt) {
			r.wholeAt = c.requests[last].wholeAt // bytes arrive in their order
		}
		r.deadline = r.wholeAt.Add(h.between(100*time.Millisecond, 15*time.Second))
		c.requests = append(c.requests, r)
	}
}

// serve passes requests on, or refuses them, and answers them.
func (h *modelHost) serve() {
	for _, c := range h.conns {
		r := c.current()
		if c.closed || r == nil || r.wholeAt.After(h.now) {
			continue
		}
		if !r.passedOn {
			r.decision = h.stop.Decide(r.deadline.Sub(h.now), r.Request)
			if !r.decision.Admitted {
				h.answer(c, r)
				continue
			}
			h.checkAdmission(r)
			r.passedOn = true
			r.endsAt = h.now.Add(h.between(10*time.Millisecond, 2*time.Second) * time.Duration(h.slowdown))
		}
		if end := earlier(r.endsAt, r.deadline); !h.now.Before(end) {
			h.stop.Record(r.Request, h.now.Sub(r.wholeAt))
			h.answer(c, r)
		}
	}
	h.relays = slices.DeleteFunc(h.relays, func(end time.Time) bool { return !h.now.Before(end) })
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkAdmission checks that a request that is passed on late ends before the limit.
func (h *modelHost) checkAdmission(r *modelRequest) {
	elapsed, stopping := h.stop.Elapsed()
	if stopping && elapsed >= h.timing.Announced && r.deadline.After(h.began.Add(h.timing.Limit)) {
		h.failf("passed on a request that may last until %v", r.deadline.Sub(h.began))
	}
}

// answer answers a request, and closes its connection if it was the last one.
func (h *modelHost) answer(c *modelConn, r *modelRequest) {
	r.answered = true
	if h.stop.LastAnswers() && c.current() == nil {
		c.lastSaid = true
		c.closesAt = h.now.Add(c.callerCloses)
	}
}

// advance does what the program does at the start of each phase.
func (h *modelHost) advance() {
	for phase := h.stop.Phase(); ; {
		next := h.stop.Advance(h.work())
		if next == phase {
			return
		}
		phase = next
		switch phase {
		case drain.Draining:
			for _, c := range h.conns {
				if len(c.requests) > 0 && c.current() == nil {
					c.closed = true
				}
			}
		case drain.Ending:
			for _, c := range h.conns {
				if r := c.current(); r != nil && !c.closed && r.passedOn {
					if r.decision.Basis == drain.BasisDeadline {
						h.failf("ended a request that was admitted by its deadline, %v", r.deadline.Sub(h.began))
					}
					h.answer(c, r)
				}
			}
		case drain.Closing:
			for _, c := range h.conns {
				if len(c.requests) == 0 {
					c.closed = true
				}
			}
		case drain.Serving, drain.Announced, drain.Ended:
		}
	}
}

// work counts what is left, as the server does.
func (h *modelHost) work() drain.Work {
	const newConn = time.Second
	w := drain.Work{Relays: len(h.relays)}
	for _, c := range h.conns {
		if !c.closesAt.IsZero() && !h.now.Before(c.closesAt) {
			c.closed = true
		}
		if c.closed {
			continue
		}
		w.Connections++
		r := c.current()
		switch {
		case r != nil && r.passedOn:
			w.Requests++
		case r != nil, len(c.requests) == 0 && h.now.Sub(c.openedAt) < newConn:
			w.Arriving++
		}
	}
	return w
}

// check checks what is true once the process has ended.
func (h *modelHost) check() {
	if elapsed := h.now.Sub(h.began); elapsed > h.timing.Total()+(mostLate+1)*modelStep {
		h.failf("still runs")
	}
	for _, c := range h.conns {
		if r := c.current(); r != nil && !c.closed && !r.wholeAt.After(h.began.Add(h.timing.Limit)) {
			h.failf("a request that was read %v after the signal has no answer; passed on %v", r.wholeAt.Sub(h.began), r.passedOn)
		}
		for _, r := range c.requests {
			if r.answered && !r.decision.Admitted && r.passedOn {
				h.failf("a request was refused as not run, and runs")
			}
		}
	}
}

// runModel plays one schedule and returns what is wrong with it.
func runModel(seed uint64) []string {
	h := &modelHost{random: rand.New(rand.NewPCG(seed, 0)), slowdown: 1, now: time.Unix(1e9, 0)}
	others := h.random.IntN(2) == 0
	h.stop = drain.New(drain.Config{OthersServe: func() bool { return others }, Clock: func() time.Time { return h.now }})
	h.timing, _ = drain.TimingWithin(h.between(4*time.Second, 12*time.Second), 2500*time.Millisecond)
	signalAt := h.now.Add(h.between(0, 5*time.Second))
	suspended, late := false, 0
	for h.stop.Phase() != drain.Ended {
		h.now = h.now.Add(modelStep)
		if h.began.IsZero() && !h.now.Before(signalAt) {
			h.began = h.now
			h.stop.Begin(h.timing)
		}
		switch h.random.IntN(200) {
		case 0:
			h.slowdown = 1 + h.random.IntN(8)
		case 1:
			others = !others
		case 2:
			if !h.began.IsZero() && h.stop.Begin(drain.Timing{}) {
				h.failf("a further signal began the shutdown again")
			}
		case 3:
			if !suspended && h.random.IntN(10) == 0 {
				suspended = true
				h.now = h.now.Add(h.between(0, 5*time.Second))
			}
		}
		h.arrive()
		h.serve()
		if late++; late > mostLate || h.random.IntN(4) > 0 { // a busy machine looks late
			late = 0
			h.advance()
		}
	}
	if !suspended {
		h.check()
	}
	return h.problems
}

var _ = Describe("The model of a host that stops", func() {
	// Guards against requests without an answer, requests that are taken though nothing bounds
	// them, refusals of what has run, and processes that don't end by themselves.
	It("keeps its promises in any order of events", func() {
		schedules, first := envInt("STOP_SCHEDULES", modelSchedules), envInt("STOP_SEED", 1)
		for seed := first; seed < first+schedules; seed++ {
			Expect(runModel(uint64(seed))).To(BeEmpty(), "STOP_SEED=%d STOP_SCHEDULES=1", seed)
		}
	})
})

func envInt(name string, otherwise int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return otherwise
}

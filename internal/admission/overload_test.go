package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The load is that of the drafting models in the users' requirements: 9 workers
// with 16 slots each and five organisations, of which "a" is large and "hog"
// sends several times its fair share.
const (
	simSlots      = 9 * 16
	prefill       = 100 * time.Millisecond
	tokenInterval = 30 * time.Millisecond
	meanTokens    = 200.0
	warmUp        = 20 * time.Second
	measurement   = 60 * time.Second
	firstTokenSLO = 700 * time.Millisecond
)

// capacity is the number of tokens per second that the slots can serve.
var capacity = simSlots * meanTokens / (prefill + time.Duration(meanTokens)*tokenInterval).Seconds()

// profile describes an organisation's load: its share of the offered load and
// the fraction of its requests that is batch.
type profile struct {
	name  string
	share float64
	batch float64
}

var profiles = []profile{{"a", 0.20, 0.3}, {"b", 0.07, 0.3}, {"c", 0.07, 0}, {"d", 0.06, 0}, {"hog", 0.60, 0.3}}

// scheduler is the queue under simulation: a Queue or the FIFO baseline.
type scheduler interface {
	offer(now time.Time, req Request) (*Ticket, bool)
	dispatch(now time.Time, free int) (started, refused []*Ticket)
	finish(ticket *Ticket)
	waiting() int
}

type fairQueue struct{ *Queue }

func (f fairQueue) offer(now time.Time, req Request) (*Ticket, bool) {
	ticket, refusal := f.Offer(now, req)
	return ticket, refusal == nil
}

func (f fairQueue) dispatch(now time.Time, free int) (started, refused []*Ticket) {
	started, out := f.Dispatch(now, slots(free))
	for _, r := range out {
		refused = append(refused, r.Ticket)
	}
	return started, refused
}

func (f fairQueue) finish(ticket *Ticket) { f.Finish(ticket, ticket.Tokens) }
func (f fairQueue) waiting() int          { return f.Len() }

// fifoQueue starts requests in arrival order and rejects them when it is full
// or when their deadlines have passed.
type fifoQueue struct{ tickets []*Ticket }

func (f *fifoQueue) offer(now time.Time, req Request) (*Ticket, bool) {
	if len(f.tickets) >= 2048 {
		return nil, false
	}
	ticket := &Ticket{Request: req, Offered: now}
	f.tickets = append(f.tickets, ticket)
	return ticket, true
}

func (f *fifoQueue) dispatch(now time.Time, free int) (started, refused []*Ticket) {
	for len(f.tickets) > 0 && (free > 0 || f.tickets[0].Deadline.Before(now)) {
		head := f.tickets[0]
		f.tickets = f.tickets[1:]
		if head.Deadline.Before(now) {
			refused = append(refused, head)
			continue
		}
		free--
		started = append(started, head)
	}
	return started, refused
}

func (f *fifoQueue) finish(*Ticket) {}
func (f *fifoQueue) waiting() int   { return len(f.tickets) }

// simEvent is the arrival of a request of an organisation or, if ticket is set,
// the completion of that ticket's request.
type simEvent struct {
	at     time.Time
	org    int
	ticket *Ticket
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// account collects an organisation's statistics.
type account struct {
	offered, served      float64 // tokens
	interactive, inTime  int
	refused, refusedLate int
	requests             int
}

type simulation struct {
	scheduler scheduler
	load      float64
	wait      time.Duration
	rng       *rand.Rand
	events    simEvents
	free      int
	accounts  []account
	// batchGap is the longest time for which a queued batch request waited
	// without any batch request being started.
	batchGap   time.Duration
	batchSince time.Time
	batchQueue int
	pulse      bool
}

func newSimulation(s scheduler, load float64, wait time.Duration, seed uint64) *simulation {
	return &simulation{
		scheduler: s, load: load, wait: wait, free: simSlots,
		rng: rand.New(rand.NewPCG(seed, 0)), accounts: make([]account, len(profiles)),
	}
}

func (s *simulation) run() {
	for org := range profiles {
		s.scheduleArrival(start, org)
	}
	for end := start.Add(warmUp + measurement); len(s.events) > 0; {
		ev := heap.Pop(&s.events).(simEvent)
		if ev.at.After(end) {
			return
		}
		if ev.ticket != nil {
			s.free++
			s.scheduler.finish(ev.ticket)
		} else {
			s.arrive(ev.at, ev.org)
		}
		s.dispatch(ev.at)
	}
}

// rateFactor modulates the load: each organisation's rate oscillates by 50 %
// around its mean with a period of 7 s; a pulsing hog sends nearly all of its
// requests in the first third of each 30 s.
func (s *simulation) rateFactor(now time.Time, org int) float64 {
	at := now.Sub(start).Seconds()
	if s.pulse && profiles[org].name == "hog" {
		if math.Mod(at, 30) < 10 {
			return 3
		}
		return 0.01
	}
	return 1 + 0.5*math.Sin(2*math.Pi*(at/7+float64(org)/5))
}

// scheduleArrival schedules the organisation's next arrival, drawn from a
// Poisson process.
func (s *simulation) scheduleArrival(now time.Time, org int) {
	perSecond := s.load * capacity * profiles[org].share / meanTokens * s.rateFactor(now, org)
	gap := time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
	heap.Push(&s.events, simEvent{at: now.Add(gap), org: org})
}

func (s *simulation) arrive(now time.Time, org int) {
	s.scheduleArrival(now, org)
	req := request(profiles[org].name, Interactive, math.Ceil(meanTokens*(0.5+s.rng.Float64())))
	req.Deadline = now.Add(s.wait)
	if s.rng.Float64() < profiles[org].batch {
		req.Class = Batch
		req.Deadline = now.Add(10 * time.Minute)
	}
	measuring := now.Sub(start) >= warmUp
	if measuring {
		s.accounts[org].requests++
		s.accounts[org].offered += req.Tokens
		if req.Class == Interactive {
			s.accounts[org].interactive++
		}
	}
	_, ok := s.scheduler.offer(now, req)
	if !ok && measuring {
		s.accounts[org].refused++
	}
	if ok && req.Class == Batch {
		if s.batchQueue == 0 {
			s.batchSince = now
		}
		s.batchQueue++
	}
}

func (s *simulation) dispatch(now time.Time) {
	started, refused := s.scheduler.dispatch(now, s.free)
	for _, ticket := range started {
		s.free--
		duration := prefill + time.Duration(ticket.Tokens)*tokenInterval
		heap.Push(&s.events, simEvent{at: now.Add(duration), ticket: ticket})
		s.recordStart(now, ticket)
	}
	for _, ticket := range refused {
		if ticket.Class == Batch {
			s.batchQueue--
		}
		if ticket.Offered.Sub(start) >= warmUp {
			s.accountOf(ticket).refused++
			s.accountOf(ticket).refusedLate++
		}
	}
}

func (s *simulation) accountOf(ticket *Ticket) *account {
	for org := range profiles {
		if profiles[org].name == ticket.Organisation {
			return &s.accounts[org]
		}
	}
	return nil
}

func (s *simulation) recordStart(now time.Time, ticket *Ticket) {
	measuring := now.Sub(start) >= warmUp
	if ticket.Class == Batch {
		if measuring {
			s.batchGap = max(s.batchGap, now.Sub(s.batchSince))
		}
		s.batchSince = now
		s.batchQueue--
	}
	if !measuring {
		return
	}
	a := s.accountOf(ticket)
	a.served += ticket.Tokens
	if ticket.Class == Interactive && ticket.Offered.Sub(start) >= warmUp && now.Sub(ticket.Offered)+prefill <= firstTokenSLO {
		a.inTime++
	}
}

// fairShares divides the capacity among the offered tokens by max-min fairness.
func (s *simulation) fairShares() []float64 {
	shares := make([]float64, len(profiles))
	left := capacity * measurement.Seconds()
	satisfied := make([]bool, len(profiles))
	for remaining := len(profiles); remaining > 0; {
		share, progress := left/float64(remaining), false
		for org := range profiles {
			if !satisfied[org] && s.accounts[org].offered <= share {
				shares[org], satisfied[org], progress = s.accounts[org].offered, true, true
				left -= shares[org]
				remaining--
				break
			}
		}
		if progress {
			continue
		}
		for org := range profiles {
			if !satisfied[org] {
				shares[org] = share
			}
		}
		break
	}
	return shares
}

// result is one row of a results table: the lowest ratio of served tokens to
// fair share of any organisation but the hog, the fraction of interactive
// requests with the first token in time (of all organisations, and of those
// that stayed within their fair share), and the number of rejections.
type result struct {
	worst, attainment, withinShare float64
	refused, late                  int
	batchGap                       time.Duration
}

func (s *simulation) result() result {
	r := result{worst: math.Inf(1), batchGap: s.batchGap}
	interactive, inTime, withinAll, withinInTime := 0, 0, 0, 0
	for org, share := range s.fairShares() {
		a := s.accounts[org]
		interactive += a.interactive
		inTime += a.inTime
		r.refused += a.refused
		r.late += a.refusedLate
		if profiles[org].name == "hog" {
			continue
		}
		r.worst = min(r.worst, a.served/share)
		if a.offered > share {
			continue
		}
		withinAll += a.interactive
		withinInTime += a.inTime
	}
	r.attainment = float64(inTime) / float64(interactive)
	r.withinShare = float64(withinInTime) / float64(withinAll) // NaN if there were none
	return r
}

func simulate(s scheduler, load float64, seed uint64, pulse bool) result {
	sim := newSimulation(s, load, defaultWait, seed)
	sim.pulse = pulse
	sim.run()
	return sim.result()
}

var loads = []float64{0.5, 1, 1.5, 2, 3, 4}

// TestFairnessUnderOverload checks at each load that every organisation but the
// hog gets at least 95 % of its fair share and that batch is not starved.
func TestFairnessUnderOverload(t *testing.T) {
	const batchBound = 2*time.Second + 500*time.Millisecond
	for i := range 20 {
		seed, pulse := uint64(i/2), i%2 == 1
		for _, load := range loads {
			got := simulate(fairQueue{New(Config{})}, load, seed, pulse)
			if got.worst < 0.95 {
				t.Errorf("seed %d, pulse %v, load %.1f: the worst-served organisation got %.3f of its fair share", seed, pulse, load, got.worst)
			}
			if got.batchGap > batchBound {
				t.Errorf("seed %d, pulse %v, load %.1f: no batch request was started for %s while one was queued", seed, pulse, load, got.batchGap)
			}
		}
	}
}

const defaultWait = 5 * time.Second

// BenchmarkOverload prints the tables of docs/design/admission.md.
func BenchmarkOverload(b *testing.B) {
	for range b.N {
		for _, pulse := range []bool{false, true} {
			fmt.Printf("\npulsing hog: %v\n\n%s", pulse, overloadTable(pulse))
		}
	}
}

func overloadTable(pulse bool) string {
	var table strings.Builder
	table.WriteString("| load | queue | worst share of due | attainment of those within their due | attainment of all | refused | refused after waiting | longest batch gap s |\n|---|---|---|---|---|---|---|---|\n")
	for _, load := range loads {
		rows := []struct {
			name string
			got  result
		}{
			{"FIFO", simulate(&fifoQueue{}, load, 1, pulse)},
			{"fair, no credit, long queue", simulate(fairQueue{New(Config{BurstLength: time.Hour, CreditWindow: 1})}, load, 1, pulse)},
			{"fair, no credit", simulate(fairQueue{New(Config{CreditWindow: 1})}, load, 1, pulse)},
			{"chosen", simulate(fairQueue{New(Config{})}, load, 1, pulse)},
		}
		for _, row := range rows {
			fmt.Fprintf(&table, "| %.1f | %s | %.3f | %.3f | %.3f | %d | %d | %.2f |\n", load, row.name,
				row.got.worst, row.got.withinShare, row.got.attainment, row.got.refused, row.got.late, row.got.batchGap.Seconds())
		}
	}
	return table.String()
}

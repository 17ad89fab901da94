package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

// testInterval is the time between reports in these specs.
const testInterval = 200 * time.Millisecond

// testHosts are the quarantines of several hosts with one clock.
type testHosts struct {
	now   time.Time
	hosts []*Quarantine
	// startedAt is when each host started.
	startedAt map[int]time.Time
}

func newTestHosts(count int) *testHosts {
	t := &testHosts{now: time.Unix(1_000_000, 0), hosts: make([]*Quarantine, count), startedAt: make(map[int]time.Time)}
	for i := range count {
		t.start(i)
	}
	t.exchange(int(time.Minute / testInterval))
	return t
}

// start starts a host, or restarts it.
func (t *testHosts) start(i int) {
	t.hosts[i] = New(func() time.Time { return t.now })
	t.startedAt[i] = t.now
}

// exchange lets time pass and has each host report to each other.
func (t *testHosts) exchange(rounds int) {
	for range rounds {
		t.now = t.now.Add(testInterval)
		for i, from := range t.hosts {
			from.SetReachability(exchange.Reachability{Interval: testInterval})
			report := &fleetv1.Report{Host: fmt.Sprint("h", i), AgeMillis: t.now.Sub(t.startedAt[i]).Milliseconds()}
			from.FillReport(report)
			for j, to := range t.hosts {
				if i != j {
					to.HandleReport(report, false)
				}
			}
		}
	}
}

// crash lets an endpoint crash under requests of hosts, by their segments.
func (t *testHosts) crash(endpoint Incarnation, inFlight map[int][]Suspect) {
	for host, segments := range inFlight {
		t.hosts[host].RecordBreak(endpoint, segments)
	}
	t.exchange(2)
	t.hosts[0].RecordGone(endpoint)
	t.exchange(3)
}

// held returns the hosts that hold the segment back.
func (t *testHosts) held(s Suspect) int {
	count := 0
	for _, host := range t.hosts {
		if _, held := host.Held(s); held {
			count++
		}
	}
	return count
}

func incarnationNumber(n int) Incarnation {
	return Incarnation{Endpoint: fmt.Sprint("e", n), StartedMillis: int64(n)}
}

var _ = Describe("Quarantine", func() {
	bad, shared, rare := segment(1), segment(2), segment(3)

	It("is in force on all hosts after three crashes that each saw in part", func() {
		t := newTestHosts(4)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{n: {bad, shared}})
			t.hosts[3].RecordSurvival([]Suspect{shared})
		}
		t.exchange(3)
		Expect(t.held(bad)).To(Equal(4))
		Expect(t.held(shared)).To(BeZero())
	})

	It("holds a request back on all hosts after three crashes that each saw in part, and clears one that survived", func() {
		t := newTestHosts(4)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{n: {request(1)}, (n + 1) % 4: {request(2), shared}})
			t.hosts[3].RecordSurvival([]Suspect{request(2), shared})
		}
		t.exchange(3)
		Expect(t.held(request(1))).To(Equal(4))
		Expect(t.held(request(2))).To(BeZero())
	})

	It("does not let an organisation have another one's requests held back", func() {
		key := RequestKey{Organisation: "good", Method: "POST", Host: "api.example", Target: "/read/x", Body: []byte("b")}
		copied := key
		copied.Organisation = "bad"
		t := newTestHosts(2)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{0: {RequestOf(copied)}})
		}
		t.exchange(3)
		Expect(t.held(RequestOf(copied))).To(Equal(2))
		Expect(t.held(RequestOf(key))).To(BeZero())
	})

	It("does not count requests that break off at an endpoint that goes on answering", func() {
		t := newTestHosts(2)
		for n := range 5 {
			t.hosts[0].RecordBreak(incarnationNumber(n), []Suspect{bad})
			t.now = t.now.Add(50 * time.Millisecond)
			t.hosts[0].RecordAnswer(incarnationNumber(n), t.now)
			t.hosts[0].RecordGone(incarnationNumber(n))
		}
		t.exchange(5)
		Expect(t.held(bad)).To(BeZero())
	})

	// Guards against taking the answer of a crashed endpoint's successor, which has its
	// identifier, for a sign that the endpoint never crashed.
	It("counts the crash of an endpoint that comes back under its identifier and answers", func() {
		t := newTestHosts(2)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{0: {request(1)}})
			t.hosts[1].RecordAnswer(incarnationNumber(n), t.now)
			t.hosts[0].RecordAnswer(incarnationNumber(n), t.now)
		}
		t.exchange(3)
		Expect(t.held(request(1))).To(Equal(2))
	})

	It("does not count requests that broke off long before the endpoint left", func() {
		t := newTestHosts(2)
		for n := range 5 {
			t.hosts[0].RecordBreak(incarnationNumber(n), []Suspect{bad})
		}
		t.exchange(40)
		for n := range 5 {
			t.hosts[1].RecordGone(incarnationNumber(n))
		}
		t.exchange(5)
		Expect(t.held(bad)).To(BeZero())
	})

	It("holds a segment back only until a request with it survives on any host", func() {
		t := newTestHosts(3)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{0: {rare}})
		}
		t.exchange(3)
		Expect(t.held(rare)).To(Equal(3))
		t.hosts[2].RecordSurvival([]Suspect{rare}) // it was sent before
		t.exchange(3)
		Expect(t.held(rare)).To(BeZero())
	})

	It("hears of a survival long after the crashes were reported", func() {
		t := newTestHosts(3)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{0: {rare}})
		}
		t.exchange(2 * int(reportedFor/testInterval))
		Expect(t.held(rare)).To(Equal(3))
		t.hosts[2].RecordSurvival([]Suspect{rare}) // in flight since before the hold
		t.exchange(3)
		Expect(t.held(rare)).To(BeZero())
	})

	It("never holds back a segment that survived on a host whose reports are awaited", func() {
		t := newTestHosts(3)
		t.hosts[2].RecordSurvival([]Suspect{shared})
		for n := range 3 {
			t.hosts[0].RecordBreak(incarnationNumber(n), []Suspect{shared})
			t.hosts[0].RecordGone(incarnationNumber(n))
			for range 3 {
				Expect(t.held(shared)).To(BeZero())
				t.exchange(1)
			}
		}
	})

	It("passes the evidence on to a host that starts later", func() {
		t := newTestHosts(3)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{0: {bad}})
		}
		t.exchange(3)
		for range 6 { // longer than crashes are reported in general
			t.exchange(int(reportedFor/testInterval) / 4)
		}
		for i := range t.hosts { // all hosts are restarted, one after the other
			t.start(i)
			t.exchange(3 + int(exchange.MaxSettleTime/testInterval))
		}
		Expect(t.held(bad)).To(Equal(3))
	})

	It("ends after the evidence has expired", func() {
		t := newTestHosts(2)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{0: {bad}})
		}
		t.exchange(3)
		left, held := t.hosts[1].Held(bad)
		Expect(held).To(BeTrue())
		Expect(left).To(BeNumerically("~", evidenceTTL, 10*time.Second))
		t.now = t.now.Add(evidenceTTL)
		t.exchange(1)
		Expect(t.held(bad)).To(BeZero())
	})

	It("restores stored holds, which end at their time or when such a request survives", func() {
		t := newTestHosts(1)
		for n := range 3 {
			t.crash(incarnationNumber(n), map[int][]Suspect{0: {request(1), bad}})
			t.crash(incarnationNumber(10+n), map[int][]Suspect{0: {request(2)}})
		}
		t.exchange(3)
		stored := t.hosts[0].Holds()
		Expect(stored).To(HaveLen(2))
		t.start(0)
		Expect(t.held(request(1))).To(BeZero())
		Expect(t.hosts[0].Restore(stored)).To(Succeed())
		Expect([]int{t.held(request(1)), t.held(request(2))}).To(Equal([]int{1, 1}))
		t.hosts[0].RecordSurvival([]Suspect{request(2)}) // in flight since before the hold
		t.exchange(1)
		Expect([]int{t.held(request(1)), t.held(request(2))}).To(Equal([]int{1, 0}))
		t.now = t.now.Add(evidenceTTL)
		t.exchange(1)
		Expect(t.held(request(1))).To(BeZero())
		Expect(t.hosts[0].Restore([]StoredHold{{Kind: "other", Hash: "1"}})).NotTo(Succeed())
		Expect(t.hosts[0].Restore([]StoredHold{{Kind: "request", Hash: "x"}})).NotTo(Succeed())
	})

	It("bounds its memory and its reports", func() {
		t := newTestHosts(1)
		for n := range 4 * maxCrashes {
			var suspects []Suspect
			for i := range 2 * max(maxSuspects[KindSegment], maxSuspects[KindRequest]) {
				suspects = append(suspects, segment(n*1000+i), request(n*1000+i))
			}
			t.hosts[0].RecordBreak(incarnationNumber(n), suspects)
			t.hosts[0].RecordGone(incarnationNumber(n))
		}
		Expect(len(t.hosts[0].evidence.crashes)).To(BeNumerically("<=", maxCrashes))
		report := &fleetv1.Report{}
		t.hosts[0].FillReport(report)
		Expect(len(report.GetCrashes())).To(BeNumerically("<=", maxReported))
		for _, c := range report.GetCrashes() {
			Expect(len(c.GetSegments())).To(BeNumerically("<=", maxSuspects[KindSegment]))
			Expect(len(c.GetRequests())).To(BeNumerically("<=", maxSuspects[KindRequest]))
		}
	})
})

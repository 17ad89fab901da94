package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/drain"
)

var _ = Describe("The phases of a shutdown", func() {
	timing := drain.Timing{Announced: 2 * time.Second, Limit: 7 * time.Second, Answers: 300 * time.Millisecond, Close: 200 * time.Millisecond}
	busy := drain.Work{Requests: 1, Connections: 1}
	type step struct {
		at    time.Duration
		work  drain.Work
		phase drain.Phase
	}
	// Guards against a phase that ends too early, so that something is cut, or too late, so
	// that the process is killed.
	DescribeTable("follow each other by time and by the work that is left", func(steps ...step) {
		began := time.Now()
		now := began
		stop := drain.New(drain.Config{Clock: func() time.Time { return now }})
		Expect(stop.Advance(drain.Work{})).To(Equal(drain.Serving))
		Expect(stop.Begin(timing)).To(BeTrue())
		for _, s := range steps {
			now = began.Add(s.at)
			Expect(stop.Begin(drain.Timing{})).To(BeFalse(), "a second signal")
			Expect(stop.Advance(s.work)).To(Equal(s.phase), "at %v with %+v", s.at, s.work)
		}
	},
		Entry("nothing runs",
			step{0, drain.Work{}, drain.Announced}, step{1999 * time.Millisecond, drain.Work{}, drain.Announced},
			step{2 * time.Second, drain.Work{Connections: 1}, drain.Draining}, step{2 * time.Second, drain.Work{Connections: 1}, drain.Closing},
			step{2100 * time.Millisecond, drain.Work{}, drain.Ended}),
		Entry("a request arrives, runs, and its caller leaves the connection open",
			step{2 * time.Second, drain.Work{Arriving: 1, Connections: 1}, drain.Draining}, step{3 * time.Second, drain.Work{Arriving: 1, Connections: 1}, drain.Draining},
			step{5 * time.Second, busy, drain.Draining}, step{6 * time.Second, drain.Work{Connections: 1}, drain.Closing},
			step{6900 * time.Millisecond, drain.Work{Connections: 1}, drain.Closing}, step{7 * time.Second, drain.Work{Connections: 1}, drain.Ended}),
		Entry("a relayed connection outlasts the limit",
			step{2 * time.Second, drain.Work{Relays: 1}, drain.Draining}, step{6999 * time.Millisecond, drain.Work{Relays: 1}, drain.Draining},
			step{7 * time.Second, drain.Work{Relays: 1}, drain.Ending}, step{7 * time.Second, drain.Work{Relays: 1}, drain.Closing}, step{7 * time.Second, drain.Work{}, drain.Ended}),
		Entry("a request outlasts the limit, and its answer too",
			step{2 * time.Second, busy, drain.Draining}, step{7 * time.Second, busy, drain.Ending}, step{7299 * time.Millisecond, busy, drain.Ending},
			step{7300 * time.Millisecond, busy, drain.Closing}, step{7499 * time.Millisecond, busy, drain.Closing}, step{7500 * time.Millisecond, busy, drain.Ended}),
		Entry("the machine is suspended beyond the limit",
			step{time.Second, busy, drain.Announced}, step{20 * time.Second, busy, drain.Draining}, step{20 * time.Second, busy, drain.Ending},
			step{20 * time.Second, busy, drain.Closing}, step{20 * time.Second, busy, drain.Ended}),
	)

	// Guards against a component that acts on a phase in another way than the others.
	It("mean the same to all components", func() {
		now := time.Now()
		stop := drain.New(drain.Config{Clock: func() time.Time { return now }})
		type meaning struct{ ready, lastAnswers, closesQuiet, listens, relays, changes, idleLease, changingLease bool }
		current := func() meaning {
			return meaning{
				stop.Ready(), stop.LastAnswers(), stop.ClosesQuiet(), stop.Listens(), stop.RelaysForPeers(),
				stop.StartsModelChanges(), stop.MayHoldLease(false), stop.MayHoldLease(true),
			}
		}
		Expect(current()).To(Equal(meaning{ready: true, listens: true, relays: true, changes: true, idleLease: true, changingLease: true}))
		Expect(stop.Begin(timing)).To(BeTrue())
		Expect(current()).To(Equal(meaning{lastAnswers: true, listens: true, changingLease: true}))
		now = now.Add(timing.Announced)
		stop.Advance(busy)
		Expect(current()).To(Equal(meaning{lastAnswers: true, closesQuiet: true, listens: true, changingLease: true}))
		now = now.Add(timing.Limit)
		stop.Advance(busy)
		Expect(current()).To(Equal(meaning{lastAnswers: true, closesQuiet: true, listens: true, changingLease: true}))
		stop.Advance(drain.Work{})
		Expect(current()).To(Equal(meaning{lastAnswers: true, closesQuiet: true, changingLease: true}))
	})

	// Guards against callers that come back to a host that still stops.
	It("tell callers to come back at once only if another host serves them", func() {
		now, others := time.Now(), true
		stop := drain.New(drain.Config{OthersServe: func() bool { return others }, Clock: func() time.Time { return now }})
		stop.Begin(timing)
		Expect(stop.RetryAfter()).To(Equal(10 * time.Millisecond))
		others = false
		now = now.Add(500 * time.Millisecond)
		Expect(stop.RetryAfter()).To(Equal(1500 * time.Millisecond))
		now = now.Add(2 * time.Second)
		Expect(stop.RetryAfter()).To(Equal(10 * time.Millisecond))
	})

	// Guards against a setting with which requests are cut that the host would have had time
	// for, or the process is killed.
	It("need a grace period of a minimum length", func() {
		fits, err := drain.TimingWithin(8*time.Second, 2500*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(fits.Limit).To(Equal(7500 * time.Millisecond))
		Expect(fits.Total()).To(BeNumerically("<", 8*time.Second))
		_, err = drain.TimingWithin(3499*time.Millisecond, 2500*time.Millisecond)
		Expect(err).To(MatchError(ContainSubstring("give at least 3.5s")))
		_, err = drain.TimingWithin(3500*time.Millisecond, 2500*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
	})
})

package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Drain")
}

var _ = Describe("The admission of requests while a host shuts down", func() {
	const tokens = 100
	var (
		began, now time.Time
		stop       *drain.Stop
		others     bool
	)
	stream := drain.Request{Service: "llm", OutputTokens: tokens}
	plain := drain.Request{Service: "app"}
	BeforeEach(func() {
		now, others = time.Now(), false
		stop = drain.New(drain.Config{OthersServe: func() bool { return others }, Clock: func() time.Time { return now }})
	})
	begin := func() {
		began = now
		Expect(stop.Begin(drain.Timing{Announced: 2 * time.Second, Limit: 8 * time.Second})).To(BeTrue())
	}
	decide := func(after, left time.Duration, r drain.Request) drain.Decision {
		now = began.Add(after)
		return stop.Decide(left, r)
	}
	admits := func(after, left time.Duration, r drain.Request) bool { return decide(after, left, r).Admitted }

	// Guards against refusals while nothing shuts down.
	It("admits all requests before the shutdown", func() {
		Expect(admits(0, time.Hour, stream)).To(BeTrue())
	})

	// Guards against requests that are taken though the process ends before they do, and
	// against estimates that do not go by the size of a request.
	It("refuses what is expected to outlast the process, by its size, until the balancer has noticed", func() {
		for range 100 {
			stop.Record(drain.Request{Service: "llm", OutputTokens: tokens / 4}, time.Second)
			stop.Record(stream, 6100*time.Millisecond)
		}
		begin()
		Expect(admits(1500*time.Millisecond, 15*time.Second, stream)).To(BeTrue())
		Expect(admits(1950*time.Millisecond, 15*time.Second, stream)).To(BeFalse())
		Expect(admits(1950*time.Millisecond, 15*time.Second, drain.Request{Service: "llm", OutputTokens: tokens / 4})).To(BeTrue())
	})

	// Guards against requests that are cut after the balancer has noticed: earlier requests
	// say nothing certain of the next one, whose endpoint may have become slower.
	It("goes by the deadline alone once the balancer has noticed", func() {
		for range 100 {
			stop.Record(plain, 50*time.Millisecond)
			stop.Record(stream, 800*time.Millisecond)
		}
		begin()
		for _, serve := range []bool{false, true} {
			others = serve
			for _, r := range []drain.Request{plain, stream} {
				Expect(decide(2*time.Second, 6*time.Second, r)).To(Equal(drain.Decision{Admitted: true, Basis: drain.BasisDeadline, Left: 6 * time.Second}))
				Expect(admits(2*time.Second, 6001*time.Millisecond, r)).To(BeFalse())
				Expect(admits(7500*time.Millisecond, time.Second, r)).To(BeFalse())
			}
		}
	})

	// Guards against cuts where a refusal would cost the caller no more than an attempt, and
	// against refusals where it finds no other host.
	DescribeTable("goes by the slowest of the recent requests, and half as much again, if other hosts serve",
		func(serve bool, slowest, after time.Duration, admitted bool) {
			others = serve
			for range 95 {
				stop.Record(plain, 50*time.Millisecond)
			}
			for range 5 {
				stop.Record(plain, slowest)
			}
			begin()
			Expect(admits(after, 15*time.Second, plain)).To(Equal(admitted))
		},
		Entry("others serve, and the slowest fits", true, 4*time.Second, 1900*time.Millisecond, true),
		Entry("others serve, and the slowest fits without headroom", true, 5*time.Second, 1900*time.Millisecond, false),
		Entry("no other serves, and most fit", false, 7*time.Second, 1900*time.Millisecond, true),
	)

	// Guards against guesses for requests like which none was served, and against refusals of
	// them where no other host serves.
	It("goes by the deadline where nothing is known and other hosts serve", func() {
		begin()
		Expect(decide(0, 15*time.Second, stream)).To(Equal(drain.Decision{Admitted: true, Basis: drain.BasisUnknown, Left: 8 * time.Second}))
		others = true
		Expect(admits(0, 15*time.Second, stream)).To(BeFalse())
		Expect(admits(0, 7*time.Second, stream)).To(BeTrue())
		Expect(admits(3*time.Second, 4*time.Second, plain)).To(BeTrue())
		Expect(admits(5*time.Second, 4*time.Second, plain)).To(BeFalse())
		Expect(admits(3*time.Second, 15*time.Second, stream)).To(BeFalse())
	})

	// Guards against estimates that outlive the load that they rest on.
	It("forgets requests after half a minute", func() {
		stop.Record(stream, 20*time.Second)
		now = now.Add(31 * time.Second)
		stop.Record(stream, time.Second)
		begin()
		Expect(admits(1900*time.Millisecond, 15*time.Second, stream)).To(BeTrue())
	})
})

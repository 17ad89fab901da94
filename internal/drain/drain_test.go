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
		now     time.Time
		window  *drain.Window
		samples *drain.Estimator
	)
	stream := drain.Request{Service: "llm", OutputTokens: tokens}
	plain := drain.Request{Service: "app"}
	BeforeEach(func() {
		now = time.Now()
		window = &drain.Window{}
		samples = drain.NewEstimator(func() time.Time { return now })
	})
	begin := func() { window.Begin(now, now.Add(2*time.Second), now.Add(8*time.Second)) }
	othersServe := func(serve bool) { window.OthersServe = func() bool { return serve } }
	decide := func(after, deadline time.Duration, r drain.Request) drain.Decision {
		admission := drain.Admission{Window: window, Estimator: samples}
		return admission.Decide(now.Add(after), now.Add(after+deadline), r)
	}
	admits := func(after, deadline time.Duration, r drain.Request) bool { return decide(after, deadline, r).Admitted }

	// Guards against refusals while nothing shuts down.
	It("admits all requests before the shutdown", func() {
		Expect(admits(0, time.Hour, stream)).To(BeTrue())
	})

	// Guards against requests that are taken though the process ends before they do, and
	// against estimates that do not go by the size of a request.
	It("refuses what is expected to outlast the process, by its size, until the balancer has noticed", func() {
		for range 100 {
			samples.Record(drain.Request{Service: "llm", OutputTokens: tokens / 4}, time.Second)
			samples.Record(stream, 6100*time.Millisecond)
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
			samples.Record(plain, 50*time.Millisecond)
			samples.Record(stream, 800*time.Millisecond)
		}
		begin()
		for _, serve := range []bool{false, true} {
			othersServe(serve)
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
			othersServe(serve)
			for range 95 {
				samples.Record(plain, 50*time.Millisecond)
			}
			for range 5 {
				samples.Record(plain, slowest)
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
		othersServe(true)
		Expect(admits(0, 15*time.Second, stream)).To(BeFalse())
		Expect(admits(0, 7*time.Second, stream)).To(BeTrue())
		Expect(admits(3*time.Second, 4*time.Second, plain)).To(BeTrue())
		Expect(admits(5*time.Second, 4*time.Second, plain)).To(BeFalse())
		Expect(admits(3*time.Second, 15*time.Second, stream)).To(BeFalse())
	})

	// Guards against estimates that outlive the load that they rest on.
	It("forgets requests after half a minute", func() {
		samples.Record(stream, 20*time.Second)
		now = now.Add(31 * time.Second)
		samples.Record(stream, time.Second)
		begin()
		Expect(admits(1900*time.Millisecond, 15*time.Second, stream)).To(BeTrue())
	})
})

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
		admits  func(after, deadline time.Duration, r drain.Request) bool
		samples *drain.Estimator
	)
	stream := drain.Request{Service: "llm", OutputTokens: tokens}
	plain := drain.Request{Service: "app"}
	BeforeEach(func() {
		now = time.Now()
		window = &drain.Window{}
		samples = drain.NewEstimator(func() time.Time { return now })
		admission := drain.Admission{Window: window, Estimator: samples}
		admits = func(after, deadline time.Duration, r drain.Request) bool {
			return admission.Decide(now.Add(after), now.Add(after+deadline), r).Admitted
		}
	})
	begin := func() { window.Begin(now, now.Add(2*time.Second), now.Add(8*time.Second)) }

	// Guards against refusals while nothing shuts down.
	It("admits all requests before the shutdown", func() {
		Expect(admits(0, time.Hour, stream)).To(BeTrue())
	})

	// Guards against requests that are taken though the process ends before they do.
	It("refuses what is expected to outlast the process, by its size", func() {
		for range 100 {
			samples.Record(drain.Request{Service: "llm", OutputTokens: tokens / 4}, time.Second)
			samples.Record(stream, 4200*time.Millisecond)
		}
		begin()
		Expect(admits(2500*time.Millisecond, 15*time.Second, stream)).To(BeTrue())
		Expect(admits(4*time.Second, 15*time.Second, stream)).To(BeFalse())
		Expect(admits(5*time.Second, 15*time.Second, drain.Request{Service: "llm", OutputTokens: tokens / 4})).To(BeTrue())
	})

	// Guards against refusals of what is mostly served, and against cuts once few requests
	// come.
	It("goes by the slowest of the recent requests once the balancer has noticed", func() {
		for range 95 {
			samples.Record(plain, 50*time.Millisecond)
		}
		for range 5 {
			samples.Record(plain, 7*time.Second)
		}
		begin()
		Expect(admits(1900*time.Millisecond, 15*time.Second, plain)).To(BeTrue())
		Expect(admits(2*time.Second, 15*time.Second, plain)).To(BeFalse())
	})

	// Guards against guesses for requests like which none was served.
	It("goes by the deadline where nothing is known, once the balancer has noticed", func() {
		begin()
		Expect(admits(0, 15*time.Second, stream)).To(BeTrue())
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
		Expect(admits(4*time.Second, 15*time.Second, stream)).To(BeTrue())
	})
})

package drain_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/drain"
)

var _ = Describe("The estimate of a request's duration", func() {
	var (
		now     time.Time
		samples *drain.Estimator
	)
	BeforeEach(func() {
		now = time.Now()
		samples = drain.NewEstimator(func() time.Time { return now })
	})

	// Guards against an overflow that makes a request with an absurd number of declared
	// tokens seem short.
	It("does not overflow for a large number of tokens", func() {
		samples.Record(drain.Request{Service: "llm", OutputTokens: 100}, time.Second)
		for _, tokens := range []int{1 << 40, 1 << 50, math.MaxInt} {
			expected, known := samples.Estimate(drain.Request{Service: "llm", OutputTokens: tokens}, 99)
			Expect(known).To(BeTrue())
			Expect(expected).To(BeNumerically(">", time.Minute), "%d tokens", tokens)
		}
	})

	// Guards against an estimate for long streams that rests on the fixed part of short
	// requests.
	It("does not multiply the fixed part of short requests by the tokens of long ones", func() {
		for range 90 {
			samples.Record(drain.Request{Service: "m", OutputTokens: 400}, 4*time.Second)
		}
		for range 10 {
			samples.Record(drain.Request{Service: "m", OutputTokens: 1}, 300*time.Millisecond)
		}
		expected, _ := samples.Estimate(drain.Request{Service: "m", OutputTokens: 400}, 99)
		Expect(expected).To(BeNumerically("<", 10*time.Second))
	})

	// Guards against an estimate for long streams that rests on the pauses of short ones: a
	// pause of an engine weighs the more per token the fewer tokens were declared.
	It("does not multiply one pause in short streams by the tokens of long ones", func() {
		for range 85 {
			samples.Record(drain.Request{Service: "llm", OutputTokens: 300}, 2100*time.Millisecond)
		}
		for range 15 {
			samples.Record(drain.Request{Service: "llm", OutputTokens: 8}, 350*time.Millisecond)
		}
		expected, _ := samples.Estimate(drain.Request{Service: "llm", OutputTokens: 300}, 90)
		Expect(expected).To(BeNumerically("<", 5*time.Second))
	})

	// Guards against an estimate for long streams that rests on a majority of short ones.
	It("does not take long streams for short because most are", func() {
		for range 92 {
			samples.Record(drain.Request{Service: "llm", OutputTokens: 20}, 300*time.Millisecond)
		}
		for range 8 {
			samples.Record(drain.Request{Service: "llm", OutputTokens: 300}, 5*time.Second)
		}
		expected, _ := samples.Estimate(drain.Request{Service: "llm", OutputTokens: 300}, 90)
		Expect(expected).To(BeNumerically(">", 4*time.Second))
	})
})

package exchange

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

// asking is a part that asks for a model.
type asking struct{}

func (asking) Contribute(report *fleetv1.Report) {
	report.Demand = append(report.Demand, &fleetv1.Demand{Model: "m", TokensPerSecond: 1})
}
func (asking) Hear(*fleetv1.Report, bool) {}
func (asking) Reach(Reach)                {}

var _ = Describe("Reports to a host that doesn't place models", func() {
	It("say that they leave demand out", func() {
		s := New(Config{Host: "h1"})
		s.AddPart(asking{})
		Expect(s.report().GetWithoutDemand()).To(BeFalse())
		answer, err := s.Exchange(context.Background(), &fleetv1.Report{Host: "h2", Address: "127.0.0.1:1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetDemand()).To(BeEmpty())
		Expect(answer.GetWithoutDemand()).To(BeTrue())
		Expect(s.answerNow(time.Now())).To(BeIdenticalTo(answer), "one answer serves several peers")
		Expect(s.answerNow(time.Now().Add(answerLife))).NotTo(BeIdenticalTo(answer))
		told := s.report()
		leaveDemandOut(told)
		Expect(told.GetDemand()).To(BeEmpty())
		Expect(told.GetWithoutDemand()).To(BeTrue())
	})
})

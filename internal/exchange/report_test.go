package exchange

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

// demandParticipant reports demand for one model.
type demandParticipant struct{}

func (demandParticipant) FillReport(report *fleetv1.Report) {
	report.Demand = append(report.Demand, &fleetv1.Demand{Model: "m", TokensPerSecond: 1})
}
func (demandParticipant) HandleReport(*fleetv1.Report, bool) {}
func (demandParticipant) SetReachability(Reachability)       {}

var _ = Describe("Reports to a host that does not hold the placement lease", func() {
	It("omit demand and are marked as such", func() {
		s := New(Config{Host: "h1"})
		s.AddParticipant(demandParticipant{})
		Expect(s.report().GetWithoutDemand()).To(BeFalse())
		response, err := s.Exchange(context.Background(), &fleetv1.Report{Host: "h2", Address: "127.0.0.1:1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetDemand()).To(BeEmpty())
		Expect(response.GetWithoutDemand()).To(BeTrue())
		Expect(s.currentResponse(time.Now())).To(BeIdenticalTo(response), "one response is reused for several peers")
		Expect(s.currentResponse(time.Now().Add(responseCacheTTL))).NotTo(BeIdenticalTo(response))
		sent := s.report()
		omitDemand(sent)
		Expect(sent.GetDemand()).To(BeEmpty())
		Expect(sent.GetWithoutDemand()).To(BeTrue())
	})
})

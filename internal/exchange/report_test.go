package exchange

import (
	"context"
	"fmt"
	"sync"
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

// Requests arrive at a restarted host before its peers' first reports do.
var _ = Describe("A placement request", func() {
	lease := &fleetv1.Report{Host: "h2", Address: "127.0.0.1:1", Lease: &fleetv1.Lease{Holder: "h2", LeftMillis: 3000}}
	It("waits for the lease holder's first report only while the process has recently started", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s := New(Config{Host: "h1"})
		go func() {
			time.Sleep(100 * time.Millisecond)
			_, _ = s.Exchange(ctx, lease)
		}()
		_, err := s.RequestPlacement(ctx, &fleetv1.PlaceRequest{})
		Expect(err).To(MatchError(ContainSubstring("connection refused")), "sent to the holder, where nothing listens")

		s = New(Config{Host: "h1"})
		s.started = time.Now().Add(-joinPeriod)
		from := time.Now()
		_, err = s.RequestPlacement(ctx, &fleetv1.PlaceRequest{})
		Expect(err).To(MatchError(ContainSubstring("no holder of the placement lease is in reach")))
		Expect(time.Since(from)).To(BeNumerically("<", leaderPollInterval))
	})
})

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

var _ = Describe("Reports of one peer that arrive at the same time", func() {
	// Guards against reads of a peer's name and address without the lock, which the race
	// detector finds.
	It("are recorded while placements are requested of it", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // the calls to the peer fail at once
		s := New(Config{Host: "h1"})
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				defer GinkgoRecover()
				for range 50 {
					report := &fleetv1.Report{Host: "h2", Address: fmt.Sprint("127.0.0.1:", 1+i), Lease: &fleetv1.Lease{Holder: "h2", LeftMillis: 3000}}
					_, err := s.Exchange(ctx, report)
					Expect(err).NotTo(HaveOccurred())
					_, err = s.RequestPlacement(ctx, &fleetv1.PlaceRequest{})
					Expect(err).To(HaveOccurred())
				}
			})
		}
		group.Wait()
		Expect(s.ReachablePeers()).To(HaveLen(1))
	})
})

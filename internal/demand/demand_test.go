package demand_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/demand"
)

func TestDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demand")
}

func message(host, zone string, rate float64) *peerv1.GossipRequest {
	return &peerv1.GossipRequest{
		Self:   &peerv1.HostDigest{Host: host, Zone: zone},
		Demand: []*peerv1.Demand{{Model: "m", TokensPerSecond: rate}},
	}
}

var _ = Describe("Tracker", func() {
	It("sums the latest report of each host of the zone and drops expired ones", func() {
		now := time.Unix(1000, 0)
		tracker := demand.New(demand.Config{
			Zone:  "a",
			Local: func() []*peerv1.Demand { return []*peerv1.Demand{{Model: "m", TokensPerSecond: 1}} },
			Now:   func() time.Time { return now },
		})
		response := &peerv1.GossipResponse{}
		tracker.HandleRequest(message("h2", "a", 5), response)
		tracker.HandleRequest(message("h2", "a", 2), response)
		tracker.HandleRequest(message("h3", "b", 100), response)
		Expect(response.Demand).To(HaveLen(1))
		Expect(tracker.ByModel()["m"].TokensPerSecond).To(Equal(3.0))
		now = now.Add(time.Minute)
		Expect(tracker.ByModel()["m"].TokensPerSecond).To(Equal(1.0))
	})
})

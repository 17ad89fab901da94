package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var _ = Describe("Table", func() {
	start := time.Unix(1000, 0)
	digest := func(incarnation string, heartbeat uint64, leaving bool) *peerv1.HostDigest {
		return &peerv1.HostDigest{Host: "b", Incarnation: incarnation, PeerUrl: "http://b", Heartbeat: heartbeat, Leaving: leaving}
	}
	var table *Table
	BeforeEach(func() {
		table = NewTable(TableConfig{Self: Host{Name: "a", Incarnation: "a1", PeerURL: "http://a"}, Seeds: []string{"http://b", "http://a"}})
	})

	It("considers a host dead once its heartbeat stops advancing, however often its digest arrives", func() {
		for second := range 6 {
			table.Merge(start.Add(time.Duration(second)*time.Second), digest("b1", 7, false))
		}
		Expect(table.Hosts(start.Add(5 * time.Second))).To(ConsistOf(HaveField("Alive", true)))
		Expect(table.Hosts(start.Add(6 * time.Second))).To(ConsistOf(HaveField("Alive", false)))
		Expect(table.Digests(start.Add(6*time.Second), rand.New(rand.NewPCG(1, 1)))).To(BeEmpty())
	})

	It("keeps an incarnation draining, and clears the state with the next incarnation", func() {
		table.Merge(start, digest("b1", 1, true))
		table.Merge(start, digest("b1", 2, false))
		Expect(table.Hosts(start)).To(ConsistOf(HaveField("Leaving", true)))
		table.Merge(start.Add(time.Second), digest("b2", 1, false))
		Expect(table.Hosts(start.Add(time.Second))).To(ConsistOf(And(HaveField("Leaving", false), HaveField("Incarnation", "b2"))))
		table.Merge(start.Add(2*time.Second), digest("b1", 3, false))
		Expect(table.Hosts(start.Add(2 * time.Second))).To(ConsistOf(HaveField("Incarnation", "b2")))
	})

	It("contacts unreached candidates, never itself", func() {
		Expect(table.Targets(start, 3, rand.New(rand.NewPCG(1, 1)))).To(Equal([]string{"http://b"}))
	})

	It("sees the heartbeat of every live host within the failure timeout at 370 hosts", func() {
		const hosts = 370
		random := rand.New(rand.NewPCG(1, 2))
		tables := make([]*Table, hosts)
		byURL := make(map[string]*Table)
		for i := range tables {
			url := fmt.Sprintf("http://%d", i)
			tables[i] = NewTable(TableConfig{Self: Host{Name: fmt.Sprint(i), Incarnation: "1", PeerURL: url}, Seeds: []string{"http://0", "http://1"}})
			byURL[url] = tables[i]
		}
		now := start
		missing := 0
		for second := range 36 {
			now = now.Add(time.Second)
			for _, from := range tables {
				from.AdvanceHeartbeat(now)
				for _, url := range from.Targets(now, 3, random) {
					exchange(now, random, from, byURL[url])
				}
			}
			if second >= 24 {
				for _, t := range tables {
					for _, h := range t.Hosts(now) {
						if !h.Alive {
							missing++
						}
					}
				}
			}
		}
		Expect(missing).To(BeZero())
		Expect(tables[5].Hosts(now)).To(HaveLen(hosts - 1))
	})
})

func exchange(now time.Time, random *rand.Rand, from, to *Table) {
	request := append(from.Digests(now, random), from.SelfDigest())
	response := append(to.Digests(now, random), to.SelfDigest())
	for _, d := range request {
		to.Merge(now, d)
	}
	for _, d := range response {
		from.Merge(now, d)
	}
}

package process_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// configurationBound is the time in which an accepted configuration has to be
// in force on every host.
const configurationBound = 8 * time.Second

var _ = Describe("An accepted configuration is in force everywhere and never reverts", Ordered, func() {
	var (
		c       *cluster.Cluster
		history *revisions
	)

	BeforeAll(func() {
		c = cluster.Start(programs, cluster.Options{Zones: 3, EnginesPerZone: 1})
		history = watchRevisions(c.Hosts)
		DeferCleanup(history.stop)
	})

	AfterEach(func() {
		c.Platform.Control(cluster.Change{"down": false, "staleWatches": false})
		Expect(history.fallen()).To(BeEmpty())
	})

	policy := func(rate float64) *apiv1.Object {
		return &apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{
			Name: cluster.OrganisationA, Organisation: cluster.OrganisationA, TokensPerSecond: rate, BurstTokens: rate,
		}}}
	}
	current := func() int64 {
		GinkgoHelper()
		ctx, admin := c.Hosts[0].Admin()
		got, err := admin.Get(ctx, &apiv1.GetRequest{Kind: apiv1.Kind_KIND_RATE_POLICY, Name: cluster.OrganisationA})
		Expect(err).NotTo(HaveOccurred())
		return got.Object.Version
	}
	apply := func(host *cluster.Host, rate float64, version int64) (int64, error) {
		ctx, admin := host.Admin()
		applied, err := admin.Apply(ctx, &apiv1.ApplyRequest{WaitMillis: 1, Mutations: []*apiv1.Mutation{{
			Kind: apiv1.Kind_KIND_RATE_POLICY, Name: cluster.OrganisationA, ExpectedVersion: version, Object: policy(rate),
		}}})
		return applied.GetRevision(), err
	}
	expectInForce := func(revision int64, since time.Time) {
		GinkgoHelper()
		for _, host := range c.Hosts {
			Eventually(host.Revision, time.Until(since.Add(configurationBound)), "50ms").Should(BeNumerically(">=", revision))
		}
	}

	It("when it is accepted by any host", func() {
		for i, host := range c.Hosts {
			version := current()
			revision, err := apply(host, 1000+float64(i), version)
			Expect(err).NotTo(HaveOccurred())
			expectInForce(revision, time.Now())
		}
	})

	It("when operators race: one wins, the others get a conflict", func() {
		for range 5 {
			version := current()
			errs := onAll(c.Hosts, func(h *cluster.Host) error {
				_, err := apply(h, float64(1000+version), version)
				return err
			})
			won := 0
			for _, err := range errs {
				if err == nil {
					won++
					continue
				}
				Expect(err).To(HaveField("Code()", twirp.Aborted))
			}
			Expect(won).To(Equal(1))
			Eventually(current, configurationBound).Should(BeNumerically(">", version))
		}
	})

	It("when the platform's watches are stale", func() {
		version := current()
		c.Platform.Control(cluster.Change{"staleWatches": true})
		revision, err := apply(c.Hosts[1], 2000, version)
		Expect(err).NotTo(HaveOccurred())
		expectInForce(revision, time.Now())
	})

	It("when the platform goes down just after the acceptance", func() {
		version := current()
		revision, err := apply(c.Hosts[2], 3000, version)
		c.Platform.Control(cluster.Change{"down": true})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(revision, time.Now())
	})

	It("on a host that starts while the platform is down and learns from peers", func() {
		revision, err := c.Hosts[0].Revision()
		Expect(err).NotTo(HaveOccurred())
		caller := cluster.NewCaller(c.GrantKey(c.Hosts[0], "outage", cluster.OrganisationA))
		c.Platform.Control(cluster.Change{"down": true})
		host := c.StartHost("started-in-outage", c.Hosts[0].Zone)
		Eventually(host.Revision, configurationBound, "50ms").Should(BeNumerically(">", revision))
		caller.ExpectServes(host)
	})
})

// revisions keeps the revisions that each host had in force over time.
type revisions struct {
	mu    sync.Mutex
	falls []string
	stop  func()
}

// watchRevisions polls the hosts until stop.
func watchRevisions(hosts []*cluster.Host) *revisions {
	ctx, cancel := context.WithCancel(context.Background())
	r := &revisions{}
	var polls sync.WaitGroup
	for _, host := range hosts {
		polls.Go(func() { r.poll(ctx, host) })
	}
	r.stop = func() {
		cancel()
		polls.Wait()
	}
	return r
}

func (r *revisions) poll(ctx context.Context, host *cluster.Host) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	highest := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		revision, err := host.Revision()
		if err != nil {
			continue
		}
		if revision < highest {
			r.mu.Lock()
			r.falls = append(r.falls, host.Name)
			r.mu.Unlock()
		}
		highest = max(highest, revision)
	}
}

// fallen names the hosts whose revision fell.
func (r *revisions) fallen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls
}

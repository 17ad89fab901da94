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

// propagationLimit is the time within which an accepted change has to be in force
// on every host.
const propagationLimit = 8 * time.Second

var _ = Describe("An accepted configuration is in force everywhere and never reverts", Ordered, func() {
	var (
		c       *cluster.Cluster
		monitor *revisionMonitor
	)

	BeforeAll(func() {
		c = cluster.Start(programs, cluster.Options{Zones: 3, EnginesPerZone: 1})
		monitor = monitorRevisions(c.Hosts)
		DeferCleanup(monitor.stop)
	})

	AfterEach(func() {
		c.Platform.Control(cluster.Change{"down": false, "staleWatches": false})
		Expect(monitor.regressions()).To(BeEmpty())
	})

	policy := func(rate float64) *apiv1.Object {
		return &apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{
			Name: cluster.OrganisationA, Organisation: cluster.OrganisationA, TokensPerSecond: rate, BurstTokens: rate,
		}}}
	}
	currentVersion := func() int64 {
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
			Eventually(host.Revision, time.Until(since.Add(propagationLimit)), "50ms").Should(BeNumerically(">=", revision))
		}
	}

	It("when it is accepted by any host", func() {
		for i, host := range c.Hosts {
			version := currentVersion()
			revision, err := apply(host, 1000+float64(i), version)
			Expect(err).NotTo(HaveOccurred())
			expectInForce(revision, time.Now())
		}
	})

	It("when operators write concurrently: one succeeds, the others get a conflict", func() {
		for range 5 {
			version := currentVersion()
			errs := onAll(c.Hosts, func(h *cluster.Host) error {
				_, err := apply(h, float64(1000+version), version)
				return err
			})
			accepted := 0
			for _, err := range errs {
				if err == nil {
					accepted++
					continue
				}
				Expect(err).To(HaveField("Code()", twirp.Aborted))
			}
			Expect(accepted).To(Equal(1))
			Eventually(currentVersion, propagationLimit).Should(BeNumerically(">", version))
		}
	})

	It("when the platform's watches are stale", func() {
		version := currentVersion()
		c.Platform.Control(cluster.Change{"staleWatches": true})
		revision, err := apply(c.Hosts[1], 2000, version)
		Expect(err).NotTo(HaveOccurred())
		expectInForce(revision, time.Now())
	})

	It("when the platform goes down just after it accepted the change", func() {
		version := currentVersion()
		revision, err := apply(c.Hosts[2], 3000, version)
		c.Platform.Control(cluster.Change{"down": true})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(revision, time.Now())
	})

	It("on a host that starts while the platform is down and synchronises from peers", func() {
		revision, err := c.Hosts[0].Revision()
		Expect(err).NotTo(HaveOccurred())
		caller := cluster.NewCaller(c.GrantKey(c.Hosts[0], "outage", cluster.OrganisationA))
		c.Platform.Control(cluster.Change{"down": true})
		host := c.StartHost("started-in-outage", c.Hosts[0].Zone)
		Eventually(host.Revision, propagationLimit, "50ms").Should(BeNumerically(">", revision))
		caller.ExpectServes(host)
	})
})

// revisionMonitor polls the revision in force on each host and records each poll in
// which it was lower than before.
type revisionMonitor struct {
	mu        sync.Mutex
	regressed []string
	stop      func()
}

// monitorRevisions starts polling the hosts. The caller must call stop.
func monitorRevisions(hosts []*cluster.Host) *revisionMonitor {
	ctx, cancel := context.WithCancel(context.Background())
	r := &revisionMonitor{}
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

func (r *revisionMonitor) poll(ctx context.Context, host *cluster.Host) {
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
			r.regressed = append(r.regressed, host.Name)
			r.mu.Unlock()
		}
		highest = max(highest, revision)
	}
}

// regressions returns the host's name for each poll in which its revision was lower
// than before.
func (r *revisionMonitor) regressions() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.regressed
}

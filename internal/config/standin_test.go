package config

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/platformserver"
	"bilberryslip.example/bilberryslip/internal/standin/relay"
)

// inForceBound is the required time for a change to be in force on all hosts.
const inForceBound = 8 * time.Second

// testCluster is a platform stand-in and hosts that each reach it through a
// relay of their own.
type testCluster struct {
	ctx    context.Context
	srv    *platformserver.Server
	addr   string
	relays []*relay.Relay
	hosts  []*Log
	// regressions counts the times that a host's revision decreased.
	regressions atomic.Int32
}

func newTestCluster() *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s := &testCluster{ctx: ctx, srv: platformserver.New(ctx, platformserver.Options{})}
	server := httptest.NewServer(s.srv)
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	s.addr = server.Listener.Addr().String()
	return s
}

// start adds a host that fetches changes from peers, which may be nil.
func (s *testCluster) start(peers Peers) *Log {
	r, err := relay.New(s.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	client := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{r.URL()}, CallTimeout: time.Second})
	log := NewLog(LogConfig{Store: client, Peers: peers})
	s.relays, s.hosts = append(s.relays, r), append(s.hosts, log)
	go func() { _ = log.Serve(s.ctx) }()
	go s.follow(log)
	return log
}

// follow counts the regressions of a host's revision.
func (s *testCluster) follow(log *Log) {
	last := int64(0)
	for {
		changed := log.Changed()
		revision := log.Current().Revision()
		if revision < last {
			s.regressions.Add(1)
		}
		last = revision
		select {
		case <-changed:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *testCluster) apply(log *Log, name string) {
	GinkgoHelper()
	_, err := log.Apply(s.ctx, []*apiv1.Mutation{putOrganisation(name, 0, 1)}, name, "operator")
	Expect(err).NotTo(HaveOccurred())
}

// expectInForce fails unless every host has the revision in force in time.
func (s *testCluster) expectInForce(revision int64, within time.Duration) {
	GinkgoHelper()
	for _, log := range s.hosts {
		Eventually(func() int64 { return log.Current().Revision() }, within, "10ms").Should(Equal(revision))
	}
	Expect(s.regressions.Load()).To(BeZero())
}

var _ = Describe("Log with the platform stand-in", func() {
	var s *testCluster
	var a, b *Log

	BeforeEach(func() {
		s = newTestCluster()
		a = s.start(nil)
		b = s.start(a)
		s.apply(a, "first")
		s.expectInForce(1, inForceBound)
	})

	It("brings a change into force in time although one host's connections stall and watches are stale", func() {
		for _, name := range []string{"second", "third"} { // The same fault, twice.
			s.srv.Switches().Update(func(f *platformserver.Faults) { f.StaleWatches = true })
			s.relays[1].Blackhole()
			s.apply(a, name)
			s.expectInForce(a.Current().Revision(), withdrawalBound)
			s.srv.Switches().Update(func(f *platformserver.Faults) { f.StaleWatches = false })
		}
	})

	It("brings a change into force from a peer when the platform goes down right after the write", func() {
		s.srv.Switches().Update(func(f *platformserver.Faults) { f.StaleWatches = true })
		s.apply(a, "second")
		s.srv.Switches().Update(func(f *platformserver.Faults) { f.Down = true })
		late := s.start(b) // Starts during the outage, from a peer that is itself catching up.
		late.ObservePeerRevision(2)
		Eventually(late.Loaded, inForceBound).Should(BeTrue())
		Expect(late.Ready()).To(Equal(late.Current().Revision() == 2))
		b.ObservePeerRevision(2)
		s.expectInForce(2, inForceBound)
		_, err := a.Apply(s.ctx, []*apiv1.Mutation{putOrganisation("third", 0, 1)}, "third", "operator")
		Expect(err).To(HaveOccurred())
		s.srv.Switches().Update(func(f *platformserver.Faults) { f.Down, f.StaleWatches = false, false })
		Eventually(func() error {
			_, err := a.Apply(s.ctx, []*apiv1.Mutation{putOrganisation("third", 0, 1)}, "third", "operator")
			return err
		}, "10s").Should(Succeed())
		s.expectInForce(3, inForceBound)
	})

	It("accepts each of several racing changes once while responses are lost", func() {
		s.srv.Switches().Update(func(f *platformserver.Faults) { f.LoseAnswers = 5 })
		accepted := make(chan bool)
		for i, log := range s.hosts {
			go func() {
				defer GinkgoRecover()
				for _, name := range []string{"x", "y", "z"} {
					_, err := log.Apply(s.ctx, []*apiv1.Mutation{putOrganisation(name, 0, 1)}, fmt.Sprint(name, i), "operator")
					accepted <- err == nil
				}
			}()
		}
		count := 0
		for range 6 {
			if <-accepted {
				count++
			}
		}
		Expect(count).To(Equal(3))
		s.expectInForce(4, inForceBound)
	})
})

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

// inForceBound is the users' bound for a change to be in force everywhere.
const inForceBound = 8 * time.Second

// site is a platform stand-in and hosts that reach it over a relay each.
type site struct {
	ctx    context.Context
	srv    *platformserver.Server
	addr   string
	relays []*relay.Relay
	hosts  []*Log
	// backwards counts revisions lower than an earlier one on the same host.
	backwards atomic.Int32
}

func newSite() *site {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s := &site{ctx: ctx, srv: platformserver.New(ctx, platformserver.Options{})}
	web := httptest.NewServer(s.srv)
	DeferCleanup(func() { web.CloseClientConnections(); web.Close() })
	s.addr = web.Listener.Addr().String()
	return s
}

// start adds a host, which asks the peer given, if any.
func (s *site) start(peers Peers) *Log {
	link, err := relay.New(s.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(link.Close)
	client := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{link.URL()}, CallTimeout: time.Second})
	log := NewLog(LogConfig{Store: client, Peers: peers})
	s.relays, s.hosts = append(s.relays, link), append(s.hosts, log)
	go func() { _ = log.Serve(s.ctx) }()
	go s.follow(log)
	return log
}

func (s *site) follow(log *Log) {
	last := int64(0)
	for {
		changed := log.Changed()
		revision := log.Current().Revision()
		if revision < last {
			s.backwards.Add(1)
		}
		last = revision
		select {
		case <-changed:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *site) apply(log *Log, name string) {
	GinkgoHelper()
	_, err := log.Apply(s.ctx, []*apiv1.Mutation{putOrganisation(name, 0, 1)}, name, "operator")
	Expect(err).NotTo(HaveOccurred())
}

// expectInForce demands the revision on every host within the time.
func (s *site) expectInForce(revision int64, within time.Duration) {
	GinkgoHelper()
	for _, log := range s.hosts {
		Eventually(func() int64 { return log.Current().Revision() }, within, "10ms").Should(Equal(revision))
	}
	Expect(s.backwards.Load()).To(BeZero())
}

var _ = Describe("Log before the platform stand-in", func() {
	var s *site
	var a, b *Log

	BeforeEach(func() {
		s = newSite()
		a = s.start(nil)
		b = s.start(a)
		s.apply(a, "first")
		s.expectInForce(1, inForceBound)
	})

	It("has a change in force in time with one host's connections silent and watches stale", func() {
		for _, name := range []string{"second", "third"} { // The same fault, twice.
			s.srv.Switches().Update(func(f *platformserver.Faults) { f.StaleWatches = true })
			s.relays[1].Blackhole()
			s.apply(a, name)
			s.expectInForce(a.Current().Revision(), withdrawalBound)
			s.srv.Switches().Update(func(f *platformserver.Faults) { f.StaleWatches = false })
		}
	})

	It("has a change in force from a peer though the platform goes down just after it", func() {
		s.srv.Switches().Update(func(f *platformserver.Faults) { f.StaleWatches = true })
		s.apply(a, "second")
		s.srv.Switches().Update(func(f *platformserver.Faults) { f.Down = true })
		late := s.start(b) // Starts in the outage, and learns from one that learns.
		late.Hint(2)
		Eventually(late.Loaded, inForceBound).Should(BeTrue())
		Expect(late.Ready()).To(Equal(late.Current().Revision() == 2))
		b.Hint(2)
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

	It("lets operators race while answers are lost, each change once", func() {
		s.srv.Switches().Update(func(f *platformserver.Faults) { f.LoseAnswers = 5 })
		won := make(chan bool)
		for i, log := range s.hosts {
			go func() {
				defer GinkgoRecover()
				for _, name := range []string{"x", "y", "z"} {
					_, err := log.Apply(s.ctx, []*apiv1.Mutation{putOrganisation(name, 0, 1)}, fmt.Sprint(name, i), "operator")
					won <- err == nil
				}
			}()
		}
		wins := 0
		for range 6 {
			if <-won {
				wins++
			}
		}
		Expect(wins).To(Equal(3))
		s.expectInForce(4, inForceBound)
	})
})

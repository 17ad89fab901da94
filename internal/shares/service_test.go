package shares_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/membership"
	"bilberryslip.example/bilberryslip/internal/peer"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/shares"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func TestShares(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shares")
}

var _ suture.Service = (*shares.Service)(nil)

// host is one host: membership and shares behind a real peer server.
type host struct {
	members *membership.Service
	shares  *shares.Service
	stop    context.CancelFunc
}

// peerHandler serves the peer calls of a host whose services are created after
// the server has started.
type peerHandler struct{ host }

func (h *peerHandler) Gossip(ctx context.Context, r *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return h.members.Gossip(ctx, r)
}

func (h *peerHandler) BorrowTokens(ctx context.Context, r *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error) {
	return h.shares.BorrowTokens(ctx, r)
}

func (h *peerHandler) SettleTokens(ctx context.Context, r *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error) {
	return h.shares.SettleTokens(ctx, r)
}

func startHost(store *memstore.Store, source config.Source, name string, seeds ...string) *host {
	handler := &peerHandler{}
	server := httptest.NewServer(peer.NewServer("secret", peer.Handlers{Gossip: handler, Lender: handler}))
	pool := peer.NewPool(peer.PoolConfig{Secret: "secret"})
	self := membership.Host{Name: name, Incarnation: name + "-1", Zone: "z", PeerURL: server.URL}
	handler.members = membership.NewService(membership.ServiceConfig{
		Table: membership.NewTable(membership.TableConfig{Self: self, Seeds: seeds}), Peers: pool, Interval: 20 * time.Millisecond,
	})
	handler.shares = shares.New(shares.Config{
		Store: store, Members: handler.members, Peers: pool, Source: source,
		BorrowTimeout: time.Second, SyncInterval: 20 * time.Millisecond,
	})
	handler.members.Extend(handler.shares)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = handler.members.Serve(ctx); done <- struct{}{} }()
	go func() { _ = handler.shares.Serve(ctx); done <- struct{}{} }()
	handler.stop = func() { stop(); <-done; <-done }
	DeferCleanup(func() { handler.stop(); server.Close(); pool.Close() })
	return &handler.host
}

// policySource returns a configuration with one organisation and its rate
// policy.
func policySource(rate, burst float64) config.Source {
	organisation := &apiv1.Object{Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: "aqej"}}}
	limit := &apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{
		Name: "aqej", Organisation: "aqej", TokensPerSecond: rate, BurstTokens: burst,
	}}}
	return config.Static{Snapshot: config.NewSnapshot(1, []*apiv1.Object{organisation, limit})}
}

func units(h *host) int64 { return h.shares.DumpState().(shares.State).UsableUnits }

// excessTokens returns the host's metric of tokens used beyond reservations.
func excessTokens(h *host) float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(h.shares.Collectors()...)
	families, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if strings.HasSuffix(family.GetName(), "excess_tokens_total") {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	Fail("metric excess_tokens_total not found")
	return 0
}

var _ = Describe("Service", func() {
	ctx := context.Background()

	It("grants an organisation its rate on a single host and refuses with RetryAfter", func() {
		const rate, burst = 1000, 1000
		started := time.Now()
		single := startHost(memstore.New(), policySource(rate, burst), "a")
		Eventually(func() error { _, err := single.shares.Reserve(ctx, "aqej", 100); return err }).Should(Succeed())
		_, err := single.shares.Reserve(ctx, "aqej", 5000)
		Expect(err).To(MatchError(ContainSubstring("exceeds the burst")))
		_, err = single.shares.Reserve(ctx, "unknown", 1)
		Expect(err).To(MatchError(ContainSubstring("no rate policy")))
		// A reservation is granted if this process was stalled while the bucket
		// filled, so the refusal need not be the first answer.
		const maxReservations = 20
		granted := 100.0
		err = nil
		for i := 0; i < maxReservations && err == nil; i++ {
			if _, err = single.shares.Reserve(ctx, "aqej", 900); err == nil {
				granted += 900
			}
			Expect(granted).To(BeNumerically("<=", burst+rate*time.Since(started).Seconds()))
		}
		var refused *ratelimit.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%d reservations were granted", maxReservations)
		Expect(refused.Reason).To(Equal(ratelimit.ReasonRate))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})

	It("doesn't count a rounding remainder as use beyond the reservation", func() {
		single := startHost(memstore.New(), policySource(1000, 1000), "a")
		var reservation ratelimit.Reservation
		Eventually(func() (err error) { reservation, err = single.shares.Reserve(ctx, "aqej", 0.3); return err }).Should(Succeed())
		for _, part := range []float64{0.1, 0.2} {
			reservation.Consume(part)
		}
		Expect(excessTokens(single)).To(BeZero())
		reservation.Consume(0.1)
		Expect(excessTokens(single)).To(BeNumerically("~", 0.1, 0.01))
	})

	It("lets one of three hosts use most of a burst by borrowing, and returns the units of a host that leaves", func() {
		store := memstore.New()
		source := policySource(30000, 30000)
		a := startHost(store, source, "a")
		url := a.members.Self().PeerURL
		b := startHost(store, source, "b", url)
		c := startHost(store, source, "c", url)
		third := ratelimit.TotalUnits / 3
		Eventually(func() []int64 { return []int64{units(a), units(b), units(c)} }).WithTimeout(10 * time.Second).
			Should(HaveEach(BeNumerically("~", third, third/4)))
		Eventually(func() error { _, err := a.shares.Reserve(ctx, "aqej", 20000); return err }).WithTimeout(5 * time.Second).Should(Succeed())
		Expect(b.shares.Leave(ctx)).To(Succeed())
		Expect(units(b)).To(BeZero())
		var alive *shares.HostAliveError
		Expect(a.shares.ForgetHost(ctx, "c")).To(BeAssignableToTypeOf(alive))
		Expect(fmt.Sprint(b.shares.DumpState())).NotTo(BeEmpty())
	})
})

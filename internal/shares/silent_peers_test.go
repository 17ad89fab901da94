package shares_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/membership"
	"bilberryslip.example/bilberryslip/internal/shares"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// partitionedMembers lists one peer that lends and two that are cut off but not yet found
// dead.
type partitionedMembers struct{}

func (partitionedMembers) Self() membership.Host {
	return membership.Host{Name: "self", Incarnation: "self-1"}
}

func (partitionedMembers) Hosts() (hosts []membership.Host) {
	for _, name := range []string{"lender", "cut-1", "cut-2"} {
		hosts = append(hosts, membership.Host{Name: name, Incarnation: name, PeerURL: name, Alive: true})
	}
	return hosts
}

func (partitionedMembers) ListedHosts() ([]string, time.Time) { return nil, time.Time{} }

// partitionedPeers lends what is asked of the lender; requests to other peers end like cut.
type partitionedPeers struct {
	cut func(ctx context.Context) error
}

func (p partitionedPeers) BorrowTokens(ctx context.Context, url string, r *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error) {
	if url != "lender" {
		return nil, p.cut(ctx)
	}
	return &peerv1.BorrowTokensResponse{Tokens: r.GetTokens()}, nil
}

func (partitionedPeers) SettleTokens(context.Context, string, *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error) {
	return &peerv1.SettleTokensResponse{}, nil
}

var _ = Describe("A host without units of its own in a partition", func() {
	// Guards against a request that is refused while a peer in reach has its tokens, since
	// each attempt asks the peers that are cut off for a part of them.
	DescribeTable("borrows all of its tokens from the peer in reach", func(cut func(ctx context.Context) error) {
		service := shares.New(shares.Config{
			Store: memstore.New(), Members: partitionedMembers{}, Peers: partitionedPeers{cut}, Source: policySource(1e6, 1e6),
		})
		service.ApplyPolicies()
		reservation, err := service.Reserve(context.Background(), "aqej", 5)
		Expect(err).NotTo(HaveOccurred())
		reservation.Settle()
	},
		Entry("while the others are silent", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }),
		Entry("while the others refuse connections", func(context.Context) error { return errors.New("connection refused") }),
	)
})

package shares_test

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/membership"
	"bilberryslip.example/bilberryslip/internal/shares"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// FuzzPeerMessages sends arbitrary peer messages to a host, which must neither
// panic nor corrupt its accounts.
func FuzzPeerMessages(f *testing.F) {
	add := func(gossip, borrow, settle proto.Message) {
		var data [3][]byte
		for i, message := range []proto.Message{gossip, borrow, settle} {
			data[i], _ = proto.Marshal(message)
		}
		f.Add(data[0], data[1], data[2])
	}
	add(&peerv1.GossipResponse{
		Self:   &peerv1.HostDigest{Host: "b", Incarnation: "b1", Heartbeat: math.MaxUint64},
		Spare:  []*peerv1.Spare{{Organisation: "aqej", Tokens: math.Inf(1), Room: math.NaN()}},
		Ledger: &peerv1.LedgerView{Version: math.MaxInt64, AgeMillis: math.MaxInt64, PromiseMillis: math.MaxInt64},
	}, &peerv1.BorrowTokensRequest{TransferId: "1", Organisation: "aqej", Tokens: math.Inf(1), AdmitMillis: math.MaxInt64},
		&peerv1.SettleTokensRequest{Settlements: []*peerv1.TokenSettlement{{TransferId: "1", Unused: math.Inf(1), Used: math.Inf(-1)}}})
	add(&peerv1.GossipResponse{Ledger: &peerv1.LedgerView{Version: -1, AgeMillis: -1}},
		&peerv1.BorrowTokensRequest{Organisation: "aqej", Tokens: math.NaN(), AdmitMillis: -1},
		&peerv1.SettleTokensRequest{Settlements: []*peerv1.TokenSettlement{{Unused: math.NaN(), Final: true}}})
	f.Fuzz(func(t *testing.T, gossip, borrow, settle []byte) {
		ctx := context.Background()
		members := membership.NewService(membership.ServiceConfig{
			Table: membership.NewTable(membership.TableConfig{Self: membership.Host{Name: "a", Incarnation: "a1"}}),
		})
		now := time.Unix(1000, 0)
		service := shares.New(shares.Config{
			Store: memstore.New(), Members: members, Source: policySource(100, 1000), Now: func() time.Time { return now },
		})
		members.Extend(service)
		service.ApplyPolicies()
		if err := service.Sync(ctx); err != nil {
			t.Fatal(err)
		}
		now = now.Add(9 * time.Second)
		var response peerv1.GossipResponse
		if proto.Unmarshal(gossip, &response) == nil {
			_, _ = members.Gossip(ctx, &peerv1.GossipRequest{Self: response.GetSelf(), Hosts: response.GetHosts(), Spare: response.GetSpare()})
			service.HandleResponse(&response, now)
		}
		var request peerv1.BorrowTokensRequest
		if proto.Unmarshal(borrow, &request) == nil {
			lent, _ := service.BorrowTokens(ctx, &request)
			if tokens := lent.GetTokens(); !(tokens >= 0 && tokens <= 1000) {
				t.Fatalf("lent %v tokens", tokens)
			}
		}
		var reports peerv1.SettleTokensRequest
		if proto.Unmarshal(settle, &reports) == nil {
			_, _ = service.SettleTokens(ctx, &reports)
		}
		for _, o := range service.DumpState().(shares.State).Organisations {
			if !(o.Level >= 0 && o.Refundable >= -1e-6 && o.Level+o.Refundable <= o.Burst+1e-6) {
				t.Fatalf("corrupt account: %+v", o)
			}
		}
	})
}

// Package peer implements the protocol between hosts: a twirp server that
// dispatches calls to handlers of other packages, and a pool of clients with a
// time limit on each call.
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/twitchtv/twirp"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// SecretHeader carries the secret that all hosts share.
const SecretHeader = "X-Peer-Secret"

// maxRequestBytes limits the body of a peer's request.
const maxRequestBytes = 1 << 20

// Gossiper handles gossip messages.
type Gossiper interface {
	Gossip(ctx context.Context, request *peerv1.GossipRequest) (*peerv1.GossipResponse, error)
}

// Lender lends tokens of this host's share to peers.
type Lender interface {
	BorrowTokens(ctx context.Context, request *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error)
	SettleTokens(ctx context.Context, request *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error)
}

// ChangeSource returns configuration changes.
type ChangeSource interface {
	Changes(ctx context.Context, request *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error)
}

// DecisionSource queries the decisions that this host recorded.
type DecisionSource interface {
	Decisions(ctx context.Context, request *apiv1.DecisionsRequest) (*apiv1.DecisionsResponse, error)
}

// StateSource returns this host's state dump.
type StateSource interface {
	State(ctx context.Context, request *apiv1.StateRequest) (*apiv1.StateResponse, error)
}

// Drainer makes this host drain.
type Drainer interface {
	Drain(ctx context.Context, request *peerv1.DrainRequest) (*peerv1.DrainResponse, error)
}

// Handlers holds the handlers of peers' calls. A call whose handler is nil gets
// the error Unimplemented.
type Handlers struct {
	Gossip    Gossiper
	Lender    Lender
	Changes   ChangeSource
	Decisions DecisionSource
	State     StateSource
	Drainer   Drainer
}

// NewServer returns the HTTP handler of the peer service. It rejects calls that
// don't carry the secret. It must be mounted at PathPrefix.
func NewServer(secret string, handlers Handlers) http.Handler {
	next := peerv1.NewPeerServer(&server{handlers})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get(SecretHeader))
		if subtle.ConstantTimeCompare(given, []byte(secret)) != 1 {
			refusal := twirp.NewError(twirp.Unauthenticated, "peer secret missing or wrong; set the same peer secret on all hosts")
			_ = twirp.WriteError(w, refusal)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

// PathPrefix is the path below which the peer service is mounted.
const PathPrefix = peerv1.PeerPathPrefix

type server struct{ handlers Handlers }

var _ peerv1.Peer = (*server)(nil)

func unimplemented(call string) error {
	return twirp.NewError(twirp.Unimplemented, call+" is not served by this host; run the same version on all hosts")
}

// Gossip implements peerv1.Peer.
func (s *server) Gossip(ctx context.Context, r *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	if s.handlers.Gossip == nil {
		return nil, unimplemented("Gossip")
	}
	return s.handlers.Gossip.Gossip(ctx, r)
}

// BorrowTokens implements peerv1.Peer.
func (s *server) BorrowTokens(ctx context.Context, r *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error) {
	if s.handlers.Lender == nil {
		return nil, unimplemented("BorrowTokens")
	}
	return s.handlers.Lender.BorrowTokens(ctx, r)
}

// SettleTokens implements peerv1.Peer.
func (s *server) SettleTokens(ctx context.Context, r *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error) {
	if s.handlers.Lender == nil {
		return nil, unimplemented("SettleTokens")
	}
	return s.handlers.Lender.SettleTokens(ctx, r)
}

// Changes implements peerv1.Peer.
func (s *server) Changes(ctx context.Context, r *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error) {
	if s.handlers.Changes == nil {
		return nil, unimplemented("Changes")
	}
	return s.handlers.Changes.Changes(ctx, r)
}

// Decisions implements peerv1.Peer.
func (s *server) Decisions(ctx context.Context, r *apiv1.DecisionsRequest) (*apiv1.DecisionsResponse, error) {
	if s.handlers.Decisions == nil {
		return nil, unimplemented("Decisions")
	}
	return s.handlers.Decisions.Decisions(ctx, r)
}

// State implements peerv1.Peer.
func (s *server) State(ctx context.Context, r *apiv1.StateRequest) (*apiv1.StateResponse, error) {
	if s.handlers.State == nil {
		return nil, unimplemented("State")
	}
	return s.handlers.State.State(ctx, r)
}

// Drain implements peerv1.Peer.
func (s *server) Drain(ctx context.Context, r *peerv1.DrainRequest) (*peerv1.DrainResponse, error) {
	if s.handlers.Drainer == nil {
		return nil, unimplemented("Drain")
	}
	return s.handlers.Drainer.Drain(ctx, r)
}

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/netmeter"
)

const (
	// maxClients is the number of peers to which connections are kept.
	maxClients = 64
	// defaultCallTimeout limits a call, dialling included.
	defaultCallTimeout = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	dialTimeout        = time.Second
	maxIdlePerPeer     = 4
)

// PoolConfig sets up a Pool.
type PoolConfig struct {
	// Secret is the secret that all hosts share.
	Secret string
	// CallTimeout limits each call that has no shorter limit. Zero means 2 s.
	CallTimeout time.Duration
	// TLS is the client's TLS configuration. Nil means the default.
	TLS *tls.Config
}

// Pool calls peers. A call that misses its time limit closes its connection
// and the idle ones to the same peer, so that the next call dials anew. It is
// safe for concurrent use.
type Pool struct {
	config  PoolConfig
	mu      sync.Mutex
	clients *lru.Cache[string, *client]
}

type client struct {
	transport *http.Transport
	peer      peerv1.Peer
}

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	if config.CallTimeout == 0 {
		config.CallTimeout = defaultCallTimeout
	}
	clients, err := lru.NewWithEvict(maxClients, func(_ string, c *client) { c.transport.CloseIdleConnections() })
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Pool{config: config, clients: clients}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.clients.Purge() }

// Gossip exchanges gossip with a peer.
func (p *Pool) Gossip(ctx context.Context, baseURL string, r *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.GossipResponse, error) { return c.Gossip(ctx, r) })
}

// BorrowTokens asks a peer for tokens.
func (p *Pool) BorrowTokens(ctx context.Context, baseURL string, r *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.BorrowTokensResponse, error) {
		return c.BorrowTokens(ctx, r)
	})
}

// SettleTokens reports to a peer on tokens that it lent.
func (p *Pool) SettleTokens(ctx context.Context, baseURL string, r *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.SettleTokensResponse, error) {
		return c.SettleTokens(ctx, r)
	})
}

// Changes asks a peer for configuration changes.
func (p *Pool) Changes(ctx context.Context, baseURL string, r *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.ChangesResponse, error) { return c.Changes(ctx, r) })
}

// Decisions queries a peer's own decisions.
func (p *Pool) Decisions(ctx context.Context, baseURL string, r *apiv1.DecisionsRequest) (*apiv1.DecisionsResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*apiv1.DecisionsResponse, error) {
		return c.Decisions(ctx, r)
	})
}

// State dumps a peer's state.
func (p *Pool) State(ctx context.Context, baseURL string, r *apiv1.StateRequest) (*apiv1.StateResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*apiv1.StateResponse, error) { return c.State(ctx, r) })
}

// Drain makes a peer leave.
func (p *Pool) Drain(ctx context.Context, baseURL string, r *peerv1.DrainRequest) (*peerv1.DrainResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.DrainResponse, error) { return c.Drain(ctx, r) })
}

func call[R any](ctx context.Context, p *Pool, baseURL string, do func(context.Context, peerv1.Peer) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	c := p.client(baseURL)
	response, err := do(ctx, c.peer)
	if err != nil {
		c.transport.CloseIdleConnections()
	}
	return response, errors.Wrapf(err, "call to peer %s", baseURL)
}

func (p *Pool) client(baseURL string) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients.Get(baseURL); ok {
		return c
	}
	transport := &http.Transport{
		DialContext:         netmeter.Dial(netmeter.Peers, (&net.Dialer{Timeout: dialTimeout}).DialContext),
		TLSClientConfig:     p.config.TLS,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	signed := &http.Client{Transport: &secretTransport{secret: p.config.Secret, next: transport}}
	c := &client{transport: transport, peer: peerv1.NewPeerProtobufClient(baseURL, signed)}
	p.clients.Add(baseURL, c)
	return c
}

// secretTransport adds the peer secret to each request.
type secretTransport struct {
	secret string
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *secretTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(SecretHeader, t.secret)
	return t.next.RoundTrip(r)
}

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
	"bilberryslip.example/bilberryslip/internal/boundedhttp"
	"bilberryslip.example/bilberryslip/internal/netmeter"
	"bilberryslip.example/bilberryslip/internal/responsehead"
	"bilberryslip.example/bilberryslip/internal/socket"
)

const (
	// maxClients is the number of peers for which connections are kept open.
	maxClients = 64
	// defaultCallTimeout is the time limit of a call, including dialling.
	defaultCallTimeout = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	dialTimeout        = time.Second
	maxIdlePerPeer     = 4
	// maxResponseBytes bounds a peer's response. The largest ones are state dumps.
	maxResponseBytes = 16 << 20
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Secret is the secret that all hosts share.
	Secret string
	// CallTimeout limits each call whose context has no earlier deadline. Zero
	// means 2 s.
	CallTimeout time.Duration
	// TLS is the client's TLS configuration. Nil means the default.
	TLS *tls.Config
}

// Pool is a client for the peer services of other hosts. It keeps connections
// open per peer. A call that times out closes its connection and the idle ones to
// the same peer, so that the next call dials a new one. It is safe for concurrent
// use.
type Pool struct {
	config  PoolConfig
	mu      sync.Mutex
	clients *lru.Cache[string, *client]
}

type client struct {
	transport *responsehead.Transport
	peer      peerv1.Peer
}

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	if config.CallTimeout == 0 {
		config.CallTimeout = defaultCallTimeout
	}
	clients, err := lru.NewWithEvict(maxClients, func(_ string, c *client) { c.transport.CloseIdleConnections() })
	if err != nil {
		panic(err) // lru.NewWithEvict fails only for a size below one
	}
	return &Pool{config: config, clients: clients}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.clients.Purge() }

// Gossip sends a gossip message to a peer and returns the peer's.
func (p *Pool) Gossip(ctx context.Context, baseURL string, r *peerv1.GossipRequest) (*peerv1.GossipResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.GossipResponse, error) { return c.Gossip(ctx, r) })
}

// BorrowTokens requests tokens from a peer.
func (p *Pool) BorrowTokens(ctx context.Context, baseURL string, r *peerv1.BorrowTokensRequest) (*peerv1.BorrowTokensResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.BorrowTokensResponse, error) {
		return c.BorrowTokens(ctx, r)
	})
}

// SettleTokens reports to a peer the usage of tokens that it lent.
func (p *Pool) SettleTokens(ctx context.Context, baseURL string, r *peerv1.SettleTokensRequest) (*peerv1.SettleTokensResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.SettleTokensResponse, error) {
		return c.SettleTokens(ctx, r)
	})
}

// Changes requests configuration changes from a peer.
func (p *Pool) Changes(ctx context.Context, baseURL string, r *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*peerv1.ChangesResponse, error) { return c.Changes(ctx, r) })
}

// Decisions queries the decisions that a peer itself recorded.
func (p *Pool) Decisions(ctx context.Context, baseURL string, r *apiv1.DecisionsRequest) (*apiv1.DecisionsResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*apiv1.DecisionsResponse, error) {
		return c.Decisions(ctx, r)
	})
}

// State returns a peer's state dump.
func (p *Pool) State(ctx context.Context, baseURL string, r *apiv1.StateRequest) (*apiv1.StateResponse, error) {
	return call(ctx, p, baseURL, func(ctx context.Context, c peerv1.Peer) (*apiv1.StateResponse, error) { return c.State(ctx, r) })
}

// Drain makes a peer drain.
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
	transport := responsehead.NewTransport(&http.Transport{
		DialContext:            netmeter.Dial(netmeter.Peers, socket.DialRequests((&net.Dialer{Timeout: dialTimeout}).DialContext)),
		TLSClientConfig:        p.config.TLS,
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
	})
	bounded := &boundedhttp.Transport{Base: transport, Limit: maxResponseBytes}
	authenticated := &http.Client{Transport: &secretTransport{secret: p.config.Secret, next: bounded}}
	c := &client{transport: transport, peer: peerv1.NewPeerProtobufClient(baseURL, authenticated)}
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

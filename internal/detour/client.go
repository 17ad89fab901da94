package detour

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/responsehead"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

const (
	// maxPeersAsked limits the peers asked for one connection. In a large fleet, reports
	// of peers that are cut off too arrive seconds late.
	maxPeersAsked = 4
	// avoidFor is how long a peer that refused is not asked for the service again.
	avoidFor = time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Host and Zone are this host's name and zone.
	Host, Zone string
	// Peers returns the peers that are reachable and relay connections.
	Peers func() []Peer
	// Clock defaults to time.Now.
	Clock func() time.Time
}

// Client connects to endpoints by way of peers. It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mu sync.Mutex
	// outstanding counts the connections by peer.
	outstanding map[string]int
	// avoidUntil is until when a peer is not asked for a service.
	avoidUntil map[avoidKey]time.Time
}

type avoidKey struct{ peer, service string }

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Client{config: cfg, outstanding: make(map[string]int), avoidUntil: make(map[avoidKey]time.Time)}
}

// Available reports whether there is a peer to ask for connections to a service.
func (c *Client) Available(service string) bool { return len(c.candidates(service)) > 0 }

// candidates returns the peers to ask for connections to a service.
func (c *Client) candidates(service string) []Peer {
	peers := c.config.Peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock()
	var list []Peer
	for _, p := range peers {
		if p.Reaches(service) && !now.Before(c.avoidUntil[avoidKey{p.Name, service}]) {
			list = append(list, p)
		}
	}
	return list
}

// Dial connects to an endpoint by way of a peer. Nothing was sent to the endpoint if it
// returns an error: a *NoPeerError or an *UnreachedError.
func (c *Client) Dial(ctx context.Context, to Target) (*Conn, error) {
	failure := &NoPeerError{Service: to.Service}
	for failure.Asked < maxPeersAsked && ctx.Err() == nil {
		p, ok := c.choose(to)
		if !ok {
			break
		}
		conn, err := c.dialBy(ctx, p, to)
		var unreached *UnreachedError
		if err == nil || errors.As(err, &unreached) {
			return conn, err
		}
		failure.Asked, failure.Last = failure.Asked+1, errors.Wrapf(err, "peer %s", p.Name)
		c.avoid(p, to.Service)
	}
	return nil, failure
}

func (c *Client) choose(to Target) (Peer, bool) {
	peers := c.candidates(to.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	return chooser{zone: c.config.Zone, outstanding: c.outstanding, random: rand.IntN}.choose(peers, to)
}

func (c *Client) avoid(p Peer, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock()
	for key, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, key)
		}
	}
	c.avoidUntil[avoidKey{p.Name, service}] = now.Add(avoidFor)
}

// dialBy asks a peer for a connection.
func (c *Client) dialBy(ctx context.Context, p Peer, to Target) (*Conn, error) {
	raw, err := upstream.DialEndpoint(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	reader, err := c.handshake(raw, p, to)
	if !stop() || err != nil {
		_ = raw.Close()
		return nil, errors.CombineErrors(err, ctx.Err())
	}
	c.count(p.Name, 1)
	return &Conn{Conn: raw, Peer: p.Name, PeerAddress: p.Address, chunks: httputil.NewChunkedReader(reader), release: sync.OnceFunc(func() { c.count(p.Name, -1) })}, nil
}

func (c *Client) handshake(raw net.Conn, p Peer, to Target) (*bufio.Reader, error) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: Path}, Host: p.Address,
		Header: http.Header{
			"Connection": {"Upgrade"}, "Upgrade": {upgradeProtocol},
			headerEndpoint: {to.Endpoint}, headerStarted: {strconv.FormatInt(to.StartedMillis, 10)},
			headerFrom: {c.config.Host}, headerRequest: {to.Request},
		},
	}
	if err := request.Write(raw); err != nil {
		return nil, err
	}
	heads := responsehead.NewConn(raw, true)
	reader := bufio.NewReader(heads)
	response, err := heads.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	cause := errors.Wrapf(errRefused, "status %d, %s", response.StatusCode, response.Header.Get(headerReason))
	switch response.StatusCode {
	case http.StatusSwitchingProtocols:
		return reader, raw.SetDeadline(time.Time{})
	case http.StatusNotFound, http.StatusBadGateway:
		if response.Header.Get(headerReason) == "" { // of a build that does not relay
			return nil, cause
		}
		return nil, &UnreachedError{Peer: p.Name, Endpoint: to.Endpoint, Unknown: response.StatusCode == http.StatusNotFound, Cause: cause}
	default:
		return nil, cause
	}
}

func (c *Client) count(peer string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding[peer] += change
	if c.outstanding[peer] == 0 {
		delete(c.outstanding, peer)
	}
}

// Conn is a connection to an endpoint by way of a peer.
type Conn struct {
	net.Conn
	// Peer is the peer's name, PeerAddress its address.
	Peer, PeerAddress string

	// chunks reads what the peer relays of the endpoint.
	chunks  io.Reader
	release func()
}

// Read implements net.Conn. It returns io.EOF only if the endpoint ended its connection in
// order.
func (c *Conn) Read(p []byte) (int, error) { return c.chunks.Read(p) }

// NetConn returns the connection to the peer.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	return c.Conn.Close()
}

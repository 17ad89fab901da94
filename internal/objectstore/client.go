package objectstore

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryslip.example/bilberryslip/internal/boundedhttp"
	"bilberryslip.example/bilberryslip/internal/netmeter"
	"bilberryslip.example/bilberryslip/internal/responsehead"
	"bilberryslip.example/bilberryslip/internal/socket"
)

const (
	// defaultCallTimeout bounds one attempt of a call at one address.
	defaultCallTimeout = 2 * time.Second
	// defaultWatchTimeout bounds the time in which a watch receives neither
	// event nor bookmark. The platform sends a bookmark at least every second.
	defaultWatchTimeout = 4 * time.Second
	// dialTimeout bounds dialling one connection and its TLS handshake, each.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdlePerAddress is the number of idle connections kept per address.
	maxIdlePerAddress = 32
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are base URLs of the platform. The client prefers one until it
	// fails and then moves on to the next.
	Addresses []string
	// Token is the platform's bearer token. Empty means none is sent.
	Token string
	// CallTimeout bounds one attempt of a call at one address. Zero means 2 s.
	CallTimeout time.Duration
	// WatchTimeout ends a watch that receives neither event nor bookmark for
	// this long. Zero means 4 s.
	WatchTimeout time.Duration
	// Clock returns the current time. Nil means time.Now.
	Clock func() time.Time
}

// Availability is the platform's availability as observed by recent calls and
// watches.
type Availability struct {
	// Available is false after an attempt that got no usable response, until
	// the platform responds again. It is false before the first response.
	Available bool
	// LastResponse is when the platform last responded. Zero means never.
	LastResponse time.Time
}

// Client implements Store and HostLister over the platform's HTTP API. It is safe
// for concurrent use. It never retries a write that may have had an effect: see
// CreateSettled and UpdateSettled for writes whose outcome is unknown.
type Client struct {
	config ClientConfig
	calls  *http.Client
	// watches uses a new connection for each watch.
	watches *http.Client
	// transport is that of calls.
	transport *responsehead.Transport
	// preferred, modulo their number, is the index of the address to try first.
	preferred atomic.Int64
	available atomic.Bool
	// lastResponse is when the platform last responded. Nil means never.
	lastResponse atomic.Pointer[time.Time]
	metrics      *Metrics

	ignoredMu sync.Mutex
	// ignored logs the entries that can't be decoded, by kind.
	ignored map[Kind]*IgnoredLog
}

var (
	_ Store      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
)

// NewClient returns a Client. It does not connect.
func NewClient(config ClientConfig) *Client {
	config.CallTimeout = cmp.Or(config.CallTimeout, defaultCallTimeout)
	config.WatchTimeout = cmp.Or(config.WatchTimeout, defaultWatchTimeout)
	if config.Clock == nil {
		config.Clock = time.Now
	}
	transport := newTransport()
	watchTransport := newTransport()
	watchTransport.DisableKeepAlives = true
	return &Client{
		config:    config,
		calls:     &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		watches:   &http.Client{Transport: watchTransport, CheckRedirect: refuseRedirect},
		transport: transport,
		metrics:   NewMetrics(),
	}
}

// newTransport returns a transport that uses HTTP/1 only, so that a call that
// times out closes its connection.
func newTransport() *responsehead.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return responsehead.NewTransport(&http.Transport{
		DialContext:            netmeter.Dial(netmeter.Platform, socket.DialRequests(dialer.DialContext)),
		MaxIdleConnsPerHost:    maxIdlePerAddress,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes,
	})
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Availability returns the platform's availability as last observed.
func (c *Client) Availability() Availability {
	a := Availability{Available: c.available.Load()}
	if at := c.lastResponse.Load(); at != nil {
		a.LastResponse = *at
	}
	return a
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var obj Object
	err := c.do(ctx, call{name: callGet, method: http.MethodGet, path: objectPath(kind, name), kind: kind, object: name}, &obj)
	return obj, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind, prefix string) (Listing, error) {
	var listing Listing
	err := c.do(ctx, call{name: callList, method: http.MethodGet, path: listPath(kind, prefix), kind: kind}, &listing)
	return listing, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind Kind, name, writeID string, value json.RawMessage) (Object, error) {
	var obj Object
	err := c.do(ctx, call{
		name: callCreate, method: http.MethodPut, path: objectPath(kind, name), kind: kind, object: name,
		writeID: writeID, ifNoneMatch: true, body: value,
	}, &obj)
	return obj, err
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind Kind, name string, version Version, writeID string, value json.RawMessage) (Object, error) {
	var obj Object
	err := c.do(ctx, call{
		name: callUpdate, method: http.MethodPut, path: objectPath(kind, name), kind: kind, object: name,
		writeID: writeID, ifMatch: version, body: value,
	}, &obj)
	return obj, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version Version) error {
	return c.do(ctx, call{
		name: callDelete, method: http.MethodDelete, path: objectPath(kind, name), kind: kind, object: name,
		ifMatch: version,
	}, nil)
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	var hosts []ListedHost
	err := c.do(ctx, call{name: callHosts, method: http.MethodGet, path: "/v1/hosts"}, &hosts)
	return hosts, err
}

// ClientState is a Client's section of the state dump.
type ClientState struct {
	Available bool `json:"available"`
	// ResponseAgeMillis is the time since the last response. Negative means that
	// there was none.
	ResponseAgeMillis int64 `json:"answerAgeMillis"`
}

// DumpState returns a ClientState.
func (c *Client) DumpState() any {
	availability := c.Availability()
	state := ClientState{Available: availability.Available, ResponseAgeMillis: -1}
	if !availability.LastResponse.IsZero() {
		state.ResponseAgeMillis = c.config.Clock().Sub(availability.LastResponse).Milliseconds()
	}
	return state
}

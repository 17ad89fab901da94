package objectstore

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bilberryslip.example/bilberryslip/internal/netmeter"
)

const (
	// defaultCallTimeout bounds one call to one address.
	defaultCallTimeout = 2 * time.Second
	// defaultWatchTimeout bounds the silence of a watch; the platform sends
	// a bookmark at least every second.
	defaultWatchTimeout = 4 * time.Second
	// dialTimeout bounds the making of one connection.
	dialTimeout = time.Second
	// idleTimeout closes connections that nothing used.
	idleTimeout = 30 * time.Second
	// maxIdlePerAddress is the number of connections kept per address.
	maxIdlePerAddress = 32
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are base URLs of the platform, tried in turn.
	Addresses []string
	// Token is the platform's bearer token. Empty means none is sent.
	Token string
	// CallTimeout bounds one call to one address. Zero means 2 s.
	CallTimeout time.Duration
	// WatchTimeout bounds the silence of a watch. Zero means 4 s.
	WatchTimeout time.Duration
	// Clock tells the time. Nil means time.Now.
	Clock func() time.Time
}

// Availability is what the last calls told of the platform.
type Availability struct {
	// Available is false from a call that failed until one is answered.
	Available bool
	// LastAnswer is when the platform last answered. Zero means never.
	LastAnswer time.Time
}

// Client is a Store and a HostLister over the platform's HTTP API. It never
// sends a write again after a byte of it may have left: see CreateSettled and
// UpdateSettled for writes whose outcome is unknown.
type Client struct {
	config    ClientConfig
	calls     *http.Client
	watches   *http.Client
	transport *http.Transport
	preferred atomic.Int64
	available atomic.Bool
	answered  atomic.Pointer[time.Time]
	metrics   *Metrics
}

var (
	_ Store      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
)

// NewClient returns a client; it makes no connection yet.
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

// newTransport speaks HTTP/1 only, so that the end of a call that timed out
// closes its connection.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         netmeter.Dial(netmeter.Platform, dialer.DialContext),
		MaxIdleConnsPerHost: maxIdlePerAddress,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: dialTimeout,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Availability returns what the last calls told of the platform.
func (c *Client) Availability() Availability {
	a := Availability{Available: c.available.Load()}
	if at := c.answered.Load(); at != nil {
		a.LastAnswer = *at
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
	var answer struct {
		Hosts []ListedHost `json:"hosts"`
	}
	err := c.do(ctx, call{name: callHosts, method: http.MethodGet, path: "/v1/hosts"}, &answer)
	return answer.Hosts, err
}

// ClientState is a Client's part of the state dump.
type ClientState struct {
	Available bool `json:"available"`
	// AnswerAgeMillis is the time since the last answer. Negative means that
	// there was none.
	AnswerAgeMillis int64 `json:"answerAgeMillis"`
}

// DumpState returns the client's part of the state dump.
func (c *Client) DumpState() any {
	availability := c.Availability()
	state := ClientState{Available: availability.Available, AnswerAgeMillis: -1}
	if !availability.LastAnswer.IsZero() {
		state.AnswerAgeMillis = c.config.Clock().Sub(availability.LastAnswer).Milliseconds()
	}
	return state
}

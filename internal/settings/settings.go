// Package settings reads and validates the JSON settings file of a process. It
// reports all faults of a file at once.
package settings

import (
	"encoding/json"
	"time"
)

// Settings is the settings file of a bilberryslipd process.
type Settings struct {
	Host      Host       `json:"host"`
	Listen    Listen     `json:"listen"`
	Platform  Platform   `json:"platform"`
	Peers     Peers      `json:"peers"`
	Operators []Operator `json:"operators"`
	TLS       TLS        `json:"tls"`
	Log       Log        `json:"log"`
	Callers   Callers    `json:"callers"`
	Endpoints Endpoints  `json:"endpoints"`
	Shares    Shares     `json:"shares"`
	Placement Placement  `json:"placement"`
	Claims    Claims     `json:"claims"`
	Shutdown  Shutdown   `json:"shutdown"`
	// FatalInvariants makes the process exit at the first violated invariant,
	// for tests. If false, violations are only counted and logged.
	FatalInvariants bool `json:"fatal_invariants"`
}

// Host identifies the host that the process runs on, and its location.
type Host struct {
	// Name is unique among the hosts of the deployment.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Listen holds the addresses, as IP:PORT, that the process listens on. Port 0
// selects a free port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	// Debug serves health, readiness, metrics and the state dump.
	Debug string `json:"debug"`
	// AddressFile, if set, is the file to which the process writes the actual
	// addresses, as JSON, once it listens on them.
	AddressFile string `json:"address_file"`
}

// Platform configures the client of the platform's object API.
type Platform struct {
	// Addresses are base URLs whose hosts are IP addresses.
	Addresses []string `json:"addresses"`
	// TokenFile is the file with the bearer token. Empty means no token.
	TokenFile string `json:"token_file"`
	// CallTimeout bounds one call to one address.
	CallTimeout Duration `json:"call_timeout"`
	// WatchTimeout is the time without any event or bookmark after which a watch
	// is considered failed.
	WatchTimeout Duration `json:"watch_timeout"`
}

// Peers configures the communication between hosts.
type Peers struct {
	// SecretFile is the file with the secret that all hosts share.
	SecretFile string `json:"secret_file"`
	// URL is the URL under which peers reach this host. Empty means the address
	// in Listen.Peers.
	URL string `json:"url"`
	// Static lists seed hosts, which are contacted even if the platform's host
	// list is not available.
	Static []StaticPeer `json:"static"`
	// GossipInterval is the time between gossip rounds.
	GossipInterval Duration `json:"gossip_interval"`
}

// StaticPeer is a host listed in the settings.
type StaticPeer struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	URL  string `json:"url"`
}

// Operator is the credential of one operator.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the SHA-256 of the token, lower-case hex.
	TokenSHA256 string `json:"token_sha256"`
}

// TLS names the files of the certificate that is used for the callers' and the
// operators' address. Empty names mean no TLS.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Log configures logging.
type Log struct {
	// Level is error, warning, info or debug.
	Level string `json:"level"`
}

// Callers holds the limits on callers' requests.
type Callers struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RequestTimeout is the maximum duration of a request, including its
	// response.
	RequestTimeout Duration `json:"request_timeout"`
	// MaxQueued is the maximum length of this host's admission queue, in
	// requests.
	MaxQueued int `json:"max_queued"`
}

// Endpoints holds the intervals and timeouts for endpoints.
type Endpoints struct {
	// ReportInterval is the time between polls of an endpoint's load report.
	ReportInterval Duration `json:"report_interval"`
	// HealthTimeout is the time without a response after which an endpoint is
	// considered unreachable.
	HealthTimeout Duration `json:"health_timeout"`
	// FirstByteTimeout bounds the time to the header and to the first byte of a
	// response.
	FirstByteTimeout Duration `json:"first_byte_timeout"`
	// ProgressTimeout is the maximum time without progress within a response.
	ProgressTimeout Duration `json:"progress_timeout"`
}

// Shares configures how organisations' rates are divided among hosts.
type Shares struct {
	// Lease is how long a host may use its whole share without renewing proof
	// that it holds it.
	Lease Duration `json:"lease"`
	// FloorLease is how long the floor is reserved for the host before hosts of
	// the same availability zone may reclaim it.
	FloorLease Duration `json:"floor_lease"`
	// LongLease is how long the whole share is reserved for the host before
	// hosts of other zones may reclaim it.
	LongLease Duration `json:"long_lease"`
	// FloorFraction is the fraction of the share that is the floor.
	FloorFraction float64 `json:"floor_fraction"`
}

// Placement configures the placement owner, the host that places models on the
// endpoints of an availability zone.
type Placement struct {
	// Interval is the time between placement rounds.
	Interval Duration `json:"interval"`
	// Lease is the duration of the placement owner's lease.
	Lease Duration `json:"lease"`
	// LoadsPerSecond is the rate of model loads that the weight store allows in
	// the whole region.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// ParallelLoads is the number of model loads that the weight store serves
	// at full speed at once in the region.
	ParallelLoads int `json:"parallel_loads"`
	// ParallelAdapterLoads is the number of adapter loads that the weight store
	// serves at full speed at once.
	ParallelAdapterLoads int `json:"parallel_adapter_loads"`
}

// Claims configures the claims of non-repeatable requests.
type Claims struct {
	// Retention is how long claims are kept.
	Retention Duration `json:"retention"`
}

// Shutdown configures the graceful shutdown of a host.
type Shutdown struct {
	// BalancerDelay is how long the host accepts new requests after it reports
	// not ready, so that the balancer has time to notice.
	BalancerDelay Duration `json:"balancer_delay"`
	// Limit is the time from the start of the shutdown, BalancerDelay included,
	// in which the process ends. Requests that still run ShutdownEnd before it are
	// aborted.
	Limit Duration `json:"limit"`
}

// ShutdownEnd is the part of Shutdown.Limit that is left for the answers to requests that
// are aborted, the release of shares, the flush of records and the exit.
const ShutdownEnd = 4 * time.Second

// Duration is a time.Duration that is written in JSON as a string such as
// "250ms" or "24h".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Default returns settings with the default value of every field that has one.
func Default() Settings {
	return Settings{
		Platform:  Platform{CallTimeout: Duration(2 * time.Second), WatchTimeout: Duration(4 * time.Second)},
		Peers:     Peers{GossipInterval: Duration(time.Second)},
		Log:       Log{Level: "info"},
		Callers:   Callers{MaxBodyBytes: 1 << 20, RequestTimeout: Duration(10 * time.Minute), MaxQueued: 2048},
		Endpoints: Endpoints{ReportInterval: Duration(500 * time.Millisecond), HealthTimeout: Duration(3 * time.Second), FirstByteTimeout: Duration(15 * time.Second), ProgressTimeout: Duration(5 * time.Second)},
		Shares:    Shares{Lease: Duration(20 * time.Second), FloorLease: Duration(15 * time.Minute), LongLease: Duration(12 * time.Hour), FloorFraction: 0.5},
		Placement: Placement{Interval: Duration(time.Second), Lease: Duration(10 * time.Second), LoadsPerSecond: 1, ParallelLoads: 4, ParallelAdapterLoads: 32},
		Claims:    Claims{Retention: Duration(24 * time.Hour)},
		Shutdown:  Shutdown{BalancerDelay: Duration(5 * time.Second), Limit: Duration(10 * time.Minute)},
	}
}

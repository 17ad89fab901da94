// Package settings reads the JSON settings of one process. All faults of a
// file are found and reported together.
package settings

import (
	"encoding/json"
	"time"
)

// Settings is the whole settings file of a bilberryslipd process.
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
	// FatalInvariants ends the process at the first violated invariant, for
	// tests. The zero value counts and logs violations only.
	FatalInvariants bool `json:"fatal_invariants"`
}

// Host says who and where this process is.
type Host struct {
	// Name is unique among the hosts of the deployment.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Listen holds the addresses, IP:PORT, that the process listens on. Port 0
// takes a free one.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	// Debug serves health, readiness, metrics and the state dump.
	Debug string `json:"debug"`
	// AddressFile, if set, is written with the addresses once they listen.
	AddressFile string `json:"address_file"`
}

// Platform says how to reach the platform's object API.
type Platform struct {
	// Addresses are base URLs with IP numbers.
	Addresses []string `json:"addresses"`
	// TokenFile holds the bearer token. Empty means no token.
	TokenFile    string   `json:"token_file"`
	CallTimeout  Duration `json:"call_timeout"`
	WatchTimeout Duration `json:"watch_timeout"`
}

// Peers says how hosts talk to each other.
type Peers struct {
	// SecretFile holds the secret that all hosts share.
	SecretFile string `json:"secret_file"`
	// URL is this host's own peer URL. Empty means that of Listen.Peers.
	URL string `json:"url"`
	// Static lists hosts that are known without the platform's list.
	Static []StaticPeer `json:"static"`
	// GossipInterval is the time between exchanges with peers.
	GossipInterval Duration `json:"gossip_interval"`
}

// StaticPeer is a host that is known from the settings.
type StaticPeer struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	URL  string `json:"url"`
}

// Operator is one operator credential.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the SHA-256 of the token, lower-case hex.
	TokenSHA256 string `json:"token_sha256"`
}

// TLS holds the callers' and operators' certificate. Empty means no TLS.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Log says what is logged.
type Log struct {
	// Level is error, warning, info or debug.
	Level string `json:"level"`
}

// Callers bounds the callers' requests.
type Callers struct {
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RequestTimeout is the longest life of one request.
	RequestTimeout Duration `json:"request_timeout"`
	// MaxQueued bounds the admission queue of this host.
	MaxQueued int `json:"max_queued"`
}

// Endpoints sets the time limits towards endpoints.
type Endpoints struct {
	ReportInterval   Duration `json:"report_interval"`
	HealthTimeout    Duration `json:"health_timeout"`
	FirstByteTimeout Duration `json:"first_byte_timeout"`
	// ProgressTimeout is the longest silence within an answer.
	ProgressTimeout Duration `json:"progress_timeout"`
}

// Shares sets how organisations' rates are divided among hosts.
type Shares struct {
	// Lease is how long a host's whole share holds without fresh proof.
	Lease Duration `json:"lease"`
	// FloorLease is how long the floor holds against the hosts of the same
	// availability zone.
	FloorLease Duration `json:"floor_lease"`
	// LongLease is how long the share holds against all other hosts.
	LongLease Duration `json:"long_lease"`
	// FloorFraction is the part of the share under FloorLease.
	FloorFraction float64 `json:"floor_fraction"`
}

// Placement sets what the owner of an availability zone's endpoints does.
type Placement struct {
	Interval Duration `json:"interval"`
	Lease    Duration `json:"lease"`
	// LoadsPerSecond is the weight store's budget for the whole region.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// ParallelLoads is the number of loads at full speed in the region.
	ParallelLoads int `json:"parallel_loads"`
	// ParallelAdapterLoads is the number of adapter loads in flight.
	ParallelAdapterLoads int `json:"parallel_adapter_loads"`
}

// Claims sets how claims of non-repeatable requests are kept.
type Claims struct {
	Retention Duration `json:"retention"`
}

// Shutdown sets how a host leaves.
type Shutdown struct {
	// BalancerDelay is how long new requests are still served after the host
	// says it is not ready.
	BalancerDelay Duration `json:"balancer_delay"`
	// Limit ends what still runs after it.
	Limit Duration `json:"limit"`
}

// Duration is a time.Duration written like "250ms" or "24h".
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

// Std returns the value as time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Default returns settings that hold the default of every field that has one.
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

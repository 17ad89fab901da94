package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/sirupsen/logrus"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// minSecretBytes is the minimum length of the peer secret.
const minSecretBytes = 16

// checker collects the faults of values that were decoded.
type checker struct {
	faults []Fault
	// skip reports whether decoding already found a fault at the path.
	skip func(path string) bool
}

// validate returns the faults of the values and of the files they name, except
// at paths for which skip returns true.
func (s *Settings) validate(skip func(path string) bool) []Fault {
	c := &checker{skip: skip}
	c.name("host.name", s.Host.Name)
	c.name("host.zone", s.Host.Zone)
	s.validateListen(c)
	s.validatePlatform(c)
	s.validatePeers(c)
	s.validateOperators(c)
	s.validateTLS(c)
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		c.fault("log.level", fmt.Sprintf("%q is not a level", s.Log.Level), "write error, warning, info or debug")
	}
	s.validateLimits(c)
	return c.faults
}

func (s *Settings) validateListen(c *checker) {
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.debug", s.Listen.Debug)
}

func (s *Settings) validatePlatform(c *checker) {
	if len(s.Platform.Addresses) == 0 {
		c.fault("platform.addresses", "empty", "list the platform's base URLs")
	}
	for i, address := range s.Platform.Addresses {
		c.url(fmt.Sprintf("platform.addresses[%d]", i), address)
	}
	c.file("platform.token_file", s.Platform.TokenFile)
	c.duration("platform.call_timeout", s.Platform.CallTimeout, 50*time.Millisecond, time.Minute)
	c.duration("platform.watch_timeout", s.Platform.WatchTimeout, 500*time.Millisecond, time.Minute)
}

func (s *Settings) validatePeers(c *checker) {
	if s.Peers.SecretFile == "" {
		c.fault("peers.secret_file", "missing", "name a file that holds the secret all hosts share")
	}
	c.file("peers.secret_file", s.Peers.SecretFile)
	if data, err := os.ReadFile(s.Peers.SecretFile); err == nil && len(data) < minSecretBytes {
		c.fault("peers.secret_file", "secret too short", fmt.Sprintf("write at least %d bytes", minSecretBytes))
	}
	if s.Peers.URL != "" {
		c.url("peers.url", s.Peers.URL)
	}
	for i, peer := range s.Peers.Static {
		path := fmt.Sprintf("peers.static[%d]", i)
		c.name(path+".name", peer.Name)
		c.name(path+".zone", peer.Zone)
		c.url(path+".url", peer.URL)
	}
	c.duration("peers.gossip_interval", s.Peers.GossipInterval, 50*time.Millisecond, 10*time.Second)
}

func (s *Settings) validateOperators(c *checker) {
	for i, operator := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.name(path+".name", operator.Name)
		if !sha256Pattern.MatchString(operator.TokenSHA256) {
			c.fault(path+".token_sha256", "not a SHA-256", "write the token's SHA-256 as 64 hex digits in lower case")
		}
	}
}

func (s *Settings) validateTLS(c *checker) {
	if (s.TLS.CertificateFile == "") != (s.TLS.KeyFile == "") {
		c.fault("tls", "only one of certificate_file and key_file is set", "set both or none")
	}
	c.file("tls.certificate_file", s.TLS.CertificateFile)
	c.file("tls.key_file", s.TLS.KeyFile)
}

func (s *Settings) validateLimits(c *checker) {
	const day = 24 * time.Hour
	c.number("callers.max_body_bytes", float64(s.Callers.MaxBodyBytes), 1024, 64<<20)
	c.number("callers.max_queued", float64(s.Callers.MaxQueued), 1, 1_000_000)
	c.duration("callers.request_timeout", s.Callers.RequestTimeout, time.Second, day)
	c.duration("endpoints.report_interval", s.Endpoints.ReportInterval, 50*time.Millisecond, 10*time.Second)
	c.duration("endpoints.health_timeout", s.Endpoints.HealthTimeout, 100*time.Millisecond, time.Minute)
	c.duration("endpoints.first_byte_timeout", s.Endpoints.FirstByteTimeout, 100*time.Millisecond, 10*time.Minute)
	c.duration("endpoints.progress_timeout", s.Endpoints.ProgressTimeout, 100*time.Millisecond, 10*time.Minute)
	c.duration("shares.lease", s.Shares.Lease, time.Second, time.Hour)
	c.duration("shares.floor_lease", s.Shares.FloorLease, s.Shares.Lease.Std(), 7*day)
	c.duration("shares.long_lease", s.Shares.LongLease, s.Shares.FloorLease.Std(), 30*day)
	c.number("shares.floor_fraction", s.Shares.FloorFraction, 0.01, 1)
	c.duration("placement.interval", s.Placement.Interval, 50*time.Millisecond, time.Minute)
	c.duration("placement.lease", s.Placement.Lease, time.Second, time.Hour)
	c.number("placement.loads_per_second", s.Placement.LoadsPerSecond, 0.001, 1000)
	c.number("placement.parallel_loads", float64(s.Placement.ParallelLoads), 1, 1000)
	c.number("placement.parallel_adapter_loads", float64(s.Placement.ParallelAdapterLoads), 1, 10_000)
	c.duration("claims.retention", s.Claims.Retention, time.Minute, 30*day)
	c.duration("shutdown.balancer_delay", s.Shutdown.BalancerDelay, 0, 10*time.Minute)
	if low := s.Shutdown.BalancerDelay.Std() + ShutdownEnd; s.Shutdown.Limit.Std() < low || s.Shutdown.Limit.Std() > day {
		c.fault("shutdown.limit", fmt.Sprintf("%s is out of range", s.Shutdown.Limit.Std()),
			fmt.Sprintf("write a duration from %s (shutdown.balancer_delay and %s for the end) to %s", low, ShutdownEnd, day))
	}
}

func (c *checker) fault(path, problem, remedy string) {
	if !c.skip(path) {
		c.faults = append(c.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
	}
}

func (c *checker) name(path, value string) {
	if !namePattern.MatchString(value) {
		c.fault(path, fmt.Sprintf("%q is not a name", value), "write 1 to 63 characters of a-z, 0-9 and hyphen")
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(path, fmt.Sprintf("%q is not an address", value), "write IP:PORT with an IP number, such as 10.0.0.1:8080")
	}
}

func (c *checker) url(path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.fault(path, fmt.Sprintf("%q is not a URL", value), "write http://IP:PORT or https://IP:PORT")
		return
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		c.fault(path, fmt.Sprintf("%q does not name an IP number", value), "write http://IP:PORT or https://IP:PORT")
	}
}

// file checks that a file can be opened for reading. An empty name is valid.
func (c *checker) file(path, name string) {
	if name == "" {
		return
	}
	f, err := os.Open(name)
	if err != nil {
		c.fault(path, err.Error(), "name a readable file")
		return
	}
	_ = f.Close()
}

func (c *checker) duration(path string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.fault(path, fmt.Sprintf("%s is out of range", value.Std()), fmt.Sprintf("write a duration from %s to %s", low, high))
	}
}

func (c *checker) number(path string, value, low, high float64) {
	if value < low || value > high {
		c.fault(path, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a number from %v to %v", low, high))
	}
}

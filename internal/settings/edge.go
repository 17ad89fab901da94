package settings

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/drain"
)

// Edge is the settings file of a bilberryslip-edge process.
type Edge struct {
	Host   Host       `json:"host"`
	Listen EdgeListen `json:"listen"`
	Store  EdgeStore  `json:"store"`
	Log    Log        `json:"log"`
	// MemoryMB is the memory limit of the process in MiB.
	MemoryMB int    `json:"memory_mb"`
	Bounds   Bounds `json:"bounds"`
	// FirstStart reports whether all hosts of the deployment start for the
	// first time.
	FirstStart bool `json:"first_start"`
}

// EdgeListen holds the addresses, as IP:PORT, that the process listens on.
type EdgeListen struct {
	Callers string `json:"callers"`
	// Readiness serves the balancer's readiness checks.
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	// Metrics serves metrics and the state dump.
	Metrics string `json:"metrics"`
}

// EdgeStore configures the client of the store.
type EdgeStore struct {
	// Address is the store's address as IP:PORT.
	Address string `json:"address"`
}

// Bounds are the limits that the deployment requires the system to keep.
type Bounds struct {
	// Grace is the maximum time from the stop signal to the exit of the process.
	Grace Duration `json:"grace"`
	// RetryRatio and RetryReserve are the retry budget of all hosts together:
	// in any RetryWindow, at most RetryRatio retries per request plus
	// RetryReserve.
	RetryRatio   float64  `json:"retry_ratio"`
	RetryReserve float64  `json:"retry_reserve"`
	RetryWindow  Duration `json:"retry_window"`
	// QuotaWindow is the length of the sliding window in which organisations'
	// rates are counted.
	QuotaWindow Duration `json:"quota_window"`
	// Lease is the minimum time between the orders of one lease holder and those
	// of its successor.
	Lease Duration `json:"lease"`
	// LoadWindow and LoadOverage bound the loads from the weight store: in any
	// LoadWindow, at most LoadOverage times the number that its rate limit
	// allows.
	LoadWindow  Duration `json:"load_window"`
	LoadOverage float64  `json:"load_overage"`
	// Evacuation is the time within which operators may require that requests to an
	// evacuated availability zone end. Zero means that no zone is ever evacuated, and
	// that nothing is read for it.
	Evacuation Duration `json:"evacuation"`
}

// balancerDelay is how long requests still arrive after a host reports not ready: two
// readiness checks at an interval of one second, and their latency.
const balancerDelay = 2500 * time.Millisecond

// StopTiming returns the timing of a shutdown within the grace period.
func (b *Bounds) StopTiming() (drain.Timing, error) {
	return drain.TimingWithin(b.Grace.Std(), balancerDelay)
}

// LoadEdge reads and validates a settings file. Any error is an *InvalidError.
func LoadEdge(path string) (Edge, error) { return load(path, ParseEdge) }

// ParseEdge decodes and validates settings in JSON. Any error is an
// *InvalidError.
func ParseEdge(data []byte) (Edge, error) { return parse(data, defaultEdge(), (*Edge).validate) }

func defaultEdge() Edge {
	return Edge{
		Log:      Log{Level: "info"},
		MemoryMB: 256,
		Bounds: Bounds{
			Grace: Duration(8 * time.Second), RetryRatio: 0.2, RetryReserve: 50, RetryWindow: Duration(10 * time.Second),
			QuotaWindow: Duration(8 * time.Second), Lease: Duration(3 * time.Second), LoadWindow: Duration(5 * time.Second), LoadOverage: 1,
		},
	}
}

// validate returns the faults of the values, except at paths for which skip
// returns true.
func (e *Edge) validate(skip func(path string) bool) []Fault {
	c := &checker{skip: skip}
	c.name("host.name", e.Host.Name)
	c.name("host.zone", e.Host.Zone)
	c.address("listen.callers", e.Listen.Callers)
	c.address("listen.readiness", e.Listen.Readiness)
	c.address("listen.peers", e.Listen.Peers)
	c.address("listen.metrics", e.Listen.Metrics)
	c.address("store.address", e.Store.Address)
	if _, err := logrus.ParseLevel(e.Log.Level); err != nil {
		c.fault("log.level", fmt.Sprintf("%q is not a level", e.Log.Level), "write error, warning, info or debug")
	}
	const minMemoryMB = 32
	if e.MemoryMB < minMemoryMB {
		c.fault("memory_mb", "too small", fmt.Sprintf("give at least %d", minMemoryMB))
	}
	e.Bounds.validate(c)
	return c.faults
}

func (b *Bounds) validate(c *checker) {
	for _, d := range []struct {
		path  string
		value Duration
	}{
		{"bounds.grace", b.Grace},
		{"bounds.retry_window", b.RetryWindow},
		{"bounds.quota_window", b.QuotaWindow},
		{"bounds.lease", b.Lease},
		{"bounds.load_window", b.LoadWindow},
	} {
		if d.value <= 0 {
			c.fault(d.path, "not positive", `write a duration such as "3s"`)
		}
	}
	if b.Grace > 0 {
		if _, err := b.StopTiming(); err != nil {
			c.fault("bounds.grace", err.Error(), "have the platform wait longer between the stop signal and the kill")
		}
	}
	if b.Evacuation < 0 {
		c.fault("bounds.evacuation", "negative", `write a duration such as "5s", or leave it out if zones are never evacuated`)
	}
	if b.RetryRatio < 0 || b.RetryReserve < 0 || b.LoadOverage <= 0 {
		c.fault("bounds", "a ratio is negative or zero", "write the deployment's figures")
	}
}

// Package traffic holds what operators configure for routed requests: routes,
// services, organisations and limits. It does no I/O and reads no clock.
package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what of a route's requests may be repeated.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent
	// Streaming requests are answered by a series of events. They run at most
	// once unless their route is resumable.
	Streaming
)

// Route says where the requests of a host name and path prefix go.
type Route struct {
	Name string
	// Host is in lower case, without port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event.
	Objective time.Duration
	// Gap is the longest pause between a stream's events that is on time.
	Gap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is how many endpoints one attempt of a caller may be sent to.
	MaxAttempts int
	// Public routes ask for no key.
	Public bool
}

// Target is one service of a route and its part of the route's requests.
type Target struct {
	Service string
	Weight  int
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request, which is the same for the same
// identifier.
func (r *Route) Service(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}

// Service is a group of endpoints that stand in for each other.
type Service struct {
	Name string
	// HealthPath answers whether an endpoint considers itself healthy.
	HealthPath string
	// MaxConnections is what an endpoint accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// CacheTokens is the memory for running requests and kept prompts.
	CacheTokens int64
	// MemoryMB is for the weights of models and adapters together.
	MemoryMB float64
	// AdapterSlots is the number of adapters, those on their way included.
	AdapterSlots int
	// LoadsPerSecond is what the weight store allows to all engines together.
	LoadsPerSecond float64
	// Models are in the order of the configuration.
	Models []Model
}

// Model returns a model of the engine by name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Model is a set of weights that engines load.
type Model struct {
	Name string
	// MemoryMB is the size of the weights.
	MemoryMB float64
	// LoadTime is that of a load from the weight store at full speed.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter.
	AdapterMB float64
}

// Organisation is a tenant whose callers present one of its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority, if set, takes the place of the route's.
	Priority *int
	// TokensPerSecond and Burst bound what runs for it over all hosts. A rate
	// of zero is no limit.
	TokensPerSecond float64
	Burst           float64
	// PlainTokens is the charge of a request that declares no tokens.
	PlainTokens float64
}

// Limits bound what a caller may send and how long it may stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Spec is a whole configuration as operators write it.
type Spec struct {
	// Version grows with each configuration.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Config is a configuration in force. It is immutable.
type Config struct {
	spec     Spec
	byHost   map[string][]*Route
	byKey    map[string]*Organisation
	services map[string]*Service
}

// NewConfig indexes a configuration.
func NewConfig(spec Spec) *Config {
	c := &Config{
		spec:     spec,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Organisation),
		services: make(map[string]*Service),
	}
	for i := range spec.Routes {
		route := &spec.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range spec.Organisations {
		for _, key := range spec.Organisations[i].Keys {
			c.byKey[key] = &spec.Organisations[i]
		}
	}
	for i := range spec.Services {
		c.services[spec.Services[i].Name] = &spec.Services[i]
	}
	return c
}

// Version returns the configuration's version.
func (c *Config) Version() int64 { return c.spec.Version }

// Limits returns the limits on callers.
func (c *Config) Limits() Limits { return c.spec.Limits }

// Route returns the route with the longest prefix of the path among those of
// the host, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Keyed reports whether requests must carry a key.
func (c *Config) Keyed() bool { return len(c.spec.Organisations) > 0 }

// Holder returns the organisation that holds a key, or nil.
func (c *Config) Holder(key string) *Organisation { return c.byKey[key] }

// Organisations returns all organisations.
func (c *Config) Organisations() []Organisation { return c.spec.Organisations }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services.
func (c *Config) Services() []Service { return c.spec.Services }

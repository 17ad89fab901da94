// Package traffic defines the operators' configuration of request routing:
// routes, services, organisations and limits. It does no I/O and reads no clock.
package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the type of a route. It determines whether requests may run more than
// once and whether they are answered by a stream.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent
	// Streaming requests have a stream of events as their response. They run at
	// most once unless their route is resumable.
	Streaming
)

// Route maps the requests for a host name and path prefix to services, and sets
// how they are served.
type Route struct {
	Name string
	// Host is the host name in lower case, without port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable reports whether a stream that broke off may be continued at
	// another endpoint after its last event.
	Resumable bool
	// Timeout bounds the time that a caller waits.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the response, or to the
	// first event of a stream.
	LatencyObjective time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of times that one request of a caller
	// is sent to an endpoint.
	MaxAttempts int
	// Public reports whether the route serves requests without a key.
	Public bool
}

// Target is one service of a route. It receives the route's requests in
// proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// SelectService selects a target by weight and returns its service. The same
// request identifier always selects the same target. SelectService returns "" if
// the weights add up to zero.
func (r *Route) SelectService(requestID string) string {
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

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts in
	// total, from all hosts.
	MaxConnections int
	// ColdStart is how long an endpoint that has started stays cold.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests a second that a cold endpoint accepts from
	// all hosts together. Zero means that the service has no cold endpoints.
	ColdPerSecond float64
	// Engine describes the service's model engines. It is nil for services
	// that run no models.
	Engine *Engine
}

// Engine describes the model engines of a service, which are all identical.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// CacheTokens is the capacity of the KV cache for running requests and
	// cached prompts, in tokens.
	CacheTokens int64
	// MemoryMB is the memory for the weights of models and adapters together.
	MemoryMB float64
	// AdapterSlots is the maximum number of adapters, including those that are
	// being loaded.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads that the weight store permits to all
	// engines together.
	LoadsPerSecond float64
	// Models lists the models in the order of the configuration.
	Models []Model
}

// Model returns the model with the given name, or nil.
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
	// LoadTime is the time of a load from the weight store at full bandwidth.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter.
	AdapterMB float64
}

// Organisation is a tenant. Its callers authenticate with one of its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority, if set, overrides the route's priority.
	Priority *int
	// TokensPerSecond and Burst are the organisation's rate limit over all
	// hosts. A rate of zero means no limit.
	TokensPerSecond float64
	Burst           float64
	// DefaultTokens is the number of tokens charged for a request that declares
	// none.
	DefaultTokens float64
}

// Limits bounds the size of callers' requests, the time to receive a request
// header, and the time that a caller's connection may stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Spec is a complete configuration as written by operators.
type Spec struct {
	// Version increases with each configuration.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Config is a Spec indexed for lookups. It is immutable and safe for concurrent
// use.
type Config struct {
	spec     Spec
	byHost   map[string][]*Route
	byKey    map[string]*Organisation
	services map[string]*Service
}

// NewConfig returns a Config for a Spec. The Spec must not be modified afterwards.
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

// Route returns the host's route with the longest path prefix that matches the
// path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// RequiresKey reports whether requests to routes that are not public must carry a
// key, which is so if the configuration has any organisation.
func (c *Config) RequiresKey() bool { return len(c.spec.Organisations) > 0 }

// OrganisationByKey returns the organisation to which a key belongs, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation { return c.byKey[key] }

// Organisations returns all organisations.
func (c *Config) Organisations() []Organisation { return c.spec.Organisations }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services.
func (c *Config) Services() []Service { return c.spec.Services }

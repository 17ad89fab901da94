// Package edge assembles and runs a host that forwards routed requests: the
// supervisor tree, the listeners, reload and shutdown.
package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/detour"
	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/evacuation"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/forward"
	"bilberryslip.example/bilberryslip/internal/httpserver"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/logsink"
	"bilberryslip.example/bilberryslip/internal/membudget"
	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/orders"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/quota"
	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/internal/streamorigin"
	"bilberryslip.example/bilberryslip/internal/supervise"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

const (
	// memoryLimitFraction is the fraction of the host's memory set as the Go
	// memory limit. The rest is for sockets and other memory outside the heap.
	memoryLimitFraction = 0.6
	// bufferFraction is the fraction of the host's memory for responses that are read
	// completely before they are relayed.
	bufferFraction = 0.125
	// bodyFraction is the fraction of the host's memory for the bodies of callers' requests.
	bodyFraction = 0.25
	// defaultIdleTimeout is how long idle connections of callers are kept open
	// while no configuration sets a timeout.
	defaultIdleTimeout = 15 * time.Second
)

// ConfigHook is called with each configuration that takes effect.
type ConfigHook = func(*traffic.Config)

// Adapter connects the host to a platform: its store, its callers and its
// endpoints.
type Adapter interface {
	// Store returns the client of the platform's object store.
	Store() objectstore.RestorableStore
	// Collectors returns the adapter's own metrics.
	Collectors() []prometheus.Collector
	// SetWatchTiming sets how long the store holds a watch open without events. A positive
	// endpointPause is added to the pause between two watches of endpoints and taken off
	// the time that they are held.
	SetWatchTiming(wait, endpointPause time.Duration)
	// Codec returns the codec of the endpoints' protocol.
	Codec() forward.Codec
	// Configuration returns the source of configurations and the mirror that
	// updates it. onChange is called with each configuration that takes effect.
	Configuration(onChange ConfigHook) (forward.Source, *mirror.Mirror)
	// Endpoints returns the mirror that updates the registry.
	Endpoints(registry *fleet.Registry) *mirror.Mirror
	// Evacuations returns the mirror that updates the tracker.
	Evacuations(tracker *evacuation.Tracker) *mirror.Mirror
	// Engines returns the client that sends orders to engines over the pool.
	Engines(pool *upstream.Pool) orders.Engines
	// Ping returns a function that calls an endpoint over a new connection of the pool and
	// returns nil if it answered.
	Ping(pool *upstream.Pool) func(ctx context.Context, address string) error
	// Callers returns the handler that serves callers' requests through the forwarder. The
	// bodies that it holds count against the budget.
	Callers(forwarder *forward.Forwarder, bodies *membudget.Budget) http.Handler
	// Readiness returns the handler of the readiness check, which succeeds while
	// ready returns true.
	Readiness(ready func() bool) http.Handler
}

// host is one running edge host.
type host struct {
	settings *settings.Edge
	adapter  Adapter
	// path is the settings file.
	path string
	logs *logsink.Sink

	source    forward.Source
	endpoints *fleet.Registry
	// evacuation is nil if the deployment evacuates no zones.
	evacuation *evacuation.Tracker
	quarantine *quarantine.Quarantine
	quota      *quota.Service
	exchange   *exchange.Service
	watches    *watchCoordinator
	origins    *streamorigin.Origins
	lease      *lease.Lease
	orders     *orders.Service
	paths      *reach.Monitor
	detours    *detours
	forwarder  *forward.Forwarder
	bodies     *membudget.Budget
	callers    *httpserver.Server
	tree       *suture.Supervisor
	stop       *drain.Stop
}

// Run runs a host until SIGINT or SIGTERM, and then shuts it down gracefully.
// path is the settings file, which is read again on SIGHUP.
func Run(path string, s *settings.Edge, adapter Adapter) error {
	h := &host{settings: s, adapter: adapter, path: path, logs: logsink.New(os.Stdout)}
	defer h.logs.Close()
	logrus.SetOutput(h.logs)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	h.applyLog(s)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	if err := h.build(); err != nil {
		return err
	}
	return h.run()
}

func (h *host) applyLog(s *settings.Edge) {
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil { // validated when the settings were loaded
		logrus.SetLevel(level)
	}
}

// build creates all components and opens the listeners. It starts no component.
func (h *host) build() error {
	s := h.settings
	h.stop = drain.New(drain.Config{OthersServe: h.othersServe, Clock: clock.Boot})
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	h.quarantine = quarantine.New(time.Now)
	var evacuated func(zone string) bool
	if s.Bounds.Evacuation > 0 {
		h.evacuation = evacuation.NewTracker()
		evacuated = h.evacuation.Evacuated
	}
	h.endpoints = fleet.NewRegistry(fleet.Config{Host: s.Host.Name, Zone: s.Host.Zone, Evacuated: evacuated, ColdStart: h.coldStart, OnVanished: func(e fleet.Endpoint) {
		h.quarantine.RecordGone(quarantine.Incarnation{Endpoint: e.ID, StartedMillis: e.StartedMillis()})
	}})
	h.quota = quota.NewService(s.Host.Name, s.Bounds.QuotaWindow.Std(), s.FirstStart)
	source, configMirror := h.adapter.Configuration(func(c *traffic.Config) { h.quota.Configure(c) })
	if h.evacuation != nil {
		source = knownZonesSource{Source: source, evacuation: h.evacuation}
	}
	h.source = source
	h.exchange = exchange.New(exchange.Config{
		Store: h.adapter.Store(), Host: s.Host.Name, Incarnation: incarnation, Zone: s.Host.Zone, Address: s.Listen.Peers,
	})
	h.exchange.AddParticipant(h.quota)
	h.exchange.AddParticipant(h.endpoints)
	h.exchange.AddParticipant(h.quarantine)
	endpointMirror := h.adapter.Endpoints(h.endpoints)
	h.origins = streamorigin.New(streamorigin.Config{
		Listed: h.endpoints.SoftwareVersions, ListedAt: func() time.Time { return endpointMirror.Reading().AsOf }, Clock: clock.Boot, Recorded: true,
	})
	h.exchange.AddParticipant(h.origins)
	retries := newRetryDivider(s.Bounds)
	h.exchange.AddParticipant(retries)
	h.exchange.AddParticipant(newGCTuner(time.Now))
	pool := upstream.NewPool()
	h.paths = reach.New(reach.Config{
		Targets: h.endpoints.Targets, Ping: h.adapter.Ping(pool),
		OnChange: func(service string, state reach.State, peerReaches bool) {
			h.onPathChange(pool, service, state, peerReaches)
		},
	})
	h.detours = newDetours(h)
	h.exchange.AddParticipant(h.detours)
	h.buildOrders(pool)
	h.forwarder = forward.New(forward.Config{
		Source: source, Endpoints: h.endpoints, Upstream: pool, Codec: h.adapter.Codec(),
		Quota: h.quota, Holdings: h.orders, Retry: retries.budgets, Quarantine: h.quarantine, Origins: h.origins, Paths: h.paths, Detours: h.detours,
		Stop:        h.stop,
		BufferBytes: int64(bufferFraction * float64(s.MemoryMB) * (1 << 20)),
	})
	h.bodies = membudget.New(int64(bodyFraction * float64(s.MemoryMB) * (1 << 20)))
	hostMirror := mirror.New(h.adapter.Store(), exchange.KindHost, h.exchange)
	fresh := []freshMirror{
		{Mirror: configMirror, tolerance: configurationTolerance},
		{Mirror: endpointMirror, tolerance: endpointTolerance, endpoints: true},
	}
	store := []suture.Service{configMirror, endpointMirror, hostMirror}
	if h.evacuation != nil {
		h.exchange.AddParticipant(h.evacuation)
		evacuationMirror := h.adapter.Evacuations(h.evacuation)
		fresh, store = append(fresh, freshMirror{Mirror: evacuationMirror, tolerance: evacuationTolerance}), append(store, evacuationMirror)
	}
	h.watches = newWatchCoordinator(h, h.exchange, hostMirror, fresh...)
	h.exchange.AddParticipant(h.watches)
	h.exchange.SetFollowHandler(h.watches.follow)
	branches := []supervise.Branch{{Name: "store", Services: store}}
	servers, err := h.listen()
	if err != nil {
		return err
	}
	branches = append(branches,
		supervise.Branch{Name: "peers", Services: []suture.Service{h.exchange}},
		supervise.Branch{Name: "holds", Services: []suture.Service{&holdKeeper{
			store: h.adapter.Store(), quarantine: h.quarantine, leads: h.leads,
		}}},
		supervise.Branch{Name: "software", Services: []suture.Service{&softwareKeeper{
			store: h.adapter.Store(), origins: h.origins, host: s.Host.Name, firstStart: s.FirstStart,
			listed: h.endpoints.SoftwareVersions, leads: h.leads, clock: clock.Boot,
		}}},
		supervise.Branch{Name: "paths", Services: []suture.Service{h.paths}},
		supervise.Branch{Name: "placement", Services: []suture.Service{h.lease, h.orders}},
		supervise.Branch{Name: "listeners", Services: servers})
	h.tree = supervise.NewTree("bilberryslip-edge", branches, logEvent)
	return nil
}

// knownZonesSource provides no configuration until it is known which zones are evacuated,
// so that a host that has just started sends nothing to an evacuated zone.
type knownZonesSource struct {
	forward.Source
	evacuation *evacuation.Tracker
}

// Current implements forward.Source.
func (s knownZonesSource) Current() *traffic.Config {
	if !s.evacuation.Known() {
		return nil
	}
	return s.Source.Current()
}

// coldStart returns the cold start of a service's endpoints, by the configuration in
// force.
func (h *host) coldStart(service string) fleet.ColdStart {
	current := h.source.Current()
	if current == nil {
		return fleet.ColdStart{}
	}
	s := current.Service(service)
	if s == nil {
		return fleet.ColdStart{}
	}
	return fleet.ColdStart{Duration: s.ColdStart, PerSecond: s.ColdPerSecond}
}

// placementLease is the lease whose holder sends all orders to engines. There is
// one for the whole fleet, since a lease holder is a single host and engines
// reject orders that alternate between hosts.
const placementLease = "placement"

// renewalsPerLease is how often a lease is renewed within its duration.
const renewalsPerLease = 4

func (h *host) buildOrders(pool *upstream.Pool) {
	s := h.settings
	duration := s.Bounds.Lease.Std()
	h.lease = lease.New(lease.Config{
		// The host name serves as incarnation, so that a restarted host remains
		// the same lease holder.
		Store: h.adapter.Store(), Name: placementLease, Host: s.Host.Name, Incarnation: s.Host.Name,
		Duration: duration, RenewalInterval: duration / renewalsPerLease, Now: clock.Boot,
		Era: h.adapter.Store().Era, FirstStart: s.FirstStart, Eligible: h.mayPlace,
		Yield:      func() time.Duration { return h.watches.leaseYield() },
		AwaitPeers: func(ctx context.Context) { h.watches.awaitSize(ctx) },
	})
	h.orders = orders.New(orders.Config{
		Host: s.Host.Name, Registry: h.endpoints, Source: h.source, Engines: h.adapter.Engines(pool),
		Lease: h.lease, Peers: h.exchange, LeaseTime: duration,
		LoadWindow: s.Bounds.LoadWindow.Std(), LoadOverage: s.Bounds.LoadOverage, MayStart: h.stop.StartsModelChanges,
		FirstStart: s.FirstStart,
	})
	h.exchange.AddParticipant(h.orders)
	h.exchange.SetPlacementHandler(h.orders.Place)
}

// leads reports whether this host holds the placement lease.
func (h *host) leads() bool { return h.lease.Status().Held }

// mayPlace reports whether this host may hold the placement lease.
func (h *host) mayPlace() bool { return h.reachesEngines() && h.stop.MayHoldLease(!h.orders.Idle()) }

// reachesEngines reports whether this host can order engines: no peer reaches engines of a
// service that it does not reach itself.
func (h *host) reachesEngines() bool {
	config := h.source.Current()
	if config == nil {
		return true
	}
	return !slices.ContainsFunc(config.Services(), func(s traffic.Service) bool {
		return s.Engine != nil && h.paths.CutOff(s.Name)
	})
}

func (h *host) listen() ([]suture.Service, error) {
	var servers []suture.Service
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		idle          func() time.Duration
	}{
		{"callers", h.settings.Listen.Callers, h.adapter.Callers(h.forwarder, h.bodies), h.idleTimeout},
		{"readiness", h.settings.Listen.Readiness, h.adapter.Readiness(h.ready), nil},
		{"peers", h.settings.Listen.Peers, h.peerHandler(), nil},
		{"metrics", h.settings.Listen.Metrics, h.metricsHandler(), nil},
	} {
		unacked := upstream.PeerUnackedTimeout
		if l.name == "callers" {
			unacked = upstream.CallerUnackedTimeout
		}
		listener, err := upstream.Listen(context.Background(), l.address, unacked)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s for %s; free the address or change the settings", l.address, l.name)
		}
		config := httpserver.Config{Name: l.name, Listener: listener, Handler: l.handler, Idle: l.idle}
		if l.name == "callers" {
			config.Shutdown = h.stop
		}
		server := httpserver.New(config)
		if l.name == "callers" {
			h.callers = server
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// peerHandler returns the handler of the peers' listener.
func (h *host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(detour.Path, h.detours.server)
	mux.Handle("/", h.exchange.Handler())
	return mux
}

// idleTimeout returns how long a caller's connection may stay open without a
// request.
func (h *host) idleTimeout() time.Duration {
	if config := h.source.Current(); config != nil && config.Limits().IdleTimeout > 0 {
		return config.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}

// ready reports whether the load balancer should send requests to this host.
func (h *host) ready() bool { return h.stop.Ready() && h.source.Current() != nil }

// othersServe reports whether all reachable peers of the availability zone serve callers, so
// that the balancer sends there whom this host refuses.
func (h *host) othersServe() bool {
	found := false
	for _, p := range h.exchange.ReachablePeers() {
		if p.Report.GetZone() != h.settings.Host.Zone {
			continue
		}
		if found = p.Report.GetRelays(); !found {
			return false
		}
	}
	return found
}

func (h *host) registry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), h.logs.Collector())
	registry.MustRegister(httpserver.Collectors()...)
	registry.MustRegister(h.adapter.Collectors()...)
	registry.MustRegister(h.stop)
	registry.MustRegister(h.forwarder.Collectors()...)
	registry.MustRegister(h.bodies.Collectors()...)
	registry.MustRegister(h.endpoints.Collectors()...)
	registry.MustRegister(h.quarantine.Collectors()...)
	registry.MustRegister(h.origins.Collectors()...)
	registry.MustRegister(h.orders.Collectors()...)
	registry.MustRegister(h.paths.Collectors()...)
	registry.MustRegister(h.detours.server.Collectors()...)
	if h.evacuation != nil {
		registry.MustRegister(h.evacuation.Collectors()...)
	}
	return registry
}

func logEvent(event suture.Event) {
	logrus.WithField("event", event.String()).Warn("supervised component failed; the supervisor restarts it")
}

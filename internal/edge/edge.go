// Package edge wires a host that forwards routed requests: the supervisor
// tree, the listeners, reload and shutdown.
package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/forward"
	"bilberryslip.example/bilberryslip/internal/httpserver"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/logsink"
	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/orders"
	"bilberryslip.example/bilberryslip/internal/quota"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/internal/supervise"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

const (
	// memoryShare is the part of the host's memory at which the collector
	// works harder; the rest is for sockets and for what it can't see.
	memoryShare = 0.6
	// collectorPercent trades memory for processor time: the heap is small.
	collectorPercent = 300
	// idleDefault is how long callers' connections are kept while no
	// configuration says otherwise.
	idleDefault = 15 * time.Second
)

// ConfigHook is told each configuration that comes into force.
type ConfigHook = func(*traffic.Config)

// Adapter is what surrounds the hosts: a platform's store, its callers and
// its endpoints.
type Adapter interface {
	Store() objectstore.Store
	// Collectors returns the adapter's own metrics.
	Collectors() []prometheus.Collector
	// SetWatchWait sets how long the store holds a watch without events.
	SetWatchWait(wait time.Duration)
	Codec() forward.Codec
	// Configuration returns the source of configurations and what feeds it.
	Configuration(onChange ConfigHook) (forward.Source, *mirror.Mirror)
	// Endpoints returns what feeds the registry.
	Endpoints(registry *fleet.Registry) *mirror.Mirror
	// Engines returns what gives orders to engines over the pool.
	Engines(pool *upstream.Pool) orders.Engines
	Callers(forwarder *forward.Forwarder) http.Handler
	Readiness(ready func() bool) http.Handler
}

// host is one running edge host.
type host struct {
	settings *settings.Edge
	adapter  Adapter
	path     string
	logs     *logsink.Sink

	source    forward.Source
	endpoints *fleet.Registry
	quota     *quota.Service
	exchange  *exchange.Service
	lease     *lease.Lease
	orders    *orders.Service
	forwarder *forward.Forwarder
	callers   *httpserver.Server
	tree      *suture.Supervisor
	leaving   atomic.Bool
}

// Run runs a host until it is told to stop, and then stops it gracefully. The
// path is that of the settings file, which is read again on SIGHUP.
func Run(path string, s *settings.Edge, adapter Adapter) error {
	h := &host{settings: s, adapter: adapter, path: path, logs: logsink.New(os.Stdout)}
	defer h.logs.Close()
	logrus.SetOutput(h.logs)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	h.applyLog(s)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(collectorPercent)
	if err := h.build(); err != nil {
		return err
	}
	return h.run()
}

func (h *host) applyLog(s *settings.Edge) {
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil { // checked with the settings
		logrus.SetLevel(level)
	}
}

// build makes all parts and opens the listeners; nothing runs yet.
func (h *host) build() error {
	s := h.settings
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	h.endpoints = fleet.NewRegistry(fleet.Config{Zone: s.Host.Zone})
	h.quota = quota.NewService(s.Host.Name, s.Bounds.QuotaWindow.Std(), s.FirstStart)
	source, configMirror := h.adapter.Configuration(func(c *traffic.Config) { h.quota.Configure(c) })
	h.source = source
	h.exchange = exchange.New(exchange.Config{
		Store: h.adapter.Store(), Host: s.Host.Name, Incarnation: incarnation, Zone: s.Host.Zone, Address: s.Listen.Peers,
	})
	h.exchange.AddPart(h.quota)
	h.exchange.AddPart(h.endpoints)
	retries := newRetries(s.Bounds)
	h.exchange.AddPart(retries)
	pool := upstream.NewPool()
	h.buildOrders(pool)
	h.forwarder = forward.New(forward.Config{
		Source: source, Endpoints: h.endpoints, Upstream: pool, Codec: h.adapter.Codec(),
		Quota: h.quota, Holdings: h.orders, Retry: retries.budgets,
	})
	endpointMirror := h.adapter.Endpoints(h.endpoints)
	hostMirror := mirror.New(h.adapter.Store(), exchange.KindHost, h.exchange)
	h.exchange.AddPart(newFreshness(h, configMirror, endpointMirror, hostMirror))
	branches := []supervise.Branch{
		{Name: "store", Services: []suture.Service{configMirror, endpointMirror, hostMirror}},
	}
	servers, err := h.listen()
	if err != nil {
		return err
	}
	branches = append(branches,
		supervise.Branch{Name: "peers", Services: []suture.Service{h.exchange}},
		supervise.Branch{Name: "placement", Services: []suture.Service{h.lease, h.orders}},
		supervise.Branch{Name: "listeners", Services: servers})
	h.tree = supervise.NewTree("bilberryslip-edge", branches, logEvent)
	return nil
}

// placementLease is the lease whose holder gives all orders to engines. One
// for the whole fleet: a holder is one host, and engines refuse turns.
const placementLease = "placement"

// renewals is how often a lease is renewed within its duration.
const renewals = 4

func (h *host) buildOrders(pool *upstream.Pool) {
	s := h.settings
	duration := s.Bounds.Lease.Std()
	h.lease = lease.New(lease.Config{
		// A host that restarts is the same holder as before.
		Store: h.adapter.Store(), Name: placementLease, Host: s.Host.Name, Incarnation: s.Host.Name,
		Duration: duration, Renewal: duration / renewals, Now: clock.Boot,
	})
	h.orders = orders.New(orders.Config{
		Host: s.Host.Name, Registry: h.endpoints, Source: h.source, Engines: h.adapter.Engines(pool),
		Lease: h.lease, Peers: h.exchange, LeaseTime: duration,
		LoadWindow: s.Bounds.LoadWindow.Std(), LoadOverage: s.Bounds.LoadOverage,
	})
	h.exchange.AddPart(h.orders)
	h.exchange.ServePlacement(h.orders.Place)
}

func (h *host) listen() ([]suture.Service, error) {
	var servers []suture.Service
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		idle          func() time.Duration
	}{
		{"callers", h.settings.Listen.Callers, h.adapter.Callers(h.forwarder), h.idleLimit},
		{"readiness", h.settings.Listen.Readiness, h.adapter.Readiness(h.ready), nil},
		{"peers", h.settings.Listen.Peers, h.exchange.Handler(), nil},
		{"metrics", h.settings.Listen.Metrics, h.metricsHandler(), nil},
	} {
		listener, err := upstream.Listen(context.Background(), l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s for %s; free the address or change the settings", l.address, l.name)
		}
		server := httpserver.New(httpserver.Config{Name: l.name, Listener: listener, Handler: l.handler, Idle: l.idle})
		if l.name == "callers" {
			h.callers = server
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// idleLimit is how long a caller's connection may stay without request.
func (h *host) idleLimit() time.Duration {
	if config := h.source.Current(); config != nil && config.Limits().IdleTimeout > 0 {
		return config.Limits().IdleTimeout
	}
	return idleDefault
}

// ready reports whether the balancer should send callers here.
func (h *host) ready() bool { return !h.leaving.Load() && h.source.Current() != nil }

func (h *host) registry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), h.logs.Collector())
	registry.MustRegister(h.adapter.Collectors()...)
	registry.MustRegister(h.forwarder.Collectors()...)
	registry.MustRegister(h.orders.Collectors()...)
	return registry
}

func logEvent(event suture.Event) {
	logrus.WithField("event", event.String()).Warn("part of the host failed; it is started again")
}

// run serves until a signal ends it.
func (h *host) run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := h.tree.ServeBackground(ctx)
	logrus.WithFields(logrus.Fields{
		"host": h.settings.Host.Name, "zone": h.settings.Host.Zone, "callers": h.settings.Listen.Callers,
		"first_start": h.settings.FirstStart,
	}).Info("serving")
	for {
		select {
		case err := <-ended:
			return errors.Wrap(err, "supervisor tree ended")
		case received := <-signals:
			if received == syscall.SIGHUP {
				h.reload()
				continue
			}
			logrus.WithField("signal", received.String()).Info("stopping")
			h.shutdown(ctx)
			cancel()
			<-ended
			logrus.Info("stopped")
			return nil
		}
	}
}

// reload takes over what of the settings may change while the host runs. A
// file that can't be read leaves the old settings in force.
func (h *host) reload() {
	loaded, err := settings.LoadEdge(h.path)
	if err != nil {
		logrus.WithError(err).Error("settings not reloaded; the old ones stay in force")
		return
	}
	h.applyLog(&loaded)
	logrus.WithField("log_level", loaded.Log.Level).Info("settings reloaded")
}

const (
	// balancerDelay is how long new requests still come after the host says
	// that it is not ready: two questions at one second, and their way.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is left of the grace time for the process to end by itself.
	stopMargin = 400 * time.Millisecond
)

// shutdown makes the host leave without cutting a request: the balancer is
// told first, then the listener closes, and running requests end.
func (h *host) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Bounds.Grace.Std()-stopMargin)
	defer cancel()
	h.leaving.Store(true)
	h.callers.Drain()
	select {
	case <-ctx.Done():
	case <-time.After(balancerDelay):
	}
	h.callers.StopAccepting(ctx)
}

package daemon

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/thejerf/suture/v4"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/admin"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/decisions"
	"bilberryslip.example/bilberryslip/internal/demand"
	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/httpserver"
	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/membership"
	"bilberryslip.example/bilberryslip/internal/netmeter"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/peer"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/internal/shares"
	"bilberryslip.example/bilberryslip/internal/supervise"
)

// host is an entry host with all its components.
type host struct {
	settings    *settings.Settings
	sockets     *listeners
	incarnation string
	*shutdownTrigger

	platform   *objectstore.Client
	pool       *peer.Pool
	members    *membership.Service
	directory  *directory
	log        *config.Log
	recorder   *decisions.Recorder
	endpoints  *endpoint.Registry
	lease      *lease.Lease
	owner      *owner.Owner
	shares     *shares.Service
	claimStore *claims.Store
	demand     *demand.Tracker
	gateway    *gateway.Gateway
	callers    *httpserver.Server
	stop       *drain.Stop

	ready *readiness
	dump  *stateDump
	tree  *suture.Supervisor
}

// newHost builds all components of a host without starting them.
func newHost(s *settings.Settings, sockets *listeners) (*host, error) {
	h := &host{
		settings: s, sockets: sockets, incarnation: newIncarnation(), shutdownTrigger: newShutdownTrigger(),
		stop: drain.New(drain.Config{Clock: clock.Boot}),
	}
	if err := h.buildPlatform(); err != nil {
		return nil, err
	}
	if err := h.buildMembership(); err != nil {
		return nil, err
	}
	h.buildDecisions()
	h.buildEndpoints()
	h.buildLimits()
	h.buildGateway()
	h.ready = newReadiness(h.log.Ready, h.stop.Ready)
	h.dump = h.newDump()
	if err := h.buildTree(); err != nil {
		return nil, err
	}
	return h, nil
}

// newIncarnation returns a random identifier of this process. It is short
// because gossip messages repeat it for each host that they describe.
func newIncarnation() string {
	const base = 36
	return strconv.FormatUint(rand.Uint64(), base)
}

func (h *host) buildPlatform() error {
	token, err := readSecret(h.settings.Platform.TokenFile)
	if err != nil {
		return err
	}
	h.platform = objectstore.NewClient(objectstore.ClientConfig{
		Addresses:    h.settings.Platform.Addresses,
		Token:        token,
		CallTimeout:  h.settings.Platform.CallTimeout.Std(),
		WatchTimeout: h.settings.Platform.WatchTimeout.Std(),
	})
	return nil
}

func (h *host) buildMembership() error {
	secret, err := readSecret(h.settings.Peers.SecretFile)
	if err != nil {
		return err
	}
	h.pool = peer.NewPool(peer.PoolConfig{Secret: secret})
	url := h.settings.Peers.URL
	if url == "" {
		url = "http://" + h.sockets.peers.Addr().String()
	}
	var seeds []string
	for _, static := range h.settings.Peers.Static {
		seeds = append(seeds, static.URL)
	}
	self := membership.Host{Name: h.settings.Host.Name, Incarnation: h.incarnation, Zone: h.settings.Host.Zone, PeerURL: url}
	h.members = membership.NewService(membership.ServiceConfig{
		Table:    membership.NewTable(membership.TableConfig{Self: self, Seeds: seeds}),
		Peers:    h.pool,
		Lister:   h.platform,
		Interval: h.settings.Peers.GossipInterval.Std(),
	})
	h.directory = &directory{members: h.members, pool: h.pool}
	h.log = config.NewLog(config.LogConfig{Store: h.platform, Peers: h.directory})
	h.members.ReportRevision(func() int64 { return h.log.Current().Revision() })
	h.members.Extend(&revisionHints{h.log})
	return nil
}

func (h *host) buildDecisions() {
	h.recorder = decisions.New(decisions.Config{
		Host: h.settings.Host.Name, Zone: h.settings.Host.Zone, Store: h.platform,
	})
}

func (h *host) buildEndpoints() {
	h.endpoints = endpoint.NewRegistry(endpoint.Config{
		Source:        h.log,
		Zone:          h.settings.Host.Zone,
		PollInterval:  h.settings.Endpoints.ReportInterval.Std(),
		HealthTimeout: h.settings.Endpoints.HealthTimeout.Std(),
	})
	h.lease = lease.New(lease.Config{
		Store: h.platform, Name: owner.LeaseName(h.settings.Host.Zone), Host: h.settings.Host.Name,
		Incarnation: h.incarnation, Duration: h.settings.Placement.Lease.Std(),
	})
	h.demand = demand.New(demand.Config{
		Zone:     h.settings.Host.Zone,
		Local:    h.localDemand,
		OwnerURL: h.ownerURL,
	})
	h.members.Extend(h.demand)
	h.owner = owner.New(owner.Config{
		Host: h.settings.Host.Name, Incarnation: h.incarnation, Zone: h.settings.Host.Zone,
		Store: h.platform, Source: h.log, Endpoints: h.endpoints, Lease: h.lease, Recorder: h.recorder,
		Demand: ownerDemand(h.demand),
		WeightStoreLimits: owner.WeightStoreLimits{
			LoadsPerSecond:       h.settings.Placement.LoadsPerSecond,
			ParallelLoads:        h.settings.Placement.ParallelLoads,
			ParallelAdapterLoads: h.settings.Placement.ParallelAdapterLoads,
		},
		Interval: h.settings.Placement.Interval.Std(),
	})
}

// ownerURL returns the peer URL of the zone's placement owner, unless that is
// this host.
func (h *host) ownerURL() string {
	holder := h.lease.Status().Holder
	if holder == "" || holder == h.settings.Host.Name {
		return ""
	}
	url, err := h.directory.url(holder)
	if err != nil {
		return ""
	}
	return url
}

func (h *host) buildTree() error {
	secret, err := readSecret(h.settings.Peers.SecretFile)
	if err != nil {
		return err
	}
	h.callers = h.tlsServer("callers", h.sockets.callers, ensureFreshConfig(h.log, h.gateway.Handler()), h.stop)
	control := &selfControl{dump: h.dump, requestShutdown: h.requestShutdown}
	h.tree = supervise.NewTree("bilberryslipd", []supervise.Branch{
		{Name: "platform", Services: []suture.Service{h.log}},
		{Name: "peers", Services: []suture.Service{h.members, h.server("peers", h.sockets.peers, h.peerHandler(secret, control))}},
		{Name: "endpoints", Services: []suture.Service{h.endpoints}},
		{Name: "placement", Services: []suture.Service{h.lease, h.owner, h.recorder}},
		{Name: "limits", Services: []suture.Service{h.shares, h.claimStore}},
		{Name: "gateway", Services: []suture.Service{h.gateway, h.callers}},
		{Name: "admin", Services: []suture.Service{h.tlsServer("operators", h.sockets.operators, h.adminHandler(control), nil)}},
		{Name: "debug", Services: []suture.Service{h.server("debug", h.sockets.debug, newDebugHandler(h.ready, h.metrics(), h.dump))}},
	}, h.ready.onEvent)
	return nil
}

func (h *host) peerHandler(secret string, control *selfControl) http.Handler {
	query := &decisionQuery{h.recorder}
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix, peer.NewServer(secret, peer.Handlers{
		Gossip: h.members, Lender: h.shares, Changes: &changeSource{h.log},
		Decisions: query, State: peerControl{control}, Drainer: peerControl{control},
	}))
	return mux
}

func (h *host) adminHandler(control *selfControl) http.Handler {
	var operators []admin.Operator
	for _, o := range h.settings.Operators {
		operators = append(operators, admin.Operator{Name: o.Name, TokenSHA256: o.TokenSHA256})
	}
	server := admin.NewServer(admin.Config{
		Host: h.settings.Host.Name, Log: h.log, Peers: h.directory, Decisions: &decisionQuery{h.recorder},
		Membership:   &adminMembership{members: h.members, log: h.log, now: time.Now},
		Self:         control,
		Forgetter:    forgetter{h.shares, h.owner},
		Availability: h.platform.Availability,
	})
	mux := http.NewServeMux()
	mux.Handle(apiv1.AdminPathPrefix, admin.RequireOperator(operators, apiv1.NewAdminServer(server)))
	return mux
}

// metrics returns a registry with the metrics of all components.
func (h *host) metrics() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(invariant.Collector(), netmeter.Collector(), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(httpserver.Collectors()...)
	registry.MustRegister(h.stop)
	for _, component := range []interface{ Collectors() []prometheus.Collector }{
		h.platform, h.log, h.recorder, h.endpoints, h.owner, h.shares, h.claimStore, h.gateway,
	} {
		registry.MustRegister(component.Collectors()...)
	}
	return registry
}

// seed derives a seed from the host's name, so that hosts make different random
// choices.
func (h *host) seed() uint64 { return xxhash.Sum64String(h.settings.Host.Name) }

// ageMillis returns the time since t in milliseconds, or -1 if t is zero.
func ageMillis(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

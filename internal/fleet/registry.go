package fleet

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

const (
	// maxCachedSegments bounds the prompt segments that are recorded as cached
	// for one endpoint; an engine caches some tens of long ones.
	maxCachedSegments = 256
	// observationTTL is how long an observation of an endpoint's models overrides
	// its own description.
	observationTTL = 4 * time.Second
)

// Config configures a Registry.
type Config struct {
	// Host is this host's name.
	Host string
	// Zone is this host's availability zone, whose endpoints are preferred.
	Zone string
	// Ejector configures outlier ejection. The zero value means
	// endpoint.DefaultEjectorConfig.
	Ejector endpoint.EjectorConfig
	// Clock returns the current time. Nil means time.Now.
	Clock func() time.Time
	// Evacuated reports whether an availability zone is evacuated: its endpoints get no
	// requests. It must not call the Registry. Nil means that no zone ever is.
	Evacuated func(zone string) bool
	// ColdStart returns the cold start of a service's endpoints. It must not call the
	// Registry. Nil means that no service has cold endpoints.
	ColdStart func(service string) ColdStart
	// OnVanished is called with each endpoint whose entry is removed or replaced by
	// that of another incarnation although it had not announced its shutdown. It must
	// not call the Registry. Nil does nothing.
	OnVanished func(Endpoint)
}

// member is one endpoint in the Registry.
type member struct {
	Endpoint
	// removedAt is when the endpoint was delisted; zero while listed.
	removedAt time.Time
	// suspended is set while the endpoint's entry can't be used; see Suspend.
	suspended bool
	// seenInEra is the store's era in which the entry was last read.
	seenInEra int64
	// running counts this host's requests there. unreadTokens is the number of
	// prompt tokens to be processed for those whose response has not started.
	running      int
	unreadTokens int
	// load is the last load reported by the endpoint, at loadAt.
	load   Load
	loadAt time.Time
	// runningAtLoad is the value of running when load was reported.
	runningAtLoad int
	// segments are the prompt segments that this host has sent there, by
	// segmentKey.
	segments *lru.Cache[string, struct{}]
	// observations override the endpoint's own description until they expire.
	observations map[item]observation
	// penalty is the number of this host's recent failures there, decaying with
	// time. It is updated for each choice.
	penalty float64
	// announcedLeaving is set once a response to this host announced the endpoint's
	// shutdown.
	announcedLeaving bool
	// limit is the limit that the endpoint names.
	limit memberLimit
	// cold is what is known of the endpoint's cold start.
	cold memberCold
	// brittle is what is known of the endpoint if its service is brittle.
	brittle memberBrittle
	// backoffUntil is until when the endpoint asked this host to send no request.
	backoffUntil time.Time
}

// item is a model, or an adapter of it.
type item struct{ model, adapter string }

// observation is whether an endpoint holds an item, from another source than its
// own description.
type observation struct {
	held  bool
	until time.Time
}

// Registry tracks the listed endpoints, the requests that run there and their
// outcomes, and chooses the endpoint for each attempt. It implements
// exchange.Participant and is safe for concurrent use.
type Registry struct {
	config Config

	mu      sync.Mutex
	members map[string]*member
	ejector *endpoint.Ejector
	// store is when the store was available, departures which incarnations have ended.
	// relistAt is when the entries are listed again if some are held back.
	store      storeState
	departures departures
	relistAt   time.Time
	// peers is the load of each peer, peerTotals the sum by endpoint ID.
	peers      map[string]peerLoad
	peerTotals map[string]endpointWork
	// hosts are the names of the peers that limits of endpoints are divided among.
	// limitSettle is how long hosts take to learn of a limit and of each other's demand.
	hosts       []string
	limitSettle time.Duration
	speeds      speeds
	sampler     sampler
	// unreachable are those of the hosts that don't report, and reportInterval is the
	// time between two reports to a peer.
	unreachable    []string
	reportInterval time.Duration
	cold           coldRegistry
	// brittle are the services that are brittle, or were.
	brittle map[string]*brittleService
}

// NewRegistry returns a Registry without endpoints.
func NewRegistry(cfg Config) *Registry {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.OnVanished == nil {
		cfg.OnVanished = func(Endpoint) {}
	}
	if cfg.Evacuated == nil {
		cfg.Evacuated = func(string) bool { return false }
	}
	if cfg.ColdStart == nil {
		cfg.ColdStart = func(string) ColdStart { return ColdStart{} }
	}
	if cfg.Ejector == (endpoint.EjectorConfig{}) {
		cfg.Ejector = endpoint.DefaultEjectorConfig()
	}
	return &Registry{
		config: cfg, members: make(map[string]*member), ejector: endpoint.NewEjector(cfg.Ejector),
		peers: make(map[string]peerLoad), peerTotals: make(map[string]endpointWork),
		limitSettle: exchange.MaxSettleTime, speeds: newSpeeds(), sampler: sampler{state: xxhash.Sum64String(cfg.Host)},
		cold: newColdRegistry(cfg.Clock()), brittle: make(map[string]*brittleService),
	}
}

// holds reports whether an endpoint holds a model and adapter, by unexpired
// observations or else by its own description.
func (m *member) holds(now time.Time, model, adapter string) bool {
	if model == "" {
		return true
	}
	held := m.Holds(model, "")
	if o, ok := m.observations[item{model, ""}]; ok && now.Before(o.until) {
		held = o.held
	}
	if !held || adapter == "" {
		return held
	}
	if o, ok := m.observations[item{model, adapter}]; ok && now.Before(o.until) {
		return o.held
	}
	return m.Holds(model, adapter)
}

// RecordHeld records that an endpoint holds a model or adapter, or doesn't, from
// another source than its description, such as an order or a rejected request.
// For observationTTL, this overrides the description.
func (r *Registry) RecordHeld(id, model, adapter string, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[id]; ok {
		m.observations[item{model, adapter}] = observation{held: held, until: r.config.Clock().Add(observationTTL)}
	}
}

// HoldsModel reports whether an endpoint that gets new requests holds a model.
func (r *Registry) HoldsModel(service, model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	for _, m := range r.members {
		if m.Service == service && r.usable(m, now) && !r.config.Evacuated(m.Zone) && m.holds(now, model, "") {
			return true
		}
	}
	return false
}

// Evacuated reports whether a zone is evacuated, so that its endpoints get nothing.
func (r *Registry) Evacuated(zone string) bool { return r.config.Evacuated(zone) }

// Start chooses an endpoint for the work and counts the work as running there.
// The caller must call Finish on the returned attempt. If no endpoint is
// suitable, it returns nil and the reason.
func (r *Registry) Start(work Work) (*Attempt, Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	r.refreshSpeeds(now)
	r.refreshCold(now)
	r.recordBrittleDemand(work.Service, now)
	var limited []*member
	for {
		candidates, reason := r.candidates(work, now, limited)
		if reason != ReasonNone {
			return nil, reason
		}
		candidates, passed := r.splitLimited(candidates, now)
		if len(candidates) == 0 {
			limited = append(limited, r.passOver(passed, math.Inf(1), work, now)...)
			continue
		}
		chosen := r.cheapest(candidates, work)
		if chosen.takeLimit(now) {
			if len(passed) > 0 {
				c := candidate{member: chosen, now: now, peers: r.peerTotals[chosen.ID]}
				r.passOver(passed, r.cost(&c, &work), work, now)
			}
			return r.start(chosen, work), ReasonNone
		}
		limited = append(limited, chosen)
	}
}

// candidates returns the endpoints to choose from, or the reason why there are
// none: those not ejected that the request has not tried, or else all not
// ejected, or else all that hold the model and adapter, of the required software. Those in limited are left out.
func (r *Registry) candidates(work Work, now time.Time, limited []*member) ([]candidate, Reason) {
	r.sweep(now)
	ejected := r.ejector.Ejected(now)
	var holding, healthy, untried []candidate
	reason := ReasonNoEndpoint
	backoff, otherSoftware, evacuated, unsettled := false, false, false, false
	for _, m := range r.members {
		if m.Service != work.Service || !r.usable(m, now) {
			continue
		}
		if work.Software != "" && m.Software != work.Software {
			otherSoftware = true
			continue
		}
		if r.config.Evacuated(m.Zone) {
			evacuated = true
			continue
		}
		if !m.holds(now, work.Model, work.Adapter) {
			reason = notHeldReason(reason, m.holds(now, work.Model, ""))
			continue
		}
		if work.Software == "" && work.BeginAt != nil && !slices.Contains(work.BeginAt, m.Software) {
			unsettled = true
			continue
		}
		if now.Before(m.backoffUntil) || slices.Contains(limited, m) {
			backoff = true
			continue
		}
		m.penalty = r.ejector.Penalty(now, m.ID)
		c := candidate{member: m, now: now, peers: r.peerTotals[m.ID]}
		holding = append(holding, c)
		if !ejected[m.ID] {
			healthy = append(healthy, c)
			if !slices.Contains(work.Tried, m.ID) {
				untried = append(untried, c)
			}
		}
	}
	for _, list := range [][]candidate{untried, healthy, holding} {
		if len(list) > 0 {
			return list, ReasonNone
		}
	}
	switch {
	case backoff:
		reason = ReasonBackoff
	case unsettled:
		reason = ReasonSoftwareUnsettled
	case evacuated && reason == ReasonNoEndpoint:
		reason = ReasonZoneEvacuated
	case otherSoftware && reason == ReasonNoEndpoint:
		reason = ReasonOtherSoftware
	}
	return nil, reason
}

// notHeldReason returns the reason after one more endpoint that lacks the model
// or adapter. The endpoint that came closest determines it.
func notHeldReason(reason Reason, holdsModel bool) Reason {
	if holdsModel {
		return ReasonAdapterNotHeld
	}
	if reason == ReasonNoEndpoint {
		return ReasonModelNotHeld
	}
	return reason
}

func (r *Registry) start(m *member, work Work) *Attempt {
	tokens := uncachedTokens(work, m, false)
	pace := pace{model: work.Model, startedAt: r.config.Clock(), queued: m.load.Waiting > 0}
	m.running++
	m.unreadTokens += tokens
	for _, segment := range work.PromptSegments {
		m.segments.Add(segmentKey(work, segment), struct{}{})
	}
	return &Attempt{registry: r, member: m, Endpoint: m.Endpoint, unread: tokens, pace: pace}
}

// SoftwareVersions returns the software versions by service of the endpoints that are
// listed, or still usable since an outage of the store may have delisted them.
func (r *Registry) SoftwareVersions() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	versions := make(map[string][]string)
	for _, m := range r.members {
		if (m.removedAt.IsZero() || r.usable(m, now)) && !slices.Contains(versions[m.Service], m.Software) {
			versions[m.Service] = append(versions[m.Service], m.Software)
		}
	}
	return versions
}

// Endpoints returns the descriptions of all listed endpoints whose entries can be used,
// sorted by ID.
func (r *Registry) Endpoints() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Endpoint, 0, len(r.members))
	for _, m := range r.members {
		if m.removedAt.IsZero() && !m.suspended {
			list = append(list, m.Endpoint)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/endpoint"
)

const (
	// partsRemembered bounds the prompt parts remembered for one endpoint; an
	// engine keeps some tens of long ones.
	partsRemembered = 256
	// returnGrace is how long an endpoint that vanished while the store was
	// away may still be used: live ones are listed again within it.
	returnGrace = 2 * time.Second
	// claimLife is how long what was learnt of an endpoint's models beside
	// its own description holds against it.
	claimLife = 4 * time.Second
)

// Config sets a Registry.
type Config struct {
	// Zone is this host's availability zone, whose endpoints come first.
	Zone string
	// Ejector defaults to endpoint.DefaultEjectorConfig.
	Ejector endpoint.EjectorConfig
	// Clock defaults to time.Now.
	Clock func() time.Time
}

// member is an endpoint with what this host knows of it.
type member struct {
	Endpoint
	// gone is when the endpoint vanished from the list; zero while listed.
	gone time.Time
	// running counts this host's requests there, unreadTokens the prompt
	// tokens of those that have no first event yet.
	running      int
	unreadTokens int
	load         Load
	loadAt       time.Time
	// runningAtLoad is what this host had running when the load was told.
	runningAtLoad int
	// parts are those that this host has sent there.
	parts *lru.Cache[string, struct{}]
	// claims are what was learnt of models and adapters beside the
	// endpoint's own description.
	claims  map[item]claim
	penalty float64
}

type item struct{ model, adapter string }

type claim struct {
	held  bool
	until time.Time
}

// Registry knows all endpoints. It is safe for concurrent use.
type Registry struct {
	config Config

	mu      sync.Mutex
	members map[string]*member
	ejector *endpoint.Ejector
	// storeLost tells that the list is not followed at the moment, and
	// regained when it was last followed again.
	storeLost bool
	regained  time.Time
	// hosts is what each other host has running, others the sum by endpoint.
	hosts  map[string]hostLoad
	others map[string]hostWork
}

// NewRegistry returns a registry that knows no endpoint.
func NewRegistry(cfg Config) *Registry {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Ejector == (endpoint.EjectorConfig{}) {
		cfg.Ejector = endpoint.DefaultEjectorConfig()
	}
	return &Registry{
		config: cfg, members: make(map[string]*member), ejector: endpoint.NewEjector(cfg.Ejector),
		hosts: make(map[string]hostLoad), others: make(map[string]hostWork),
	}
}

// Replace takes over a whole list.
func (r *Registry) Replace(endpoints []Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
		r.put(endpoints[i])
	}
	for id := range r.members {
		if !listed[id] {
			r.remove(id)
		}
	}
}

// Put takes over one endpoint's description.
func (r *Registry) Put(e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(e)
}

func (r *Registry) put(e Endpoint) {
	known, ok := r.members[e.ID]
	if ok && known.sameStart(&e) {
		if !known.Leaving && e.Leaving {
			r.logChange("endpoint leaves", &e)
		}
		// A description that was written earlier may arrive later.
		e.Leaving = e.Leaving || known.Leaving
		known.Endpoint = e
		known.gone = time.Time{}
		return
	}
	parts, err := lru.New[string, struct{}](partsRemembered)
	if err != nil {
		panic(err) // only for a size below one
	}
	r.members[e.ID] = &member{Endpoint: e, parts: parts, claims: make(map[item]claim)}
	r.ejector.Remove(e.ID)
	r.ejector.Add(e.ID, e.Service)
	r.logChange("endpoint listed", &e)
}

func (r *Registry) logChange(event string, e *Endpoint) {
	logrus.WithFields(logrus.Fields{
		"endpoint": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "models": len(e.Models),
	}).Info(event)
}

// Remove notes that an endpoint is not listed any more.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id)
}

func (r *Registry) remove(id string) {
	known, ok := r.members[id]
	if !ok || !known.gone.IsZero() {
		return
	}
	known.gone = r.config.Clock()
	r.logChange("endpoint vanished", &known.Endpoint)
}

// StoreLost notes that the list is not followed at the moment.
func (r *Registry) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
}

// StoreRegained notes that the list is followed again.
func (r *Registry) StoreRegained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeLost {
		r.storeLost, r.regained = false, r.config.Clock()
	}
}

// usable reports whether an endpoint may get new work. One that vanished is
// given time to come back only where the store's outage may be the cause.
func (r *Registry) usable(m *member, now time.Time) bool {
	if m.Leaving {
		return false
	}
	if m.gone.IsZero() {
		return true
	}
	lapsed := r.storeLost || m.gone.Sub(r.regained) < returnGrace
	return lapsed && (r.storeLost || now.Sub(r.regained) < returnGrace)
}

// sweep forgets endpoints that are gone for good and run nothing.
func (r *Registry) sweep(now time.Time) {
	for id, m := range r.members {
		if !m.gone.IsZero() && m.running == 0 && !r.usable(m, now) {
			delete(r.members, id)
			r.ejector.Remove(id)
		}
	}
}

// holds reports whether an endpoint holds a model and adapter, by its own
// description or by what was learnt since.
func (m *member) holds(now time.Time, model, adapter string) bool {
	if model == "" {
		return true
	}
	held := m.Holds(model, "")
	if c, ok := m.claims[item{model, ""}]; ok && now.Before(c.until) {
		held = c.held
	}
	if !held || adapter == "" {
		return held
	}
	if c, ok := m.claims[item{model, adapter}]; ok && now.Before(c.until) {
		return c.held
	}
	return m.Holds(model, adapter)
}

// Learn notes that an endpoint holds a model or adapter, or doesn't, from
// another source than its description.
func (r *Registry) Learn(id, model, adapter string, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.members[id]; ok {
		m.claims[item{model, adapter}] = claim{held: held, until: r.config.Clock().Add(claimLife)}
	}
}

// Held reports whether an endpoint that takes work holds a model.
func (r *Registry) Held(service, model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	for _, m := range r.members {
		if m.Service == service && r.usable(m, now) && m.holds(now, model, "") {
			return true
		}
	}
	return false
}

// Start chooses an endpoint for the work and enters the work in its accounts.
func (r *Registry) Start(work Work) (*Attempt, Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	candidates, reason := r.candidates(work, now)
	if reason != ReasonNone {
		return nil, reason
	}
	chosen := cheapest(candidates, work, r.config.Zone)
	return r.start(chosen, work), ReasonNone
}

func (r *Registry) candidates(work Work, now time.Time) ([]candidate, Reason) {
	r.sweep(now)
	ejected := r.ejector.Ejected(now)
	var holding, sound, untried []candidate
	reason := ReasonNoEndpoint
	for _, m := range r.members {
		if m.Service != work.Service || !r.usable(m, now) {
			continue
		}
		if !m.holds(now, work.Model, work.Adapter) {
			reason = missing(reason, m.holds(now, work.Model, ""))
			continue
		}
		m.penalty = r.ejector.Penalty(now, m.ID)
		c := candidate{member: m, now: now, others: r.others[m.ID]}
		holding = append(holding, c)
		if !ejected[m.ID] {
			sound = append(sound, c)
			if !slices.Contains(work.Tried, m.ID) {
				untried = append(untried, c)
			}
		}
	}
	for _, list := range [][]candidate{untried, sound, holding} {
		if len(list) > 0 {
			return list, ReasonNone
		}
	}
	return nil, reason
}

// missing returns the reason that tells most of why no endpoint is chosen.
func missing(reason Reason, holdsModel bool) Reason {
	if holdsModel {
		return ReasonAdapterNotHeld
	}
	if reason == ReasonNoEndpoint {
		return ReasonModelNotHeld
	}
	return reason
}

func (r *Registry) start(m *member, work Work) *Attempt {
	tokens := unread(work, m, false)
	m.running++
	m.unreadTokens += tokens
	for _, part := range work.Parts {
		m.parts.Add(partKey(work, part), struct{}{})
	}
	return &Attempt{registry: r, member: m, Endpoint: m.Endpoint, unread: tokens}
}

// Endpoints returns the descriptions of all listed endpoints.
func (r *Registry) Endpoints() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Endpoint, 0, len(r.members))
	for _, m := range r.members {
		if m.gone.IsZero() {
			list = append(list, m.Endpoint)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

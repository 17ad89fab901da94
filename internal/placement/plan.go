package placement

import (
	"cmp"
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Plan returns the steps that this zone's owner should take now, most urgent
// first. It is advice: the owner checks each step against the newest account
// before it commits it. Loads beyond the budget are left for later plans, but
// their memory is set aside, so that less urgent loads don't take it.
func Plan(in *Input) []Step {
	p := newPlanner(in)
	p.removeUnconfigured()
	p.placeUnreachable()
	p.switchVersions()
	p.placeMinimum()
	p.placeWanted()
	p.placeAdapters()
	p.placeSecond()
	p.spreadLoad()
	p.spreadFree()
	return p.steps
}

// node is an endpoint of the planned zone while a plan is made.
type node struct {
	*Endpoint
	// free is the model memory that is free, or will be once unloads that
	// are under way are done, less what the plan set aside.
	free int64
	// freeNow is the model memory that a load may take at once.
	freeNow        int64
	freeAdapter    int64
	freeAdapterNow int64
	// items is the plan's view of what the endpoint holds.
	items map[Item]Holding
	// load is the projected demand on the endpoint, in tokens per second.
	load float64
}

// release notes that the item's memory will be free.
func (n *node) release(item Item, bytes int64) {
	if item.IsAdapter() {
		n.freeAdapter += bytes
		return
	}
	n.free += bytes
}

func (n *node) orderable() bool { return n.Orderable && n.Serves() }

// placed is a model with its replicas while a plan is made.
type placed struct {
	*Model
	item Item
	// here are the zone's endpoints that hold or are loading the serving
	// version and are to keep it.
	here []*node
	// old are the zone's serving replicas of other versions.
	old []oldReplica
	// there are the other zones' endpoints that hold or are loading it.
	there []*node
	// readyThere tells whether one of them is ready, keeperReady whether one
	// of the keeper zone is, and oldReady whether any zone has another
	// version ready.
	readyThere  bool
	oldReady    bool
	keeper      string
	keeperReady bool
	adapters    []*Adapter
}

type oldReplica struct {
	node *node
	item Item
}

type planner struct {
	in     *Input
	tuning Tuning
	nodes  []*node
	// remote are the endpoints of other zones that serve.
	remote []*node
	models []*placed
	byName map[string]*placed
	zones  []zoneRoom
	budget Budget
	// waiting counts the loads that wait for memory or for the budget.
	waiting int
	steps   []Step
}

func newPlanner(in *Input) *planner {
	p := &planner{
		in:     in,
		tuning: in.Tuning.withDefaults(),
		byName: make(map[string]*placed, len(in.Models)),
		budget: in.Budget,
	}
	p.indexZones()
	p.indexModels()
	for i := range in.Endpoints {
		p.indexEndpoint(&in.Endpoints[i])
	}
	p.projectLoad()
	return p
}

func (p *planner) indexZones() {
	for i := range p.in.Endpoints {
		p.zones = addRoom(p.zones, &p.in.Endpoints[i])
	}
}

func (p *planner) indexModels() {
	p.models = make([]*placed, 0, len(p.in.Models))
	for i := range p.in.Models {
		model := &p.in.Models[i]
		m := &placed{
			Model:  model,
			item:   Item{Model: model.Name, Version: model.Version},
			keeper: keeperZone(model, p.zones),
		}
		p.models = append(p.models, m)
		p.byName[model.Name] = m
	}
	for i := range p.in.Adapters {
		if m := p.byName[p.in.Adapters[i].Model]; m != nil {
			m.adapters = append(m.adapters, &p.in.Adapters[i])
		}
	}
}

func (p *planner) indexEndpoint(endpoint *Endpoint) {
	if endpoint.Zone != p.in.Zone {
		p.indexElsewhere(endpoint)
		return
	}
	account := &endpoint.Account
	n := &node{Endpoint: endpoint, items: make(map[Item]Holding, len(account.Items)+4)}
	n.freeNow = account.Limits.ModelBytes - account.Models
	n.freeAdapterNow = account.Limits.AdapterBytes - account.Adapter
	n.free, n.freeAdapter = n.freeNow, n.freeAdapterNow
	for item, holding := range account.Items {
		n.items[item] = holding
		if holding.Going || holding.State == engineapi.ItemUnloading {
			n.release(item, holding.Bytes)
		}
		p.indexHolding(n, item, holding)
	}
	p.nodes = append(p.nodes, n)
}

func (p *planner) indexHolding(n *node, item Item, holding Holding) {
	m := p.byName[item.Model]
	if m == nil || item.IsAdapter() || !n.Serves() || !holding.Present() {
		return
	}
	if item == m.item {
		m.here = append(m.here, n)
		return
	}
	if holding.State == engineapi.ItemReady {
		m.old = append(m.old, oldReplica{n, item})
		m.oldReady = true
	}
}

func (p *planner) indexElsewhere(endpoint *Endpoint) {
	if !endpoint.Serves() {
		return
	}
	n := &node{Endpoint: endpoint, items: endpoint.Account.Items}
	p.remote = append(p.remote, n)
	for item, holding := range endpoint.Account.Items {
		m := p.byName[item.Model]
		if m == nil || item.IsAdapter() || !holding.Present() {
			continue
		}
		ready := holding.State == engineapi.ItemReady
		if item != m.item {
			m.oldReady = m.oldReady || ready
			continue
		}
		m.there = append(m.there, n)
		m.readyThere = m.readyThere || ready
		m.keeperReady = m.keeperReady || (ready && endpoint.Zone == m.keeper)
	}
}

func (p *planner) projectLoad() {
	for _, m := range p.models {
		// The endpoints were visited in the input's order, items were not.
		slices.SortFunc(m.here, func(a, b *node) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(m.old, func(a, b oldReplica) int {
			return cmp.Or(cmp.Compare(a.node.Name, b.node.Name), cmp.Compare(a.item.Version, b.item.Version))
		})
		m.addLoad(m.share())
	}
}

// share is the demand that each of the model's replicas takes, in tokens per
// second: requests go to the replicas of all zones.
func (m *placed) share() float64 {
	return m.Demand / float64(max(1, m.replicas()))
}

// addLoad adds to the load of each endpoint that holds the model.
func (m *placed) addLoad(tokensPerSecond float64) {
	for _, n := range m.here {
		n.load += tokensPerSecond
	}
	for _, n := range m.there {
		n.load += tokensPerSecond
	}
}

// secure counts the zone's replicas of the serving version that are ready and
// stay, without the node given.
func (m *placed) secure(without *node) int {
	count := 0
	for _, n := range m.here {
		if n != without && n.Accounted && n.items[m.item].Secure() {
			count++
		}
	}
	return count
}

// replicas counts the replicas over all zones, those under way included.
func (m *placed) replicas() int { return len(m.here) + len(m.there) }

func (m *placed) full() bool { return m.MaxReplicas > 0 && m.replicas() >= m.MaxReplicas }

func (m *placed) allows(n *node) bool {
	return (len(m.Pools) == 0 || slices.Contains(m.Pools, n.Pool)) && m.Bytes <= n.Account.Limits.ModelBytes
}

// load adds a replica to the plan: its memory is set aside, and the step is
// emitted if memory is free now and the budget allows.
func (p *planner) load(m *placed, n *node, reason Reason) {
	counted := n.items[m.item].Bytes
	needed := max(0, m.Bytes-counted)
	fitsNow := needed <= n.freeNow
	n.free -= needed
	n.freeNow -= needed
	holding := n.items[m.item]
	holding.Coming = true
	holding.Bytes = max(holding.Bytes, m.Bytes)
	n.items[m.item] = holding
	m.addLoad(-m.share())
	m.here = append(m.here, n)
	m.addLoad(m.share())
	if !fitsNow || p.budget.ModelLoads <= 0 {
		p.waiting++
		return
	}
	p.budget.ModelLoads--
	p.emit(Step{
		Endpoint: n.Name, Action: engineapi.ActionLoadModel, Item: m.item,
		Bytes: m.Bytes, Weights: m.Weights, Reason: reason,
	})
}

// unload removes an item from the plan's view. An engine keeps a model while
// it holds adapters of it, so these go first, and the model in a later plan.
func (p *planner) unload(n *node, item Item, reason Reason) {
	holding := n.items[item]
	holding.Going, holding.MayVanish = true, true
	n.items[item] = holding
	n.release(item, holding.Bytes)
	step := Step{Endpoint: n.Name, Action: engineapi.ActionUnloadModel, Item: item, Bytes: holding.Bytes, Reason: reason}
	if item.IsAdapter() {
		step.Action = engineapi.ActionUnloadAdapter
		p.emit(step)
		return
	}
	if m := p.byName[item.Model]; m != nil && item == m.item {
		p.forgetReplica(m, n)
	}
	if n.holdsModel(item.Model) || !p.unloadAdapters(n, item.Model, reason) {
		p.emit(step)
	}
}

// unloadAdapters unloads the model's adapters from the endpoint, and reports
// whether it still has any.
func (p *planner) unloadAdapters(n *node, model string, reason Reason) bool {
	found := false
	for _, item := range sortedItems(n) {
		holding := n.items[item]
		if !item.IsAdapter() || item.Model != model || holding.State == "" {
			continue
		}
		found = true
		if holding.State == engineapi.ItemReady && !holding.Going {
			p.unload(n, item, reason)
		}
	}
	return found
}

func (p *planner) forgetReplica(m *placed, n *node) {
	m.addLoad(-m.share())
	m.here = slices.DeleteFunc(m.here, func(other *node) bool { return other == n })
	m.addLoad(m.share())
}

func (p *planner) emit(step Step) { p.steps = append(p.steps, step) }

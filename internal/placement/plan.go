package placement

import (
	"cmp"
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Plan returns the steps that the zone's owner should take now, most urgent
// first. The steps are proposals: the owner checks each one against the newest
// account before it commits it. Loads beyond the budget are left for later plans,
// but their memory is set aside, so that less urgent loads don't use it.
func Plan(in *Input) []Step {
	p := newPlanner(in)
	p.removeUnconfigured()
	p.placeUnreachable()
	p.switchVersions()
	p.placeMinimum()
	p.placeAdapters()
	p.placeSecondZone()
	p.spreadLoad()
	p.spreadFree()
	return p.steps
}

// node is the planner's state of one endpoint. For endpoints of other zones, the
// fields for free memory are not set.
type node struct {
	*Endpoint
	// free is the model memory in bytes that is free now or after the pending
	// unloads, less the memory that the plan set aside.
	free int64
	// freeNow is the model memory in bytes that a load may use immediately.
	freeNow int64
	// freeAdapter and freeAdapterNow are the same for adapter memory.
	freeAdapter    int64
	freeAdapterNow int64
	// items are the endpoint's items, with the steps of the plan applied.
	items map[Item]ItemStatus
	// load is the projected demand on the endpoint, in tokens per second.
	load float64
}

// addFree adds the memory of an item with a pending unload to the free memory.
func (n *node) addFree(item Item, bytes int64) {
	if item.IsAdapter() {
		n.freeAdapter += bytes
		return
	}
	n.free += bytes
}

// schedulable reports whether the plan may load and unload items on the endpoint.
func (n *node) schedulable() bool { return n.OrdersAllowed && n.Serves() }

// modelState is the planner's state of one model and its replicas.
type modelState struct {
	*Model
	item Item
	// local are the zone's endpoints that have or are loading the serving
	// version, without a pending unload of it.
	local []*node
	// localOld are the zone's ready replicas of other versions.
	localOld []oldReplica
	// remote are the other zones' endpoints that have or are loading the
	// serving version.
	remote []*node
	// remoteReady is set if one of the remote replicas is ready.
	remoteReady bool
	// oldReady is set if another version is ready in any zone.
	oldReady bool
	homeZone string
	// homeReady is set if the home zone is another zone and has a ready
	// replica of the serving version.
	homeReady bool
	adapters  []*Adapter
}

// oldReplica is a replica of a version other than the serving one.
type oldReplica struct {
	node *node
	item Item
}

// planner holds the state of the computation of one plan.
type planner struct {
	in     *Input
	tuning Tuning
	// nodes are the endpoints of the planned zone.
	nodes []*node
	// remoteNodes are the serving endpoints of other zones.
	remoteNodes []*node
	models      []*modelState
	modelByName map[string]*modelState
	zones       []zoneCapacity
	budget      Budget
	// deferredLoads counts the loads left for later plans, for lack of free
	// memory or budget.
	deferredLoads int
	steps         []Step
}

func newPlanner(in *Input) *planner {
	p := &planner{
		in:          in,
		tuning:      in.Tuning.withDefaults(),
		modelByName: make(map[string]*modelState, len(in.Models)),
		budget:      in.Budget,
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
		p.zones = addCapacity(p.zones, &p.in.Endpoints[i])
	}
}

func (p *planner) indexModels() {
	p.models = make([]*modelState, 0, len(p.in.Models))
	for i := range p.in.Models {
		model := &p.in.Models[i]
		m := &modelState{
			Model:    model,
			item:     Item{Model: model.Name, Version: model.Version},
			homeZone: homeZoneOf(model, p.zones),
		}
		p.models = append(p.models, m)
		p.modelByName[model.Name] = m
	}
	for i := range p.in.Adapters {
		if m := p.modelByName[p.in.Adapters[i].Model]; m != nil {
			m.adapters = append(m.adapters, &p.in.Adapters[i])
		}
	}
}

func (p *planner) indexEndpoint(endpoint *Endpoint) {
	if endpoint.Zone != p.in.Zone {
		p.indexRemote(endpoint)
		return
	}
	account := &endpoint.Account
	n := &node{Endpoint: endpoint, items: make(map[Item]ItemStatus, len(account.Items)+4)}
	n.freeNow = account.Limits.ModelBytes - account.CountedModelBytes
	n.freeAdapterNow = account.Limits.AdapterBytes - account.CountedAdapterBytes
	n.free, n.freeAdapter = n.freeNow, n.freeAdapterNow
	for item, status := range account.Items {
		n.items[item] = status
		if status.UnloadPending || status.State == engineapi.ItemUnloading {
			n.addFree(item, status.Bytes)
		}
		p.indexItem(n, item, status)
	}
	p.nodes = append(p.nodes, n)
}

func (p *planner) indexItem(n *node, item Item, status ItemStatus) {
	m := p.modelByName[item.Model]
	if m == nil || item.IsAdapter() || !n.Serves() || !status.Present() {
		return
	}
	if item == m.item {
		m.local = append(m.local, n)
		return
	}
	if status.State == engineapi.ItemReady {
		m.localOld = append(m.localOld, oldReplica{n, item})
		m.oldReady = true
	}
}

func (p *planner) indexRemote(endpoint *Endpoint) {
	if !endpoint.Serves() {
		return
	}
	n := &node{Endpoint: endpoint, items: endpoint.Account.Items}
	p.remoteNodes = append(p.remoteNodes, n)
	for item, status := range endpoint.Account.Items {
		m := p.modelByName[item.Model]
		if m == nil || item.IsAdapter() || !status.Present() {
			continue
		}
		ready := status.State == engineapi.ItemReady
		if item != m.item {
			m.oldReady = m.oldReady || ready
			continue
		}
		m.remote = append(m.remote, n)
		m.remoteReady = m.remoteReady || ready
		m.homeReady = m.homeReady || (ready && endpoint.Zone == m.homeZone)
	}
}

func (p *planner) projectLoad() {
	for _, m := range p.models {
		// Items were visited in the random order of a map; sort for a
		// deterministic plan.
		slices.SortFunc(m.local, func(a, b *node) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(m.localOld, func(a, b oldReplica) int {
			return cmp.Or(cmp.Compare(a.node.Name, b.node.Name), cmp.Compare(a.item.Version, b.item.Version))
		})
		m.addLoad(m.demandPerReplica())
	}
}

// demandPerReplica returns the demand on each of the model's replicas, in tokens
// per second. It is spread over all zones, since requests go to the replicas of
// all zones.
func (m *modelState) demandPerReplica() float64 {
	return m.Demand / float64(max(1, m.replicas()))
}

// addLoad adds the load to each endpoint that has the model.
func (m *modelState) addLoad(tokensPerSecond float64) {
	for _, n := range m.local {
		n.load += tokensPerSecond
	}
	for _, n := range m.remote {
		n.load += tokensPerSecond
	}
}

// stableReplicas counts the zone's replicas of the serving version that are ready
// and that no order in flight can remove, leaving out the given node.
func (m *modelState) stableReplicas(except *node) int {
	count := 0
	for _, n := range m.local {
		if n != except && n.IntentsCounted && n.items[m.item].Stable() {
			count++
		}
	}
	return count
}

// replicas counts the replicas over all zones, including those being loaded.
func (m *modelState) replicas() int { return len(m.local) + len(m.remote) }

func (m *modelState) atMaxReplicas() bool { return m.MaxReplicas > 0 && m.replicas() >= m.MaxReplicas }

// canRunOn reports whether the model's pools and its size allow it on the node.
func (m *modelState) canRunOn(n *node) bool {
	return (len(m.Pools) == 0 || slices.Contains(m.Pools, n.Pool)) && m.Bytes <= n.Account.Limits.ModelBytes
}

// planLoad adds a replica to the plan: it sets the memory aside, and emits the
// step if the memory is free now and the budget allows.
func (p *planner) planLoad(m *modelState, n *node, reason Reason) {
	reserved := n.items[m.item].Bytes
	needed := max(0, m.Bytes-reserved)
	fitsNow := needed <= n.freeNow
	n.free -= needed
	n.freeNow -= needed
	status := n.items[m.item]
	status.LoadPending = true
	status.Bytes = max(status.Bytes, m.Bytes)
	n.items[m.item] = status
	m.addLoad(-m.demandPerReplica())
	m.local = append(m.local, n)
	m.addLoad(m.demandPerReplica())
	if !fitsNow || p.budget.ModelLoads <= 0 {
		p.deferredLoads++
		return
	}
	p.budget.ModelLoads--
	p.emit(Step{
		Endpoint: n.Name, Action: engineapi.ActionLoadModel, Item: m.item,
		Bytes: m.Bytes, Weights: m.Weights, Reason: reason,
	})
}

// planUnload adds an unload of the item to the plan. An engine keeps a model
// while it has adapters of it, so those are unloaded first, and the model in a
// later plan.
func (p *planner) planUnload(n *node, item Item, reason Reason) {
	status := n.items[item]
	status.UnloadPending, status.UnloadInFlight = true, true
	n.items[item] = status
	n.addFree(item, status.Bytes)
	step := Step{Endpoint: n.Name, Action: engineapi.ActionUnloadModel, Item: item, Bytes: status.Bytes, Reason: reason}
	if item.IsAdapter() {
		step.Action = engineapi.ActionUnloadAdapter
		p.emit(step)
		return
	}
	if m := p.modelByName[item.Model]; m != nil && item == m.item {
		p.dropReplica(m, n)
	}
	if n.holdsModel(item.Model) || !p.planAdapterUnloads(n, item.Model, reason) {
		p.emit(step)
	}
}

// planAdapterUnloads plans the unload of the model's adapters from the endpoint,
// and reports whether the endpoint still has any.
func (p *planner) planAdapterUnloads(n *node, model string, reason Reason) bool {
	found := false
	for _, item := range sortedItems(n) {
		status := n.items[item]
		if !item.IsAdapter() || item.Model != model || status.State == "" {
			continue
		}
		found = true
		if status.State == engineapi.ItemReady && !status.UnloadPending {
			p.planUnload(n, item, reason)
		}
	}
	return found
}

func (p *planner) dropReplica(m *modelState, n *node) {
	m.addLoad(-m.demandPerReplica())
	m.local = slices.DeleteFunc(m.local, func(other *node) bool { return other == n })
	m.addLoad(m.demandPerReplica())
}

func (p *planner) emit(step Step) { p.steps = append(p.steps, step) }

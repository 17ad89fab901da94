package orders

import (
	"cmp"
	"slices"
)

// Demands are in tokens per second.
const (
	// worthwhile is the demand on each replica below which no replica is
	// added, where the engine keeps a copy of the weights; worthwhileCold
	// where they come from the weight store, whose loads are slow and few.
	worthwhile     = 3500
	worthwhileCold = 9000
	// relief is the part of the demand on the most loaded replica that a change
	// must take away, so that small swings cause no loads.
	relief = 0.25
	// overloaded is how many times the mean demand on an engine a replica may
	// have before hotRelief is enough: one more of many replicas takes only a
	// small part away from each.
	overloaded = 2
	hotRelief  = 0.04
	// idleDemand is the demand below which a model may leave its last engine,
	// as long as an engine keeps a copy. It comes back within a second.
	idleDemand = 60
	// idleLoss is what the removal of an idle model's last replica counts.
	idleLoss = 1500
)

// planModel is a model as the plan sees it.
type planModel struct {
	name string
	mb   float64
	// demand is in tokens per second over all replicas.
	demand float64
}

// planEngine is an engine as the plan sees it.
type planEngine struct {
	id     string
	freeMB float64
	// models are those held or on their way.
	models []string
	// copies are the models whose weights the engine keeps.
	copies map[string]bool
	// closed engines take no order now.
	closed bool
}

// planInput is all that a plan depends on.
type planInput struct {
	models  []planModel
	engines []planEngine
}

// change is one change of what an engine holds: the victims make room for the
// model.
type change struct {
	engine  string
	victims []string
	model   string
	// cold loads come from the weight store.
	cold bool
	// unreachable tells that no engine holds the model.
	unreachable bool
}

type planner struct {
	planInput
	byName   map[string]*planModel
	replicas map[string]int
	// copied are the models of which some engine keeps a copy.
	copied map[string]bool
	// mean is the demand on an engine, were it spread over all.
	mean float64
}

func newPlanner(in planInput) *planner {
	p := &planner{
		planInput: in, byName: make(map[string]*planModel), replicas: make(map[string]int), copied: make(map[string]bool),
	}
	for i := range in.models {
		p.byName[in.models[i].name] = &in.models[i]
		p.mean += in.models[i].demand
	}
	p.mean /= float64(len(in.engines))
	for _, e := range in.engines {
		for _, name := range e.models {
			p.replicas[name]++
		}
		for name := range e.copies {
			p.copied[name] = true
		}
	}
	return p
}

// nextChange returns the most useful change, or false where none is worth
// its load.
func nextChange(in planInput) (change, bool) {
	p := newPlanner(in)
	if c, ok := p.reach(); ok {
		return c, true
	}
	return p.relieve()
}

// bring returns the change that makes one model reachable.
func bring(in planInput, model string) (change, bool) {
	p := newPlanner(in)
	m, known := p.byName[model]
	if !known || p.replicas[model] > 0 {
		return change{}, false
	}
	c, _, ok := p.place(m)
	c.unreachable = true
	return c, ok
}

// perReplica returns the demand on each of a number of replicas.
func perReplica(m *planModel, replicas int) float64 { return m.demand / float64(max(1, replicas)) }

// reach loads the most wanted model that no engine holds. Models that nobody
// asks for wait as long as a copy can be loaded fast.
func (p *planner) reach() (change, bool) {
	missing := slices.DeleteFunc(slices.Clone(p.models), func(m planModel) bool {
		return p.replicas[m.name] > 0 || m.demand < idleDemand && p.copied[m.name]
	})
	slices.SortStableFunc(missing, func(a, b planModel) int { return cmp.Compare(b.demand, a.demand) })
	for i := range missing {
		if c, _, ok := p.place(&missing[i]); ok {
			c.unreachable = true
			return c, true
		}
	}
	return change{}, false
}

// relieve adds a replica of the model with the most loaded replicas.
func (p *planner) relieve() (change, bool) {
	loaded := slices.Clone(p.models)
	slices.SortStableFunc(loaded, func(a, b planModel) int {
		return cmp.Compare(perReplica(&b, p.replicas[b.name]), perReplica(&a, p.replicas[a.name]))
	})
	for i := range loaded {
		m := &loaded[i]
		before := perReplica(m, p.replicas[m.name])
		if before < worthwhile {
			break
		}
		c, loss, ok := p.place(m)
		if !ok || c.cold && before < worthwhileCold {
			continue
		}
		after := max(perReplica(m, p.replicas[m.name]+1), loss)
		if before-after >= p.neededRelief(before) {
			return c, true
		}
	}
	return change{}, false
}

// neededRelief returns how much a change must take away from replicas with a
// demand.
func (p *planner) neededRelief(before float64) float64 {
	if before > overloaded*p.mean {
		return hotRelief * before
	}
	return relief * before
}

// place finds the engine where the model costs least. The loss is the highest
// demand on a replica of a victim afterwards.
func (p *planner) place(m *planModel) (change, float64, bool) {
	best, found := change{}, false
	lowest, lowestLoss := 0.0, 0.0
	for _, e := range p.engines {
		if e.closed || slices.Contains(e.models, m.name) {
			continue
		}
		victims, loss, ok := p.victims(e, m.mb)
		if !ok {
			continue
		}
		cold := !e.copies[m.name]
		cost := loss
		if cold {
			cost += worthwhileCold
		}
		if !found || cost < lowest || cost == lowest && len(victims) < len(best.victims) {
			best, lowest, lowestLoss, found = change{engine: e.id, victims: victims, model: m.name, cold: cold}, cost, loss, true
		}
	}
	return best, lowestLoss, found
}

// victims returns the models that make room on an engine: those whose demand
// suffers least. A model that is not configured any more goes first.
func (p *planner) victims(e planEngine, needed float64) ([]string, float64, bool) {
	var victims []string
	loss := 0.0
	free := e.freeMB
	candidates := slices.Clone(e.models)
	slices.SortFunc(candidates, func(a, b string) int {
		// Without demand, the number of replicas tells what was busy.
		return cmp.Or(cmp.Compare(p.loss(a), p.loss(b)), cmp.Compare(p.replicas[b], p.replicas[a]))
	})
	for _, name := range candidates {
		if free >= needed {
			break
		}
		m, known := p.byName[name]
		if known && !p.spare(m) {
			continue
		}
		victims = append(victims, name)
		loss = max(loss, p.loss(name))
		if known {
			free += m.mb
		}
	}
	return victims, loss, free >= needed
}

// spare reports whether a replica of a model may go.
func (p *planner) spare(m *planModel) bool {
	return p.replicas[m.name] > 1 || m.demand < idleDemand && p.copied[m.name]
}

// loss returns the demand on each replica of a model after one goes.
func (p *planner) loss(name string) float64 {
	m, known := p.byName[name]
	switch {
	case !known:
		return 0
	case p.replicas[name] < 2:
		return max(idleLoss, m.demand)
	default:
		return perReplica(m, p.replicas[name]-1)
	}
}

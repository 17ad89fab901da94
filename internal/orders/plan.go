package orders

import (
	"cmp"
	"slices"
)

// Demands are in tokens per second.
const (
	// minDemandWarm is the demand on each replica below which no replica is
	// added, if the engine keeps a copy of the weights. minDemandCold applies if
	// the weights come from the weight store, whose loads are slow and limited in
	// rate; it is also the extra cost of such a load in the choice of an engine.
	minDemandWarm = 3500
	minDemandCold = 9000
	// minRelief is the fraction of the demand on the most loaded replica that a
	// change must take away, so that small fluctuations cause no loads.
	minRelief = 0.25
	// busyDemandPerSlot is the demand on a replica, for each slot of its engine,
	// above which minReliefBusy is enough: requests then wait for a slot.
	busyDemandPerSlot = 280
	minReliefBusy     = 0.12
	// hotFactor is the demand on a replica, as a multiple of the mean demand on
	// an engine, above which minReliefHot is enough: with many replicas, one more
	// takes only a small fraction from each.
	hotFactor    = 2
	minReliefHot = 0.04
	// idleDemand is the demand below which a model's last replica may be
	// unloaded, as long as an engine keeps a copy of the weights. The model can
	// be loaded again within a second.
	idleDemand = 60
	// idleLoss is the minimum loss that is assumed for the removal of a model's
	// last replica.
	idleLoss = 1500
)

// planModel is a model in the input of the planner.
type planModel struct {
	name     string
	memoryMB float64
	// demand is in tokens per second over all replicas.
	demand float64
}

// planEngine is an engine in the input of the planner.
type planEngine struct {
	id     string
	freeMB float64
	// models are those held or being loaded.
	models []string
	// copies are the models of whose weights the engine keeps a copy.
	copies map[string]bool
	// busy is set while a change is in progress; the engine takes no other.
	busy bool
	// refused are models that it must not load, since earlier orders may be carried out
	// late.
	refused map[string]bool
	// reserved are models that an order may still load. freeMB counts them whether they
	// are held or not, so that to unload them frees nothing.
	reserved map[string]bool
}

// planInput is the complete input of the planner for one service.
type planInput struct {
	// slots is the number of requests that an engine runs at the same time; zero
	// if unknown.
	slots   int
	models  []planModel
	engines []planEngine
}

// change is one change of the models on an engine: the victims are unloaded to
// make room, then the model is loaded.
type change struct {
	engine  string
	victims []string
	model   string
	// cold loads come from the weight store.
	cold bool
	// unheld is set if no engine held the model before the change.
	unheld bool
}

// planner chooses changes for one planInput.
type planner struct {
	planInput
	byName map[string]*planModel
	// replicas counts the engines that hold or load a model.
	replicas map[string]int
	// copied are the models of whose weights some engine keeps a copy.
	copied map[string]bool
	// meanDemand is the total demand divided by the number of engines.
	meanDemand float64
}

func newPlanner(in planInput) *planner {
	p := &planner{
		planInput: in, byName: make(map[string]*planModel), replicas: make(map[string]int), copied: make(map[string]bool),
	}
	for i := range in.models {
		p.byName[in.models[i].name] = &in.models[i]
		p.meanDemand += in.models[i].demand
	}
	p.meanDemand /= float64(len(in.engines))
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

// nextChange returns the most useful change, or false if none justifies its
// load.
func nextChange(in planInput) (change, bool) {
	p := newPlanner(in)
	if c, ok := p.placeUnheld(); ok {
		return c, true
	}
	return p.addReplica()
}

// firstReplica returns the change that loads a model which no engine holds, or
// false if the model has a replica already or can't be placed.
func firstReplica(in planInput, model string) (change, bool) {
	p := newPlanner(in)
	m, known := p.byName[model]
	if !known || p.replicas[model] > 0 {
		return change{}, false
	}
	c, _, ok := p.place(m)
	c.unheld = true
	return c, ok
}

// perReplica returns the demand on each replica of a model that has the given
// number of them.
func perReplica(m *planModel, replicas int) float64 { return m.demand / float64(max(1, replicas)) }

// placeUnheld returns a change that loads the model with the highest demand that
// no engine holds. Idle models stay unloaded while an engine keeps a copy of
// their weights, from which they load fast on request.
func (p *planner) placeUnheld() (change, bool) {
	missing := slices.DeleteFunc(slices.Clone(p.models), func(m planModel) bool {
		return p.replicas[m.name] > 0 || m.demand < idleDemand && p.copied[m.name]
	})
	slices.SortStableFunc(missing, func(a, b planModel) int { return cmp.Compare(b.demand, a.demand) })
	for i := range missing {
		if c, _, ok := p.place(&missing[i]); ok {
			c.unheld = true
			return c, true
		}
	}
	return change{}, false
}

// addReplica returns a change that adds a replica of the model with the most
// loaded replicas for which that is justified.
func (p *planner) addReplica() (change, bool) {
	loaded := slices.Clone(p.models)
	slices.SortStableFunc(loaded, func(a, b planModel) int {
		return cmp.Compare(perReplica(&b, p.replicas[b.name]), perReplica(&a, p.replicas[a.name]))
	})
	for i := range loaded {
		m := &loaded[i]
		before := perReplica(m, p.replicas[m.name])
		if before < minDemandWarm {
			break
		}
		c, loss, ok := p.place(m)
		if !ok || c.cold && before < minDemandCold {
			continue
		}
		after := max(perReplica(m, p.replicas[m.name]+1), loss)
		if before-after >= p.requiredRelief(before) {
			return c, true
		}
	}
	return change{}, false
}

// requiredRelief returns by how much a change must lower the demand on each
// replica, given that demand before the change.
func (p *planner) requiredRelief(before float64) float64 {
	if before > hotFactor*p.meanDemand {
		return minReliefHot * before
	}
	if p.slots > 0 && before > busyDemandPerSlot*float64(p.slots) {
		return minReliefBusy * before
	}
	return minRelief * before
}

// place returns the change that loads the model on the engine where it costs
// least, and its loss: the highest demand on a replica of a victim afterwards.
func (p *planner) place(m *planModel) (change, float64, bool) {
	best, found := change{}, false
	lowest, lowestLoss := 0.0, 0.0
	for _, e := range p.engines {
		if e.busy || e.refused[m.name] || slices.Contains(e.models, m.name) {
			continue
		}
		needed := m.memoryMB
		if e.reserved[m.name] {
			needed = 0
		}
		victims, loss, ok := p.victims(e, needed)
		if !ok {
			continue
		}
		cold := !e.copies[m.name]
		cost := loss
		if cold {
			cost += minDemandCold
		}
		if !found || cost < lowest || cost == lowest && len(victims) < len(best.victims) {
			best, lowest, lowestLoss, found = change{engine: e.id, victims: victims, model: m.name, cold: cold}, cost, loss, true
		}
	}
	return best, lowestLoss, found
}

// victims returns the models to unload from an engine to free the needed memory
// in MB, their loss, and whether enough can be freed. It takes the models with the
// least loss first; one that is no longer configured has no loss.
func (p *planner) victims(e planEngine, needed float64) ([]string, float64, bool) {
	var victims []string
	loss := 0.0
	free := e.freeMB
	candidates := slices.Clone(e.models)
	slices.SortFunc(candidates, func(a, b string) int {
		// At equal loss, models with more replicas go first. Without demand, the
		// number of replicas still reflects which models were busy.
		return cmp.Or(cmp.Compare(p.loss(a), p.loss(b)), cmp.Compare(p.replicas[b], p.replicas[a]))
	})
	for _, name := range candidates {
		if free >= needed {
			break
		}
		m, known := p.byName[name]
		if known && !p.removable(m) || e.reserved[name] {
			continue
		}
		victims = append(victims, name)
		loss = max(loss, p.loss(name))
		if known {
			free += m.memoryMB
		}
	}
	return victims, loss, free >= needed
}

// removable reports whether a replica of a model may be unloaded.
func (p *planner) removable(m *planModel) bool {
	return p.replicas[m.name] > 1 || m.demand < idleDemand && p.copied[m.name]
}

// loss returns the demand on each remaining replica of a model after one is
// unloaded.
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

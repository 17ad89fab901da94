package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// deployment is the size of one policy run.
type deployment struct {
	name         string
	zones        int
	workers      int
	accelerators int
	models       int
	adapters     int
	// memory of a worker for models, and of the smallest and largest model.
	memory, smallest, largest int64
	// tokens is the mean demand of all models, in tokens per second, and
	// capacity that of one worker.
	tokens, capacity float64
	loadsAtOnce      int
	adapterLoads     int
	tick             time.Duration
}

var deployments = []deployment{
	{"aqej", 3, 9, 9, 14, 40, 80 * gib, 8 * gib, 24 * gib, 5400, 1000, 4, 32, time.Second},
	{"souffle", 3, 9, 9, 17, 56, 80 * gib, 8 * gib, 24 * gib, 5400, 1000, 6, 48, time.Second},
	{"target", 7, 840, 3400, 1700, 0, 160 * gib, 8 * gib, 32 * gib, 600_000, 1400, 4, 32, 10 * time.Second},
}

// weightLoadTime is that of one model load at full speed: one load a second,
// four at once.
const weightLoadTime = 4 * time.Second

// worker is one engine of a policy run.
type worker struct {
	name, zone string
	up         bool
	items      map[placement.Item]time.Time
	load       float64
}

// policyRun is a run of one policy on virtual time.
type policyRun struct {
	deployment
	random   *rand.Rand
	now      time.Time
	start    time.Time
	models   []placement.Model
	adapters []placement.Adapter
	base     []float64
	phase    []float64
	workers  []*worker
	budget   map[string]float64
	target   map[string][]placement.Item
	nextPlan time.Time

	demanded, attained float64
	loads              int
	unreachable        []time.Duration
	unreachableNow     []time.Duration
	maxAdapterLoads    int
}

func newPolicyRun(d deployment, seed uint64) *policyRun {
	r := &policyRun{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_700_000_000, 0),
		budget: make(map[string]float64), target: make(map[string][]placement.Item),
		unreachable: make([]time.Duration, d.models), unreachableNow: make([]time.Duration, d.models),
	}
	r.now = r.start
	total := 0.0
	for i := range d.models {
		m := model(fmt.Sprintf("m%04d", i), d.smallest+r.random.Int64N(d.largest-d.smallest))
		r.models = append(r.models, m)
		weight := 1 / math.Pow(float64(i+1), 0.8)
		r.base = append(r.base, weight)
		r.phase = append(r.phase, r.random.Float64()*2)
		total += weight
	}
	for i := range r.base {
		r.base[i] *= d.tokens / total
	}
	for i := range d.adapters {
		r.adapters = append(r.adapters, placement.Adapter{
			Name: fmt.Sprintf("a%03d", i), Model: r.models[i%d.models].Name, Bytes: gib / 4,
		})
	}
	for i := range d.workers {
		r.workers = append(r.workers, &worker{
			name: fmt.Sprintf("w%03d", i), zone: fmt.Sprintf("z%d", i%d.zones), up: true,
			items: make(map[placement.Item]time.Time),
		})
	}
	return r
}

// meanFactor is the mean of tenfold, the factor by which demand moves.
const meanFactor = 3.909

// demandAt moves each model's demand tenfold up and tenfold down again, each
// within an hour, with a phase of its own.
func (r *policyRun) demandAt(i int) float64 {
	hours := math.Mod(r.now.Sub(r.start).Hours()+r.phase[i], 2)
	return r.base[i] * math.Pow(10, 1-math.Abs(hours-1)) / meanFactor
}

func (r *policyRun) setDemand() {
	for i := range r.models {
		r.models[i].Demand = r.demandAt(i)
	}
}

// endpoints returns the workers as the plan sees them.
func (r *policyRun) endpoints() []placement.Endpoint {
	var out []placement.Endpoint
	for _, w := range r.workers {
		report := engineapi.Report{Incarnation: w.name}
		for item, readyAt := range w.items {
			state := engineapi.ItemReady
			if readyAt.After(r.now) {
				state = engineapi.ItemLoading
			}
			if item.IsAdapter() {
				report.Adapters = append(report.Adapters, engineapi.HeldAdapter{Adapter: item.Adapter, Model: item.Model, State: state, Bytes: gib / 4})
				continue
			}
			report.Models = append(report.Models, engineapi.HeldModel{Model: item.Model, Version: item.Version, State: state, Bytes: r.bytes(item)})
		}
		limits := placement.Limits{ModelBytes: r.memory, AdapterBytes: 5 * gib}
		account := placement.NewAccount(limits, &report, &placement.Intents{}, "")
		out = append(out, placement.Endpoint{Name: w.name, Zone: w.zone, Account: account, Alive: w.up, Accounted: w.up, Orderable: w.up})
	}
	return out
}

func (r *policyRun) bytes(item placement.Item) int64 {
	i, _ := slices.BinarySearchFunc(r.models, item.Model, func(m placement.Model, name string) int { return cmp.Compare(m.Name, name) })
	return r.models[i].Bytes
}

// load starts a load if the weight store's share of the zone allows it.
func (r *policyRun) load(w *worker, item placement.Item) {
	if item.IsAdapter() {
		w.items[item] = r.now.Add(10 * time.Millisecond)
		return
	}
	r.budget[w.zone]--
	r.loads++
	w.items[item] = r.now.Add(weightLoadTime)
}

func (r *policyRun) worker(name string) *worker {
	var index int
	_, _ = fmt.Sscanf(name, "w%d", &index)
	return r.workers[index]
}

// planChosen runs each zone's plan.
func (r *policyRun) planChosen() {
	endpoints := r.endpoints()
	since := make(map[placement.Replica]time.Time)
	for _, w := range r.workers {
		for item, readyAt := range w.items {
			since[placement.Replica{Endpoint: w.name, Item: item}] = readyAt
		}
	}
	started := 0
	for zone := range r.zones {
		name := fmt.Sprintf("z%d", zone)
		steps := placement.Plan(&placement.Input{
			Zone: name, Endpoints: endpoints, Models: r.models, Adapters: r.adapters, Since: since, Now: r.now,
			Budget: placement.Budget{ModelLoads: int(r.budget[name]), AdapterLoads: r.adapterLoads / r.zones},
			Tuning: placement.Tuning{EndpointTokensPerSecond: r.capacity},
		})
		for _, step := range steps {
			if step.Action == engineapi.ActionLoadAdapter {
				started++
			}
			if step.IsLoad() {
				r.load(r.worker(step.Endpoint), step.Item)
			} else {
				delete(r.worker(step.Endpoint).items, step.Item)
			}
		}
	}
	r.maxAdapterLoads = max(r.maxAdapterLoads, started)
}

// assign computes a placement from nothing: models by demand, as many
// replicas as their demand asks for, each on the least loaded worker with room.
func (r *policyRun) assign() {
	r.target = make(map[string][]placement.Item)
	free := make(map[*worker]int64)
	load := make(map[*worker]float64)
	order := make([]int, len(r.models))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(r.models[b].Demand, r.models[a].Demand) })
	var up []*worker
	for _, w := range r.workers {
		if w.up {
			up = append(up, w)
			free[w] = r.memory
		}
	}
	place := func(m *placement.Model, share float64) {
		item := placement.Item{Model: m.Name, Version: m.Version}
		var best *worker
		for _, w := range up {
			if free[w] >= m.Bytes && !slices.Contains(r.target[w.name], item) && (best == nil || load[w] < load[best]) {
				best = w
			}
		}
		if best != nil {
			free[best] -= m.Bytes
			load[best] += share
			r.target[best.name] = append(r.target[best.name], item)
		}
	}
	for _, first := range []bool{true, false} {
		for _, i := range order {
			m := &r.models[i]
			wanted := int(math.Ceil(m.Demand / (0.5 * r.capacity)))
			if first {
				place(m, m.Demand/float64(max(1, wanted)))
				continue
			}
			for range wanted - 1 {
				place(m, m.Demand/float64(wanted))
			}
		}
	}
}

// follow loads what the target has, and unloads what it lacks where the memory
// is needed.
func (r *policyRun) follow() {
	for _, w := range r.workers {
		target := r.target[w.name]
		for _, item := range target {
			if _, held := w.items[item]; !held && w.up && r.budget[w.zone] >= 1 {
				r.makeRoom(w, target, r.bytes(item))
				r.load(w, item)
			}
		}
	}
}

func (r *policyRun) makeRoom(w *worker, target []placement.Item, bytes int64) {
	free := r.memory - bytes
	for item := range w.items {
		free -= r.bytes(item)
	}
	for _, item := range sortedHeld(w) {
		if free < 0 && !slices.Contains(target, item) {
			free += r.bytes(item)
			delete(w.items, item)
		}
	}
}

func sortedHeld(w *worker) []placement.Item {
	var items []placement.Item
	for item := range w.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b placement.Item) int { return cmp.Compare(a.Model, b.Model) })
	return items
}

// account adds what the tick demanded and attained. Requests go to a model's
// replicas by water filling: three rounds move share to the less loaded.
func (r *policyRun) account() {
	for _, w := range r.workers {
		w.load = 0
	}
	holders := make([][]*worker, len(r.models))
	shares := make([][]float64, len(r.models))
	for i := range r.models {
		item := placement.Item{Model: r.models[i].Name, Version: r.models[i].Version}
		for _, w := range r.workers {
			if readyAt, held := w.items[item]; held && w.up && !readyAt.After(r.now) {
				holders[i] = append(holders[i], w)
			}
		}
		shares[i] = make([]float64, len(holders[i]))
		for j, w := range holders[i] {
			shares[i][j] = r.models[i].Demand / float64(len(holders[i]))
			w.load += shares[i][j]
		}
	}
	for range 3 {
		r.rebalance(holders, shares)
	}
	for i := range r.models {
		r.demanded += r.models[i].Demand
		for j, w := range holders[i] {
			r.attained += shares[i][j] * min(1, r.capacity/w.load)
		}
		r.noteReachable(i, len(holders[i]) > 0)
	}
}

func (r *policyRun) rebalance(holders [][]*worker, shares [][]float64) {
	for i := range holders {
		total := 0.0
		room := make([]float64, len(holders[i]))
		for j, w := range holders[i] {
			w.load -= shares[i][j]
			room[j] = max(r.capacity-w.load, 0.01*r.capacity)
			total += room[j]
		}
		for j, w := range holders[i] {
			shares[i][j] = r.models[i].Demand * room[j] / total
			w.load += shares[i][j]
		}
	}
}

func (r *policyRun) noteReachable(i int, reachable bool) {
	if reachable {
		r.unreachableNow[i] = 0
		return
	}
	r.unreachableNow[i] += r.tick
	r.unreachable[i] = max(r.unreachable[i], r.unreachableNow[i])
}

// preload starts every policy from the placement for the mean demand.
func (r *policyRun) preload() {
	for i := range r.models {
		r.models[i].Demand = r.base[i]
	}
	r.assign()
	for _, w := range r.workers {
		for _, item := range r.target[w.name] {
			w.items[item] = r.now
		}
	}
}

// runPolicy runs three hours: one to settle, two that count. In the second, a
// worker is lost for good after 20 minutes, and zone z1 for 20 minutes after
// 60.
func runPolicy(d deployment, policy string, seed uint64) *policyRun {
	r := newPolicyRun(d, seed)
	r.preload()
	settled := r.start.Add(time.Hour)
	end := settled.Add(2 * time.Hour)
	counting := false
	for ; r.now.Before(end); r.now = r.now.Add(r.tick) {
		if !counting && !r.now.Before(settled) {
			counting = true
			r.demanded, r.attained, r.loads = 0, 0, 0
			clear(r.unreachable)
		}
		r.inject(r.now.Sub(settled))
		r.setDemand()
		for zone := range r.zones {
			name := fmt.Sprintf("z%d", zone)
			r.budget[name] = min(1+r.tick.Seconds()/float64(r.zones), r.budget[name]+r.tick.Seconds()/float64(r.zones))
		}
		r.decide(policy)
		r.account()
	}
	return r
}

func (r *policyRun) decide(policy string) {
	switch policy {
	case "chosen":
		r.planChosen()
	case "greedy":
		if !r.now.Before(r.nextPlan) {
			r.assign()
			r.nextPlan = r.now.Add(time.Minute)
		}
		r.follow()
	case "static":
		r.follow()
	}
}

func (r *policyRun) inject(at time.Duration) {
	lost := at >= 60*time.Minute && at < 80*time.Minute
	for i, w := range r.workers {
		up := !(w.zone == "z1" && lost) && !(i == 0 && at >= 20*time.Minute)
		if !up {
			clear(w.items)
		}
		w.up = up
	}
}

func BenchmarkPlacementPolicies(b *testing.B) {
	for _, d := range deployments {
		for _, policy := range []string{"static", "greedy", "chosen"} {
			b.Run(d.name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					r := runPolicy(d, policy, 1)
					seconds := 2 * time.Hour / r.tick
					over := 0
					for _, gap := range r.unreachable {
						if gap > 0 {
							over++
						}
					}
					b.ReportMetric(100*r.attained/r.demanded, "attained_%")
					b.ReportMetric(r.attained/float64(seconds)/float64(r.accelerators), "tokens/s/accelerator")
					b.ReportMetric(float64(r.loads), "loads")
					b.ReportMetric(float64(over), "models_with_gap")
					b.ReportMetric(slices.Max(r.unreachable).Seconds(), "longest_gap_s")
					b.ReportMetric(float64(r.maxAdapterLoads), "adapter_loads_at_once")
				}
			})
		}
	}
}

// BenchmarkDisaggregation splits nine workers into six that decode and three
// that prefill, each pool holding every model it serves. gain is how much more
// a worker generates when no prefill interferes.
func BenchmarkDisaggregation(b *testing.B) {
	for _, d := range deployments[:2] {
		for _, gain := range []float64{1, 1.25, 1.5, 2} {
			b.Run(fmt.Sprintf("%s/gain=%.2f", d.name, gain), func(b *testing.B) {
				for b.Loop() {
					decode, prefill := d, d
					decode.workers, decode.capacity = 6, d.capacity*gain
					prefill.workers, prefill.tokens = 3, d.tokens/3
					decoded := runPolicy(decode, "chosen", 1)
					prefilled := runPolicy(prefill, "chosen", 1)
					b.ReportMetric(100*decoded.attained/decoded.demanded, "decode_attained_%")
					b.ReportMetric(slices.Max(decoded.unreachable).Seconds(), "decode_longest_gap_s")
					b.ReportMetric(100*prefilled.attained/prefilled.demanded, "prefill_attained_%")
					b.ReportMetric(slices.Max(prefilled.unreachable).Seconds(), "prefill_longest_gap_s")
				}
			})
		}
	}
}

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

// deployment describes the deployment that a policy run simulates.
type deployment struct {
	name         string
	zones        int
	workers      int
	accelerators int
	models       int
	adapters     int
	// memory is a worker's memory for models; smallest and largest are the
	// memory of the smallest and the largest model. All are in bytes.
	memory, smallest, largest int64
	// tokens is the mean total demand of all models, and capacity the highest
	// rate of one worker, both in tokens per second.
	tokens, capacity float64
	parallelLoads    int
	// adapterLoads is the number of adapter loads that the plans of all zones
	// may start per tick.
	adapterLoads int
	// tick is the simulated time between two plans.
	tick time.Duration
}

var deployments = []deployment{
	{"aqej", 3, 9, 9, 14, 40, 80 * gib, 8 * gib, 24 * gib, 5400, 1000, 4, 32, time.Second},
	{"souffle", 3, 9, 9, 17, 56, 80 * gib, 8 * gib, 24 * gib, 5400, 1000, 6, 48, time.Second},
	{"target", 7, 840, 3400, 1700, 0, 160 * gib, 8 * gib, 32 * gib, 600_000, 1400, 4, 32, 10 * time.Second},
}

// weightLoadTime is the time of one model load at full speed: the weight store
// starts one load per second and runs four in parallel.
const weightLoadTime = 4 * time.Second

// worker is one engine of a policy run.
type worker struct {
	name, zone string
	up         bool
	// items holds the time at which each item is ready.
	items map[placement.Item]time.Time
	// load is in tokens per second.
	load float64
}

// policyRun is a simulation of one policy in virtual time.
type policyRun struct {
	deployment
	random     *rand.Rand
	now        time.Time
	start      time.Time
	models     []placement.Model
	adapters   []placement.Adapter
	baseDemand []float64
	phase      []float64
	workers    []*worker
	budget     map[string]float64
	target     map[string][]placement.Item
	nextPlan   time.Time

	demanded, attained float64
	loads              int
	longestGap         []time.Duration
	currentGap         []time.Duration
	maxAdapterLoads    int
}

func newPolicyRun(d deployment, seed uint64) *policyRun {
	r := &policyRun{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_700_000_000, 0),
		budget: make(map[string]float64), target: make(map[string][]placement.Item),
		longestGap: make([]time.Duration, d.models), currentGap: make([]time.Duration, d.models),
	}
	r.now = r.start
	total := 0.0
	for i := range d.models {
		m := model(fmt.Sprintf("m%04d", i), d.smallest+r.random.Int64N(d.largest-d.smallest))
		r.models = append(r.models, m)
		weight := 1 / math.Pow(float64(i+1), 0.8)
		r.baseDemand = append(r.baseDemand, weight)
		r.phase = append(r.phase, r.random.Float64()*2)
		total += weight
	}
	for i := range r.baseDemand {
		r.baseDemand[i] *= d.tokens / total
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

// meanFactor is the mean over time of the factor of demandAt, which moves between
// 1 and 10.
const meanFactor = 3.909

// demandAt returns the current demand of model i in tokens per second. It rises
// tenfold within an hour and falls back within the next; each model has its own
// phase.
func (r *policyRun) demandAt(i int) float64 {
	hours := math.Mod(r.now.Sub(r.start).Hours()+r.phase[i], 2)
	return r.baseDemand[i] * math.Pow(10, 1-math.Abs(hours-1)) / meanFactor
}

func (r *policyRun) setDemand() {
	for i := range r.models {
		r.models[i].Demand = r.demandAt(i)
	}
}

// endpoints returns the workers as input for a plan.
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
		out = append(out, placement.Endpoint{Name: w.name, Zone: w.zone, Account: account, Alive: w.up, IntentsCounted: w.up, OrdersAllowed: w.up})
	}
	return out
}

func (r *policyRun) bytes(item placement.Item) int64 {
	i, _ := slices.BinarySearchFunc(r.models, item.Model, func(m placement.Model, name string) int { return cmp.Compare(m.Name, name) })
	return r.models[i].Bytes
}

// load starts a load of the item. A model load uses one unit of the zone's share
// of the weight store.
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

// planZones makes and applies each zone's plan.
func (r *policyRun) planZones() {
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
			Zone: name, Endpoints: endpoints, Models: r.models, Adapters: r.adapters, ReadySince: since, Now: r.now,
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

// assignGreedy computes a placement from scratch: models in order of demand, as
// many replicas as their demand requires, each on the least loaded worker with
// enough memory.
func (r *policyRun) assignGreedy() {
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
	for _, firstReplicas := range []bool{true, false} {
		for _, i := range order {
			m := &r.models[i]
			required := int(math.Ceil(m.Demand / (0.5 * r.capacity)))
			if firstReplicas {
				place(m, m.Demand/float64(max(1, required)))
				continue
			}
			for range required - 1 {
				place(m, m.Demand/float64(required))
			}
		}
	}
}

// reconcile loads the items that the target has, and unloads others if the
// memory is needed.
func (r *policyRun) reconcile() {
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

// recordTick adds the demanded and the attained tokens of one tick. Requests are
// spread over a model's replicas by water filling: three rounds move demand to
// the less loaded workers.
func (r *policyRun) recordTick() {
	for _, w := range r.workers {
		w.load = 0
	}
	replicas := make([][]*worker, len(r.models))
	shares := make([][]float64, len(r.models))
	for i := range r.models {
		item := placement.Item{Model: r.models[i].Name, Version: r.models[i].Version}
		for _, w := range r.workers {
			if readyAt, held := w.items[item]; held && w.up && !readyAt.After(r.now) {
				replicas[i] = append(replicas[i], w)
			}
		}
		shares[i] = make([]float64, len(replicas[i]))
		for j, w := range replicas[i] {
			shares[i][j] = r.models[i].Demand / float64(len(replicas[i]))
			w.load += shares[i][j]
		}
	}
	for range 3 {
		r.rebalance(replicas, shares)
	}
	for i := range r.models {
		r.demanded += r.models[i].Demand
		for j, w := range replicas[i] {
			r.attained += shares[i][j] * min(1, r.capacity/w.load)
		}
		r.recordReachability(i, len(replicas[i]) > 0)
	}
}

func (r *policyRun) rebalance(replicas [][]*worker, shares [][]float64) {
	for i := range replicas {
		total := 0.0
		room := make([]float64, len(replicas[i]))
		for j, w := range replicas[i] {
			w.load -= shares[i][j]
			room[j] = max(r.capacity-w.load, 0.01*r.capacity)
			total += room[j]
		}
		for j, w := range replicas[i] {
			shares[i][j] = r.models[i].Demand * room[j] / total
			w.load += shares[i][j]
		}
	}
}

func (r *policyRun) recordReachability(i int, reachable bool) {
	if reachable {
		r.currentGap[i] = 0
		return
	}
	r.currentGap[i] += r.tick
	r.longestGap[i] = max(r.longestGap[i], r.currentGap[i])
}

// preload sets up the placement for the mean demand, from which every policy
// starts.
func (r *policyRun) preload() {
	for i := range r.models {
		r.models[i].Demand = r.baseDemand[i]
	}
	r.assignGreedy()
	for _, w := range r.workers {
		for _, item := range r.target[w.name] {
			w.items[item] = r.now
		}
	}
}

// runPolicy simulates three hours: one of warm-up and two that are measured.
// Worker 0 fails permanently 20 minutes into the measurement, and zone z1 fails
// for 20 minutes after 60 minutes.
func runPolicy(d deployment, policy string, seed uint64) *policyRun {
	r := newPolicyRun(d, seed)
	r.preload()
	measureFrom := r.start.Add(time.Hour)
	end := measureFrom.Add(2 * time.Hour)
	measuring := false
	for ; r.now.Before(end); r.now = r.now.Add(r.tick) {
		if !measuring && !r.now.Before(measureFrom) {
			measuring = true
			r.demanded, r.attained, r.loads = 0, 0, 0
			clear(r.longestGap)
		}
		r.injectFaults(r.now.Sub(measureFrom))
		r.setDemand()
		for zone := range r.zones {
			name := fmt.Sprintf("z%d", zone)
			r.budget[name] = min(1+r.tick.Seconds()/float64(r.zones), r.budget[name]+r.tick.Seconds()/float64(r.zones))
		}
		r.applyPolicy(policy)
		r.recordTick()
	}
	return r
}

func (r *policyRun) applyPolicy(policy string) {
	switch policy {
	case "chosen":
		r.planZones()
	case "greedy":
		if !r.now.Before(r.nextPlan) {
			r.assignGreedy()
			r.nextPlan = r.now.Add(time.Minute)
		}
		r.reconcile()
	case "static":
		r.reconcile()
	}
}

func (r *policyRun) injectFaults(at time.Duration) {
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
					for _, gap := range r.longestGap {
						if gap > 0 {
							over++
						}
					}
					b.ReportMetric(100*r.attained/r.demanded, "attained_%")
					b.ReportMetric(r.attained/float64(seconds)/float64(r.accelerators), "tokens/s/accelerator")
					b.ReportMetric(float64(r.loads), "loads")
					b.ReportMetric(float64(over), "models_with_gap")
					b.ReportMetric(slices.Max(r.longestGap).Seconds(), "longest_gap_s")
					b.ReportMetric(float64(r.maxAdapterLoads), "adapter_loads_at_once")
				}
			})
		}
	}
}

// BenchmarkDisaggregation splits nine workers into six for decode and three for
// prefill; each pool has every model it serves. gain is the factor by which a
// decode worker's token rate rises without interference from prefill.
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
					b.ReportMetric(slices.Max(decoded.longestGap).Seconds(), "decode_longest_gap_s")
					b.ReportMetric(100*prefilled.attained/prefilled.demanded, "prefill_attained_%")
					b.ReportMetric(slices.Max(prefilled.longestGap).Seconds(), "prefill_longest_gap_s")
				}
			})
		}
	}
}

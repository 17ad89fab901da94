package orders

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/traffic"
)

// engines returns engines with memory for two models of 10 MB each, named a, b
// and so on, which hold the given models.
func engines(held ...[]string) []planEngine {
	var list []planEngine
	for i, models := range held {
		list = append(list, planEngine{
			id: string(rune('a' + i)), models: models, freeMB: 20 - 10*float64(len(models)), copies: map[string]bool{},
		})
	}
	return list
}

func models(demands map[string]float64) []planModel {
	var list []planModel
	for _, name := range []string{"m0", "m1", "m2", "m3", "m4"} {
		if demand, ok := demands[name]; ok {
			list = append(list, planModel{name: name, memoryMB: 10, demand: demand})
		}
	}
	return list
}

// withCopies marks engines as keeping a copy of a model's weights.
func withCopies(list []planEngine, model string, ids ...string) []planEngine {
	for i := range list {
		for _, id := range ids {
			if list[i].id == id {
				list[i].copies[model] = true
			}
		}
	}
	return list
}

// applyAll applies the planner's changes until there are no more, and returns
// their number.
func applyAll(in *planInput) int {
	for count := 0; ; count++ {
		c, ok := nextChange(*in)
		if !ok {
			return count
		}
		Expect(count).To(BeNumerically("<", 1000), "the planner does not converge")
		for i := range in.engines {
			if e := &in.engines[i]; e.id == c.engine {
				e.models = slices.DeleteFunc(e.models, func(name string) bool { return slices.Contains(c.victims, name) })
				e.models = append(e.models, c.model)
				e.copies[c.model] = true
				for _, victim := range c.victims {
					e.copies[victim] = true
				}
			}
		}
	}
}

var _ = Describe("The placement of models", func() {
	It("loads a requested model that no engine holds", func() {
		c, ok := nextChange(planInput{
			models:  models(map[string]float64{"m0": 100, "m1": 100}),
			engines: engines([]string{"m0"}, []string{"m0", "m0x"}),
		})
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(change{engine: "a", model: "m1", cold: true, unheld: true}))
	})

	// Guards against unloading a model in vain: an order without a response may load it
	// again, so that its memory stays counted. A model that is counted needs no more.
	It("unloads nothing that an earlier order may still load, and needs no room for it", func() {
		in := planInput{models: models(map[string]float64{"m0": 100, "m1": 100, "m2": 100}), engines: engines([]string{"m0", "m1"}, []string{"m0", "m1"})}
		in.engines[0].reserved = map[string]bool{"m0": true, "m1": true}
		c, ok := nextChange(in)
		Expect(ok).To(BeTrue())
		Expect(c.engine).To(Equal("b"))
		in.engines = engines([]string{"m0"}, []string{"m1"})
		in.engines[0].freeMB, in.engines[1].freeMB = 0, 0
		in.engines[0].reserved = map[string]bool{"m2": true}
		c, ok = nextChange(in)
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(change{engine: "a", model: "m2", cold: true, unheld: true}))
	})

	It("prefers an engine that keeps a copy of the weights, even if another has free memory", func() {
		list := withCopies(engines([]string{}, []string{"m0", "m2"}, []string{"m0", "m2"}), "m1", "b")
		c, ok := nextChange(planInput{models: models(map[string]float64{"m0": 100, "m1": 100, "m2": 100}), engines: list})
		Expect(ok).To(BeTrue())
		Expect(c.engine).To(Equal("b"))
		Expect(c.cold).To(BeFalse())
		Expect(c.victims).To(HaveLen(1))
	})

	It("does not load a model without demand while an engine keeps a copy of its weights", func() {
		list := withCopies(engines([]string{"m0"}, []string{"m0"}), "m1", "a")
		_, ok := nextChange(planInput{models: models(map[string]float64{"m0": 100, "m1": 0}), engines: list})
		Expect(ok).To(BeFalse())
	})

	It("loads a model without demand if no engine keeps a copy, and unloads no model for it", func() {
		c, ok := nextChange(planInput{
			models:  models(map[string]float64{"m0": 0, "m1": 0, "m2": 0}),
			engines: engines([]string{"m0", "m1"}, []string{"m0", "m1"}, []string{"m0"}),
		})
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(change{engine: "c", model: "m2", cold: true, unheld: true}))
	})

	// Demand shifts to a model that a single engine holds, while models that are
	// idle by now occupy the memory of the other engines.
	It("replaces idle models by replicas of a model to which demand has shifted", func() {
		list := engines([]string{"m0", "m1"}, []string{"m0", "m2"}, []string{"m0", "m3"})
		for _, name := range []string{"m0", "m1", "m2", "m3"} {
			list = withCopies(list, name, "a", "b", "c")
		}
		c, ok := nextChange(planInput{models: models(map[string]float64{"m0": 10, "m1": 40_000, "m2": 0, "m3": 0}), engines: list})
		Expect(ok).To(BeTrue())
		Expect(c.model).To(Equal("m1"))
		Expect(c.victims).To(HaveLen(1))
		Expect([]string{"m0", "m2", "m3"}).To(ContainElement(c.victims[0]))
	})

	It("never removes the last replica of a model with demand", func() {
		list := engines([]string{"m0", "m1"}, []string{"m2", "m3"})
		for _, name := range []string{"m0", "m1", "m2", "m3"} {
			list = withCopies(list, name, "a", "b")
		}
		c, ok := nextChange(planInput{
			models: models(map[string]float64{"m0": 90_000, "m1": 5000, "m2": 5000, "m3": 5000}), engines: list,
		})
		Expect(ok).To(BeFalse(), "%+v", c)
	})

	It("never removes the last replica of a model without a copy", func() {
		_, ok := nextChange(planInput{
			models: models(map[string]float64{"m0": 90_000, "m1": 0, "m2": 0}), engines: engines([]string{"m0"}, []string{"m1", "m2"}),
		})
		Expect(ok).To(BeFalse())
	})

	It("ignores small fluctuations of demand", func() {
		list := engines([]string{"m0", "m1"}, []string{"m0", "m1"}, []string{"m0", "m1"})
		_, ok := nextChange(planInput{models: models(map[string]float64{"m0": 30_000, "m1": 26_000}), engines: list})
		Expect(ok).To(BeFalse())
	})

	It("adds no replica by a cold load for moderate demand", func() {
		list := engines([]string{"m0"}, []string{})
		in := planInput{models: models(map[string]float64{"m0": 6000}), engines: list}
		_, ok := nextChange(in)
		Expect(ok).To(BeFalse())
		withCopies(list, "m0", "b")
		c, ok := nextChange(in)
		Expect(ok).To(BeTrue())
		Expect(c.engine).To(Equal("b"))
	})

	// In a large deployment, the demand for one of many models keeps growing. The
	// gain of each further replica shrinks, which once ended scaling at four.
	It("adds replicas as long as they relieve, however many there are", func() {
		const count, mean = 140, 18_000.0
		in := planInput{}
		for i := range count {
			in.models = append(in.models, planModel{name: fmt.Sprint("rare", i), memoryMB: 10, demand: 200})
			in.engines = append(in.engines, planEngine{
				id: fmt.Sprint("e", i), models: []string{fmt.Sprint("rare", i), fmt.Sprint("busy", i%20)}, copies: map[string]bool{},
			})
		}
		for i := range 20 {
			in.models = append(in.models, planModel{name: fmt.Sprint("busy", i), memoryMB: 10, demand: mean * 3})
		}
		hot := planModel{name: "busy0", memoryMB: 10, demand: mean * 40}
		in.models[count] = hot
		loads := applyAll(&in)
		holders := 0
		for _, e := range in.engines {
			if slices.Contains(e.models, hot.name) {
				holders++
			}
		}
		Expect(holders).To(BeNumerically(">=", 20), "of 140 engines for a third of the demand; four was the maximum before")
		Expect(loads).To(BeNumerically("<=", 80))
		for _, m := range in.models {
			Expect(newPlanner(in).replicas[m.name]).To(BeNumerically(">=", 1), m.name)
		}
	})

	It("plans no change for engines that are already changing", func() {
		list := engines([]string{}, []string{})
		list[0].busy, list[1].busy = true, true
		_, ok := nextChange(planInput{models: models(map[string]float64{"m0": 100}), engines: list})
		Expect(ok).To(BeFalse())
	})

	It("places the first replica of a rarely requested model, and only if no engine holds it", func() {
		list := engines([]string{"m0"}, []string{"m0"})
		in := planInput{models: models(map[string]float64{"m0": 100, "m1": 0}), engines: list}
		c, ok := firstReplica(in, "m1")
		Expect(ok).To(BeTrue())
		Expect(c.model).To(Equal("m1"))
		_, ok = firstReplica(in, "m0")
		Expect(ok).To(BeFalse())
		_, ok = firstReplica(in, "unknown")
		Expect(ok).To(BeFalse())
	})
})

// Demand for one model jumps and fills its only engine while the weight store could
// load it on many others. Three changes at a time, each of six seconds, left callers
// refused for ten seconds.
var _ = Describe("Changes at the same time", func() {
	engine := func(loadsPerSecond float64, loadTimes ...time.Duration) *traffic.Engine {
		e := &traffic.Engine{LoadsPerSecond: loadsPerSecond}
		for _, t := range loadTimes {
			e.Models = append(e.Models, traffic.Model{LoadTime: t})
		}
		return e
	}
	It("are as many as the weight store serves at its rate limit", func() {
		Expect(maxConcurrentChanges(engine(2.4, 5*time.Second, 6*time.Second))).To(Equal(14))
		Expect(maxConcurrentChanges(engine(20, 4*time.Second))).To(Equal(80))
		Expect(maxConcurrentChanges(engine(0.5, time.Second))).To(Equal(minConcurrentChanges), "loads from copies don't use the weight store")
	})
})

// A popular model fills the slots of its five replicas for as long as its demand
// lasts, while most engines are idle: a sixth replica takes a sixth off each, which is
// less than what is asked of a change in calm times.
var _ = Describe("A model whose replicas have no free slots", func() {
	input := func(perReplica float64) planInput {
		in := planInput{slots: 24, models: []planModel{{name: "a", memoryMB: 10, demand: 5 * perReplica}}}
		for range 5 {
			in.engines = append(in.engines, engines([]string{"a"})...)
		}
		// The mean demand on an engine is more than half of that on a replica.
		in.engines = append(in.engines, engines([]string{"b"}, nil)...)
		for i := range in.engines {
			in.engines[i].id = fmt.Sprint("e", i)
			in.engines[i].copies = map[string]bool{"a": true, "b": true}
		}
		in.models = append(in.models, planModel{name: "b", memoryMB: 10})
		return in
	}
	It("gets one more replica, unless its demand leaves slots free", func() {
		c, ok := nextChange(input(1.1 * 24 * busyDemandPerSlot))
		Expect(ok).To(BeTrue())
		Expect(c.model).To(Equal("a"))
		_, ok = nextChange(input(0.9 * 24 * busyDemandPerSlot))
		Expect(ok).To(BeFalse())
	})
})

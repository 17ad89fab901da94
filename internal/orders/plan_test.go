package orders

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// engines returns engines with room for two models of 10 MB each.
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
			list = append(list, planModel{name: name, mb: 10, demand: demand})
		}
	}
	return list
}

func keep(list []planEngine, model string, ids ...string) []planEngine {
	for i := range list {
		for _, id := range ids {
			if list[i].id == id {
				list[i].copies[model] = true
			}
		}
	}
	return list
}

// carryOutAll applies the plan's changes until it has none, and returns their
// number.
func carryOutAll(in *planInput) int {
	for count := 0; ; count++ {
		c, ok := nextChange(*in)
		if !ok {
			return count
		}
		Expect(count).To(BeNumerically("<", 1000), "the plan goes in circles")
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
	It("loads a model that is asked for and held nowhere", func() {
		c, ok := nextChange(planInput{
			models:  models(map[string]float64{"m0": 100, "m1": 100}),
			engines: engines([]string{"m0"}, []string{"m0", "m0x"}),
		})
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(change{engine: "a", model: "m1", cold: true, unreachable: true}))
	})

	It("prefers an engine that keeps a copy of the weights, also where another has room", func() {
		list := keep(engines([]string{}, []string{"m0", "m2"}, []string{"m0", "m2"}), "m1", "b")
		c, ok := nextChange(planInput{models: models(map[string]float64{"m0": 100, "m1": 100, "m2": 100}), engines: list})
		Expect(ok).To(BeTrue())
		Expect(c.engine).To(Equal("b"))
		Expect(c.cold).To(BeFalse())
		Expect(c.victims).To(HaveLen(1))
	})

	It("leaves a model that nobody asks for where only a copy of it is kept", func() {
		list := keep(engines([]string{"m0"}, []string{"m0"}), "m1", "a")
		_, ok := nextChange(planInput{models: models(map[string]float64{"m0": 100, "m1": 0}), engines: list})
		Expect(ok).To(BeFalse())
	})

	It("loads a model that nobody asks for where no engine keeps a copy, without harm to the busy", func() {
		c, ok := nextChange(planInput{
			models:  models(map[string]float64{"m0": 0, "m1": 0, "m2": 0}),
			engines: engines([]string{"m0", "m1"}, []string{"m0", "m1"}, []string{"m0"}),
		})
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(change{engine: "c", model: "m2", cold: true, unreachable: true}))
	})

	// Demand moves to a model that one engine holds, while models that fell
	// silent hold the memory of the others.
	It("answers demand that moves to another model with replicas in place of idle ones", func() {
		list := engines([]string{"m0", "m1"}, []string{"m0", "m2"}, []string{"m0", "m3"})
		for _, name := range []string{"m0", "m1", "m2", "m3"} {
			list = keep(list, name, "a", "b", "c")
		}
		c, ok := nextChange(planInput{models: models(map[string]float64{"m0": 10, "m1": 40_000, "m2": 0, "m3": 0}), engines: list})
		Expect(ok).To(BeTrue())
		Expect(c.model).To(Equal("m1"))
		Expect(c.victims).To(HaveLen(1))
		Expect([]string{"m0", "m2", "m3"}).To(ContainElement(c.victims[0]))
	})

	It("never removes the last replica of a model that is asked for", func() {
		list := engines([]string{"m0", "m1"}, []string{"m2", "m3"})
		for _, name := range []string{"m0", "m1", "m2", "m3"} {
			list = keep(list, name, "a", "b")
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

	It("doesn't follow small swings", func() {
		list := engines([]string{"m0", "m1"}, []string{"m0", "m1"}, []string{"m0", "m1"})
		_, ok := nextChange(planInput{models: models(map[string]float64{"m0": 30_000, "m1": 26_000}), engines: list})
		Expect(ok).To(BeFalse())
	})

	It("spends no cold load on a model of middling demand", func() {
		list := engines([]string{"m0"}, []string{})
		in := planInput{models: models(map[string]float64{"m0": 6000}), engines: list}
		_, ok := nextChange(in)
		Expect(ok).To(BeFalse())
		keep(list, "m0", "b")
		c, ok := nextChange(in)
		Expect(ok).To(BeTrue())
		Expect(c.engine).To(Equal("b"))
	})

	// One model of many is asked for more and more, on a large deployment.
	It("adds replicas as long as they relieve, however many there are", func() {
		const count, mean = 140, 18_000.0
		in := planInput{}
		for i := range count {
			in.models = append(in.models, planModel{name: fmt.Sprint("rare", i), mb: 10, demand: 200})
			in.engines = append(in.engines, planEngine{
				id: fmt.Sprint("e", i), models: []string{fmt.Sprint("rare", i), fmt.Sprint("busy", i%20)}, copies: map[string]bool{},
			})
		}
		for i := range 20 {
			in.models = append(in.models, planModel{name: fmt.Sprint("busy", i), mb: 10, demand: mean * 3})
		}
		hot := planModel{name: "busy0", mb: 10, demand: mean * 40}
		in.models[count] = hot
		loads := carryOutAll(&in)
		holders := 0
		for _, e := range in.engines {
			if slices.Contains(e.models, hot.name) {
				holders++
			}
		}
		Expect(holders).To(BeNumerically(">=", 20), "of 140 engines for a third of the demand, where four were the most")
		Expect(loads).To(BeNumerically("<=", 80))
		for _, m := range in.models {
			Expect(newPlanner(in).replicas[m.name]).To(BeNumerically(">=", 1), m.name)
		}
	})

	It("takes no closed engine", func() {
		list := engines([]string{}, []string{})
		list[0].closed, list[1].closed = true, true
		_, ok := nextChange(planInput{models: models(map[string]float64{"m0": 100}), engines: list})
		Expect(ok).To(BeFalse())
	})

	It("brings a rare model at once, and only one that is held nowhere", func() {
		list := engines([]string{"m0"}, []string{"m0"})
		in := planInput{models: models(map[string]float64{"m0": 100, "m1": 0}), engines: list}
		c, ok := bring(in, "m1")
		Expect(ok).To(BeTrue())
		Expect(c.model).To(Equal("m1"))
		_, ok = bring(in, "m0")
		Expect(ok).To(BeFalse())
		_, ok = bring(in, "unknown")
		Expect(ok).To(BeFalse())
	})
})

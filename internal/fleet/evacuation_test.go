package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against requests, loads and path checks that reach a zone which the operators
// have evacuated.
var _ = Describe("Endpoints of an evacuated zone", func() {
	var (
		evacuated map[string]bool
		registry  *Registry
		work      = Work{Service: "llm", Model: "m"}
	)
	put := func(id, zone, software string, models ...string) {
		e := Endpoint{ID: id, Service: "llm", Address: id + ":1", Zone: zone, Software: software, Slots: 8, Models: map[string]Adapters{}}
		for _, m := range models {
			e.Models[m] = Adapters{}
		}
		registry.Put(e)
	}
	BeforeEach(func() {
		evacuated = map[string]bool{"z1": true}
		registry = NewRegistry(Config{Zone: "z1", Evacuated: func(zone string) bool { return evacuated[zone] }})
		put("e1", "z1", "v1", "m")
	})
	reason := func(w Work) Reason {
		attempt, reason := registry.Start(w)
		Expect(attempt).To(BeNil())
		return reason
	}

	It("are never chosen, not even if all others were tried, and again afterwards", func() {
		put("e2", "z2", "v1", "m")
		for range 20 {
			attempt, _ := registry.Start(Work{Service: "llm", Model: "m", Tried: []string{"e2"}})
			Expect(attempt.Endpoint.ID).To(Equal("e2"))
		}
		Expect(registry.Targets("llm")).To(HaveLen(1))
		evacuated["z1"] = false
		attempt, _ := registry.Start(Work{Service: "llm", Model: "m", Tried: []string{"e2"}})
		Expect(attempt.Endpoint.ID).To(Equal("e1"))
		Expect(registry.Targets("llm")).To(HaveLen(2))
	})

	It("are the reason if no other could serve the request", func() {
		Expect(reason(work)).To(Equal(ReasonZoneEvacuated))
		put("e2", "z2", "v2", "m")
		Expect(reason(Work{Service: "llm", Model: "m", Software: "v1"})).To(Equal(ReasonZoneEvacuated))
		Expect(reason(Work{Service: "llm", Model: "m", Software: "v0"})).To(Equal(ReasonOtherSoftware))
	})

	It("do not count as holding the model, so that others load it", func() {
		Expect(registry.HoldsModel("llm", "m")).To(BeFalse())
		put("e2", "z2", "v1", "other")
		Expect(reason(work)).To(Equal(ReasonModelNotHeld))
	})

	It("do not keep a backoff from being the reason", func() {
		put("e2", "z2", "v1", "m")
		attempt, _ := registry.Start(work)
		attempt.RecordBackoff(time.Minute)
		Expect(reason(work)).To(Equal(ReasonBackoff))
		Expect(registry.RemainingBackoff(work)).To(BeNumerically(">", 0))
	})
})

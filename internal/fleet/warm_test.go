package fleet

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against connections that are opened although an equally good endpoint has an open
// one, and against requests that queue behind others for the sake of a connection.
var _ = Describe("The choice among endpoints", func() {
	It("prefers one with an open connection only if it is nearly as good", func() {
		warm := "e2:1"
		registry := NewRegistry(Config{Zone: "z1", Warm: func(address string) bool { return address == warm }})
		for _, id := range []string{"e1", "e2", "e3"} {
			registry.Put(Endpoint{ID: id, Service: "app", Address: id + ":1", Zone: "z1", Slots: 6})
		}
		work := Work{Service: "app"}
		first, _ := registry.Start(work)
		Expect(first.Endpoint.ID).To(Equal("e2"))
		second, _ := registry.Start(work)
		Expect(second.Endpoint.ID).NotTo(Equal("e2"), "a request runs there")
		warm = "e4:1"
		registry.Put(Endpoint{ID: "e4", Service: "app", Address: warm, Zone: "z2", Slots: 6})
		third, _ := registry.Start(work)
		Expect(third.Endpoint.Zone).To(Equal("z1"), "a connection is cheaper than another zone")
	})
})

package traffic

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A configuration", func() {
	config := NewConfig(Spec{
		Routes: []Route{
			{Name: "short", Host: "h", PathPrefix: "/a/"},
			{Name: "long", Host: "h", PathPrefix: "/a/b/"},
			{Name: "other", Host: "i", PathPrefix: "/"},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}},
	})

	It("returns the host's route with the longest matching path prefix", func() {
		Expect(config.Route("h", "/a/x").Name).To(Equal("short"))
		Expect(config.Route("h", "/a/b/x").Name).To(Equal("long"))
		Expect(config.Route("h", "/a/bx").Name).To(Equal("short"))
		Expect(config.Route("h", "/ab")).To(BeNil())
		Expect(config.Route("h", "/")).To(BeNil())
		Expect(config.Route("i", "/a/b/x").Name).To(Equal("other"))
		Expect(config.Route("unknown", "/a/")).To(BeNil())
	})

	It("returns the organisation of a key", func() {
		Expect(config.OrganisationByKey("k2").Name).To(Equal("o"))
		Expect(config.OrganisationByKey("K2")).To(BeNil())
		Expect(config.OrganisationByKey("")).To(BeNil())
	})

	It("splits a route's requests by weight, and selects the same service for the same request", func() {
		route := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
		counts := map[string]int{}
		for i := range 5000 {
			id := fmt.Sprint(i)
			counts[route.SelectService(id)]++
			Expect(route.SelectService(id)).To(Equal(route.SelectService(id)))
		}
		Expect(counts["b"]).To(BeNumerically("~", 500, 100))
		Expect(counts).NotTo(HaveKey("c"))
		Expect((&Route{}).SelectService("x")).To(BeEmpty())
	})

	It("reports which requests may run more than once", func() {
		Expect((&Route{Kind: Idempotent}).MayRepeat()).To(BeTrue())
		Expect((&Route{Kind: NonIdempotent, Resumable: true}).MayRepeat()).To(BeFalse())
		Expect((&Route{Kind: Streaming}).MayRepeat()).To(BeFalse())
		Expect((&Route{Kind: Streaming, Resumable: true}).MayRepeat()).To(BeTrue())
	})
})

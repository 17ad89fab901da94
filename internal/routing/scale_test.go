package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/routing"
)

// BenchmarkChoice measures one choice among all endpoints of a host's registry,
// including the copy of their states. All endpoints serve the request, which is
// the most expensive case.
func BenchmarkChoice(b *testing.B) {
	for _, count := range []int{12, 60, 120, 840} {
		b.Run(fmt.Sprintf("endpoints=%d", count), func(b *testing.B) {
			var objects []*apiv1.Object
			for i := range count {
				objects = append(objects, &apiv1.Object{Spec: &apiv1.Object_Endpoint{Endpoint: &apiv1.Endpoint{
					Name: fmt.Sprintf("worker-%03d", i), Url: "http://127.0.0.1:1", Kind: apiv1.EndpointKind_ENDPOINT_KIND_SERVICE, Service: "s",
				}}})
			}
			registry := endpoint.NewRegistry(endpoint.Config{Source: config.Static{Snapshot: config.NewSnapshot(1, objects)}})
			rng := rand.New(rand.NewPCG(1, 1))
			req := routing.Request{Service: "s", Prefix: 7}
			b.ReportAllocs()
			for b.Loop() {
				states := registry.States()
				for i := range states {
					states[i].Reachable = true
				}
				eligible, _ := routing.Eligible(states, req)
				routing.Affinity{}.Choose(rng, eligible, req)
			}
		})
	}
}

package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func drawState(t *rapid.T, name string) endpoint.State {
	flip := rapid.IntRange(0, 3)
	s := endpoint.State{
		Config: &apiv1.Endpoint{
			Name: name, Zone: rapid.SampledFrom([]string{"qce-1", "qce-2"}).Draw(t, "zone"),
			Kind: apiv1.EndpointKind(rapid.IntRange(0, 2).Draw(t, "kind")), MaxConcurrent: 4,
			Draining: flip.Draw(t, "draining") == 0, Service: rapid.SampledFrom([]string{"", "registry"}).Draw(t, "service"),
		},
		Reachable: flip.Draw(t, "reachable") != 0,
		Draining:  flip.Draw(t, "leaving") == 0,
		Ejected:   flip.Draw(t, "ejected") == 0,
		InFlight:  rapid.IntRange(0, 5).Draw(t, "inflight"),
		ReportAge: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
		Prefixes:  endpoint.NewPrefixSet(),
	}
	s.InFlightDelta = rapid.IntRange(-3, s.InFlight).Draw(t, "since")
	s.Report.Running = rapid.IntRange(0, 9).Draw(t, "running")
	s.Report.Models = []engineapi.HeldModel{{
		Model: "m", Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
		State: rapid.SampledFrom([]engineapi.ItemState{engineapi.ItemReady, engineapi.ItemLoading}).Draw(t, "state"),
	}}
	if flip.Draw(t, "adapter") == 0 {
		s.Report.Adapters = []engineapi.HeldAdapter{{Adapter: "a", Model: "m", State: engineapi.ItemReady}}
	}
	return s
}

// TestPoliciesChooseEligible checks that Eligible returns only endpoints that hold
// what the request needs, are available and are below their capacity, that it
// gives a reason exactly if there is none, and that every policy then chooses one
// of them.
func TestPoliciesChooseEligible(t *testing.T) {
	policies := []Policy{Random{}, LeastReported{}, PowerOfTwo{}, Affinity{}}
	rapid.Check(t, func(t *rapid.T) {
		var states []endpoint.State
		for i := range rapid.IntRange(0, 6).Draw(t, "endpoints") {
			states = append(states, drawState(t, fmt.Sprintf("worker-%d", i)))
		}
		req := Request{Zone: "qce-1", Prefix: rapid.Uint64().Draw(t, "prefix"), Tried: []string{"worker-0"}}
		if rapid.Bool().Draw(t, "plain") {
			req.Service = "registry"
		} else {
			req.Model, req.Version = "m", "v1"
			req.Adapter = rapid.SampledFrom([]string{"", "a"}).Draw(t, "requested adapter")
		}
		eligible, reason := Eligible(states, req)
		if (len(eligible) == 0) != (reason != ReasonNone) {
			t.Fatalf("%d eligible, reason %q", len(eligible), reason)
		}
		for i := range eligible {
			s := &eligible[i]
			if !s.Reachable || s.Draining || s.Ejected || s.Config.GetDraining() || s.InFlight >= s.Capacity() {
				t.Fatalf("not available: %+v", s)
			}
			if req.Service == "" && (!s.HoldsModel("m", "v1") || req.Adapter != "" && !s.HoldsAdapter("a")) {
				t.Fatalf("not held: %+v", s)
			}
		}
		if len(eligible) > 1 {
			for i := range eligible {
				if eligible[i].Config.GetName() == "worker-0" {
					t.Fatalf("an endpoint that failed the request is eligible together with others")
				}
			}
		}
		for _, policy := range policies {
			if len(eligible) == 0 {
				break
			}
			if i := policy.Choose(rand.New(rand.NewPCG(1, 1)), eligible, req); i < 0 || i >= len(eligible) {
				t.Fatalf("%T chose %d of %d", policy, i, len(eligible))
			}
		}
	})
}

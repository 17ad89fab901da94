package config

import (
	"math"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// put returns a mutation that creates an object, or updates it if the snapshot
// contains it.
func put(s *Snapshot, obj *apiv1.Object) *apiv1.Mutation {
	key := KeyOf(obj)
	return &apiv1.Mutation{Kind: key.Kind, Name: key.Name, ExpectedVersion: s.Object(key.Kind, key.Name).GetVersion(), Object: obj}
}

// remove returns a mutation that deletes an object of the snapshot.
func remove(s *Snapshot, kind apiv1.Kind, name string) *apiv1.Mutation {
	return &apiv1.Mutation{Kind: kind, Name: name, ExpectedVersion: s.Object(kind, name).GetVersion(), Delete: true}
}

var hash = strings.Repeat("0a", 32)

// validObjects returns a valid configuration with one object of each kind.
func validObjects() []*apiv1.Object {
	return []*apiv1.Object{
		{Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: "org", Weight: 1}}},
		{Spec: &apiv1.Object_Key{Key: &apiv1.Key{Name: "key", Organisation: "org", SecretSha256: hash}}},
		{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: "model", ServingVersion: "v1", Organisations: []string{"org"}}}},
		{Spec: &apiv1.Object_ModelVersion{ModelVersion: &apiv1.Version{Name: "v1", Model: "model", MemoryBytes: 60, Weights: "w"}}},
		{Spec: &apiv1.Object_Adapter{Adapter: &apiv1.Adapter{Name: "adapter", Model: "model", MemoryBytes: 10}}},
		{Spec: &apiv1.Object_Endpoint{Endpoint: &apiv1.Endpoint{
			Name: "engine", Zone: "z", Kind: apiv1.EndpointKind_ENDPOINT_KIND_ENGINE, Url: "http://127.0.0.1:9000",
			MemoryBytes: 100, AdapterMemoryBytes: 20, Pool: "pool",
		}}},
		{Spec: &apiv1.Object_Route{Route: &apiv1.Route{Name: "route", Service: "ledger", Method: "POST", PathPrefix: "/charge"}}},
		{Spec: &apiv1.Object_PlacementPolicy{PlacementPolicy: &apiv1.PlacementPolicy{Name: "policy", Models: []string{"model"}, Pools: []string{"pool"}}}},
		{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{Name: "rate", Organisation: "org", TokensPerSecond: 1, BurstTokens: 1}}},
	}
}

func validSnapshot() *Snapshot {
	empty := NewSnapshot(0, nil)
	var mutations []*apiv1.Mutation
	for _, obj := range validObjects() {
		mutations = append(mutations, put(empty, obj))
	}
	after, err := Validate(empty, mutations)
	if err != nil {
		panic(err)
	}
	return after
}

// edited returns a mutation that changes one object of the snapshot.
func edited(s *Snapshot, kind apiv1.Kind, name string, edit func(*apiv1.Object)) *apiv1.Mutation {
	obj := proto.CloneOf(s.Object(kind, name))
	edit(obj)
	return put(s, obj)
}

var _ = DescribeTable("Validate reports the invalid field",
	func(change func(s *Snapshot) *apiv1.Mutation, field string) {
		s := validSnapshot()
		_, err := Validate(s, []*apiv1.Mutation{change(s)})
		var invalid *ValidationError
		Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
		Expect(invalid.Faults).To(ContainElement(HaveField("Field", field)))
	},
	Entry("name", func(*Snapshot) *apiv1.Mutation { return putOrganisation("Org.", 0, 1) }, "mutations[0].name"),
	Entry("weight", func(*Snapshot) *apiv1.Mutation { return putOrganisation("o", 0, math.NaN()) }, "mutations[0].object.organisation.weight"),
	Entry("object missing", func(*Snapshot) *apiv1.Mutation {
		return &apiv1.Mutation{Kind: apiv1.Kind_KIND_KEY, Name: "k"}
	}, "mutations[0].object"),
	Entry("object with a different name", func(*Snapshot) *apiv1.Mutation {
		m := putOrganisation("o", 0, 1)
		m.Name = "p"
		return m
	}, "mutations[0].object"),
	Entry("empty mutation", func(*Snapshot) *apiv1.Mutation { return nil }, "mutations[0].kind"),
	Entry("deletion of a referenced object", func(s *Snapshot) *apiv1.Mutation {
		return remove(s, apiv1.Kind_KIND_ORGANISATION, "org")
	}, "mutations[0].delete"),
	Entry("deletion of the only endpoint with enough memory", func(s *Snapshot) *apiv1.Mutation {
		return remove(s, apiv1.Kind_KIND_ENDPOINT, "engine")
	}, "model/model.serving_version"),
	Entry("key of an unknown organisation", func(s *Snapshot) *apiv1.Mutation {
		return put(s, &apiv1.Object{Spec: &apiv1.Object_Key{Key: &apiv1.Key{Name: "k2", Organisation: "none", SecretSha256: hash}}})
	}, "mutations[0].object.key.organisation"),
	Entry("key with the secret of another key", func(s *Snapshot) *apiv1.Mutation {
		return put(s, &apiv1.Object{Spec: &apiv1.Object_Key{Key: &apiv1.Key{Name: "k2", Organisation: "org", SecretSha256: hash}}})
	}, "mutations[0].object.key.secret_sha256"),
	Entry("key moved to another organisation", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_KEY, "key", func(o *apiv1.Object) { o.GetKey().Organisation = "other" })
	}, "mutations[0].object.key.organisation"),
	Entry("model with an unknown version", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_MODEL, "model", func(o *apiv1.Object) { o.GetModel().ServingVersion = "v2" })
	}, "mutations[0].object.model.serving_version"),
	Entry("model with the name of an adapter", func(s *Snapshot) *apiv1.Mutation {
		return put(s, &apiv1.Object{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: "adapter"}}})
	}, "mutations[0].object.model.name"),
	Entry("max_tokens", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_MODEL, "model", func(o *apiv1.Object) { o.GetModel().MaxTokens = -1 })
	}, "mutations[0].object.model.max_tokens"),
	Entry("version too large for every endpoint", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_VERSION, "v1", func(o *apiv1.Object) { o.GetModelVersion().MemoryBytes = 81 })
	}, "model/model.serving_version"),
	Entry("policy whose pools contain no endpoint", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_PLACEMENT_POLICY, "policy", func(o *apiv1.Object) { o.GetPlacementPolicy().Pools = []string{"none"} })
	}, "model/model.serving_version"),
	Entry("policy for an unknown model", func(s *Snapshot) *apiv1.Mutation {
		return put(s, &apiv1.Object{Spec: &apiv1.Object_PlacementPolicy{PlacementPolicy: &apiv1.PlacementPolicy{Name: "p2", Models: []string{"none"}}}})
	}, "mutations[0].object.placement_policy.models"),
	Entry("second policy of a model", func(s *Snapshot) *apiv1.Mutation {
		return put(s, &apiv1.Object{Spec: &apiv1.Object_PlacementPolicy{PlacementPolicy: &apiv1.PlacementPolicy{Name: "first", Models: []string{"model"}}}})
	}, "mutations[0].object.placement_policy.models"),
	Entry("adapter of an unknown model", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_ADAPTER, "adapter", func(o *apiv1.Object) { o.GetAdapter().Model = "none" })
	}, "mutations[0].object.adapter.model"),
	Entry("adapter too large for every endpoint", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_ADAPTER, "adapter", func(o *apiv1.Object) { o.GetAdapter().MemoryBytes = 21 })
	}, "mutations[0].object.adapter.memory_bytes"),
	Entry("endpoint with a host name in its URL", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_ENDPOINT, "engine", func(o *apiv1.Object) { o.GetEndpoint().Url = "http://engine:9000" })
	}, "mutations[0].object.endpoint.url"),
	Entry("endpoint without a kind", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_ENDPOINT, "engine", func(o *apiv1.Object) { o.GetEndpoint().Kind = 0 })
	}, "mutations[0].object.endpoint.kind"),
	Entry("route that matches the same requests as another", func(s *Snapshot) *apiv1.Mutation {
		return put(s, &apiv1.Object{Spec: &apiv1.Object_Route{Route: &apiv1.Route{Name: "first", Service: "ledger", Method: "POST", PathPrefix: "/charge"}}})
	}, "mutations[0].object.route.path_prefix"),
	Entry("path prefix with .. segments", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_ROUTE, "route", func(o *apiv1.Object) { o.GetRoute().PathPrefix = "/a/../b" })
	}, "mutations[0].object.route.path_prefix"),
	Entry("rate policy of an unknown organisation", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_RATE_POLICY, "rate", func(o *apiv1.Object) { o.GetRatePolicy().Organisation = "none" })
	}, "mutations[0].object.rate_policy.organisation"),
	Entry("rate policy of zero tokens per second", func(s *Snapshot) *apiv1.Mutation {
		return edited(s, apiv1.Kind_KIND_RATE_POLICY, "rate", func(o *apiv1.Object) { o.GetRatePolicy().TokensPerSecond = 0 })
	}, "mutations[0].object.rate_policy.tokens_per_second"),
	Entry("second rate policy of an organisation", func(s *Snapshot) *apiv1.Mutation {
		return put(s, &apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{Name: "another", Organisation: "org", TokensPerSecond: 1, BurstTokens: 1}}})
	}, "mutations[0].object.rate_policy.organisation"),
)

var _ = It("reports all faults together", func() {
	_, err := Validate(NewSnapshot(0, nil), []*apiv1.Mutation{
		putOrganisation("a", 0, -1), putOrganisation("b", 0, math.Inf(1)),
		{Kind: apiv1.Kind_KIND_RATE_POLICY, Name: "r", Object: &apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{Name: "r"}}}},
	})
	Expect(err).To(HaveField("Faults", HaveLen(5)))
})

// FuzzChange decodes and validates changes as operators or the platform may send
// them. Neither may panic, and an accepted change must give the same state after
// it was encoded and decoded.
func FuzzChange(f *testing.F) {
	for _, obj := range validObjects() {
		value, err := protojson.Marshal(&apiv1.Change{Revision: 2, Mutations: []*apiv1.Mutation{put(validSnapshot(), obj)}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(value))
	}
	f.Add([]byte(`{"mutations":[{"kind":2,"name":"key","delete":true,"expectedVersion":"1"},{"object":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decodeChange(objectstore.Object{Name: changeName(2), Value: data})
		change := &apiv1.Change{}
		if protojson.Unmarshal(data, change) != nil {
			return
		}
		before := validSnapshot()
		after, err := Validate(before, change.Mutations)
		if err != nil {
			return
		}
		change.Revision = 2
		value, err := encodeChange(change)
		if err != nil {
			t.Fatal(err)
		}
		stored, err := decodeChange(objectstore.Object{Name: changeName(2), Value: value})
		if err != nil {
			t.Fatal(err)
		}
		if got, want := fingerprint(before.after([]*apiv1.Change{stored})), fingerprint(after); got != want {
			t.Fatalf("state after reading back:\n%s\nwant\n%s", got, want)
		}
	})
}

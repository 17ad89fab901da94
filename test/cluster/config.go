package cluster

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
)

// configureTimeout is the time within which a configuration change has to be
// accepted, and then to be in force on all hosts.
const configureTimeout = "20s"

// configure applies the initial configuration of the cluster and waits until it
// is in force on all hosts.
func (c *Cluster) configure() {
	ginkgo.GinkgoHelper()
	objects := append(organisations(), routes()...)
	if len(c.Engines) > 0 {
		objects = append(objects, models()...)
	}
	objects = append(objects, c.options.Objects...)
	for _, engine := range c.Engines {
		objects = append(objects, endpointObject(&apiv1.Endpoint{
			Name: engine.Name, Zone: engine.Zone, Kind: apiv1.EndpointKind_ENDPOINT_KIND_ENGINE,
			Url: engine.Relay.URL(), MemoryBytes: engineMemoryBytes, AdapterMemoryBytes: engineMemoryBytes / 10, Pool: "engines",
		}))
	}
	for _, service := range c.Services {
		objects = append(objects, endpointObject(&apiv1.Endpoint{
			Name: service.Name, Zone: service.Zone, Kind: apiv1.EndpointKind_ENDPOINT_KIND_SERVICE,
			Url: service.Relay.URL(), Service: Service, Pool: "services",
		}))
	}
	revision := c.Apply(c.Hosts[0], objects...)
	for _, host := range c.Hosts {
		gomega.Eventually(host.Revision, configureTimeout, "50ms").Should(gomega.BeNumerically(">=", revision))
	}
}

// Apply creates or replaces objects through a host and returns the revision. It
// retries until the host accepts the change.
func (c *Cluster) Apply(h *Host, objects ...*apiv1.Object) int64 {
	ginkgo.GinkgoHelper()
	mutations := make([]*apiv1.Mutation, len(objects))
	for i, object := range objects {
		key := config.KeyOf(object)
		mutations[i] = &apiv1.Mutation{Kind: key.Kind, Name: key.Name, ExpectedVersion: object.Version, Object: object}
	}
	var revision int64
	gomega.Eventually(func(g gomega.Gomega) {
		ctx, admin := h.Admin()
		applied, err := admin.Apply(ctx, &apiv1.ApplyRequest{Mutations: mutations, WaitMillis: 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		revision = applied.Revision
	}, configureTimeout, "100ms").Should(gomega.Succeed())
	return revision
}

// GrantKey grants a key through a host, waits until the grant is in force on every
// host, and returns the key's secret.
func (c *Cluster) GrantKey(h *Host, name, organisation string) string {
	ginkgo.GinkgoHelper()
	ctx, admin := h.Admin()
	granted, err := admin.GrantKey(ctx, &apiv1.GrantKeyRequest{Name: name, Organisation: organisation})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, host := range c.Hosts {
		gomega.Eventually(host.Revision, configureTimeout, "50ms").Should(gomega.BeNumerically(">=", granted.Applied.Revision))
	}
	return granted.Secret
}

func organisations() []*apiv1.Object {
	var objects []*apiv1.Object
	for _, name := range []string{OrganisationA, OrganisationB} {
		policy := &apiv1.RatePolicy{Name: name, Organisation: name, TokensPerSecond: nonLimitingTokens, BurstTokens: nonLimitingTokens}
		objects = append(
			objects,
			&apiv1.Object{Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: name}}},
			&apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: policy}},
		)
	}
	return objects
}

func models() []*apiv1.Object {
	version := &apiv1.Version{Name: Version, Model: Model, MemoryBytes: modelBytes, Weights: Version}
	return []*apiv1.Object{
		{Spec: &apiv1.Object_ModelVersion{ModelVersion: version}},
		{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: Model, ServingVersion: Version}}},
		{Spec: &apiv1.Object_Adapter{Adapter: &apiv1.Adapter{Name: Adapter, Model: Model, MemoryBytes: adapterBytes, Organisations: []string{OrganisationA}}}},
		{Spec: &apiv1.Object_PlacementPolicy{PlacementPolicy: &apiv1.PlacementPolicy{Name: "engines", Pools: []string{"engines"}, MinReplicasPerZone: 2}}},
	}
}

func routes() []*apiv1.Object {
	return []*apiv1.Object{
		{Spec: &apiv1.Object_Route{Route: &apiv1.Route{Name: "certificates", Service: Service, PathPrefix: "/certificates"}}},
		{Spec: &apiv1.Object_Route{Route: &apiv1.Route{Name: "lookups", Service: Service, PathPrefix: "/lookups", Repeatable: true}}},
		{Spec: &apiv1.Object_Route{Route: &apiv1.Route{Name: "open", Service: Service, PathPrefix: "/open", Repeatable: true, Open: true}}},
	}
}

func endpointObject(endpoint *apiv1.Endpoint) *apiv1.Object {
	return &apiv1.Object{Spec: &apiv1.Object_Endpoint{Endpoint: endpoint}}
}

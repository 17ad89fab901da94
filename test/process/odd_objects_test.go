package process_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("An odd object of another writer in the platform's store", func() {
	// Guards against hosts that don't become ready, or follow no changes, place no models or
	// answer no queries, since one object can't be decoded.
	It("costs nothing but itself", func() {
		c := cluster.Start(programs, cluster.Options{EnginesPerZone: 2, Settings: func(s *settings.Settings) {
			s.Placement.Lease = settings.Duration(2 * time.Second)
		}})
		ctx := context.Background()
		store := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{c.Platform.URL}})
		put := func(kind objectstore.Kind, name, value string) {
			GinkgoHelper()
			Eventually(func() error { // the holder may write the object meanwhile
				object, err := store.Get(ctx, kind, name)
				if err != nil {
					_, err = store.Create(ctx, kind, name, unique("odd"), json.RawMessage(value))
					return err
				}
				_, err = store.Update(ctx, kind, name, object.Version, unique("odd"), json.RawMessage(value))
				return err
			}).Should(Succeed())
		}
		caller := cluster.NewCaller(c.GrantKey(c.Hosts[0], "key", cluster.OrganisationA))
		caller.ExpectServes(c.Hosts[0])
		put(objectstore.KindConfigChange, "odd", `5`)
		put(objectstore.KindConfigChange, "000000009999", `{"revision":"many"}`)
		put(objectstore.KindDecisionSegment, time.Now().UTC().Format("200601021504")[:11]+"0-odd", `{"decisions":5}`)
		put(objectstore.KindEndpointIntent, c.Engines[0].Name, `5`)
		put(objectstore.KindLease, "placement-zone-0", `{"term":-1}`)
		late := cluster.NewCaller(c.GrantKey(c.Hosts[0], "late", cluster.OrganisationB))
		late.ExpectServes(c.Hosts[0])
		started := c.StartHost("started", c.Hosts[0].Zone)
		late.ExpectServes(started)

		c.Apply(started,
			&apiv1.Object{Spec: &apiv1.Object_ModelVersion{ModelVersion: &apiv1.Version{Name: "second-v1", Model: "second", MemoryBytes: 1000, Weights: "second-v1"}}},
			&apiv1.Object{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: "second", ServingVersion: "second-v1"}}},
		)
		Eventually(func() int { return len(c.Engines[1].State().Report.Models) }, "30s").Should(Equal(2), "models on the engine with sound intents")
		Expect(c.Engines[0].State().Report.Models).To(HaveLen(1))
		operator, admin := started.Admin()
		_, err := admin.Decisions(operator, &apiv1.DecisionsRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Logs()).To(ContainSubstring("entry ignored"))
	})
})

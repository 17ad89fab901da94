package process_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("An error that states that the request was not run", func() {
	It("is correct for every refusal", func() {
		c := cluster.Start(programs, cluster.Options{EnginesPerZone: 2, ServicesPerZone: 1})
		host := c.Hosts[0]
		key := c.GrantKey(host, "key", cluster.OrganisationA)
		caller, unknownCaller := cluster.NewCaller(key), cluster.NewCaller("bsk_nobody")
		other := cluster.NewCaller(c.GrantKey(host, "other", cluster.OrganisationB))
		caller.ExpectServes(host)

		check := func(name string, sender *cluster.Caller, path, body string, header http.Header) {
			GinkgoHelper()
			marker := unique("marker")
			response := sender.Send(context.Background(), host, http.MethodPost, path, strings.ReplaceAll(body, "MARKER", marker), header)
			Expect(response.Err).NotTo(HaveOccurred(), name)
			Expect(response.Status).To(BeNumerically(">=", http.StatusBadRequest), "%s: %s", name, response.Body)
			Expect(response.Error.Code).NotTo(BeEmpty(), "%s: %s", name, response.Body)
			Expect(response.Error.Message).NotTo(BeEmpty(), "%s: %s", name, response.Body)
			Expect(response.Error.Run).To(Equal("not run"), "%s: %s", name, response.Body)
			Expect(c.Runs(marker)).To(BeZero(), "%s: %s", name, response.Body)
		}
		const completions, body = "/v1/completions", `{"model":"draft","prompt":"MARKER","max_tokens":2}`
		idempotent := http.Header{"Idempotency-Key": {"one"}}
		check("no key", cluster.NewCaller(""), completions, body, nil)
		check("unknown key", unknownCaller, completions, body, nil)
		check("two keys", caller, completions, body, http.Header{"Authorization": {"Bearer " + key, "Bearer x"}})
		check("unknown model", caller, completions, `{"model":"none","prompt":"MARKER"}`, nil)
		check("adapter of another organisation", other, completions, `{"model":"draft-sapphire","prompt":"MARKER"}`, nil)
		check("negative max_tokens", caller, completions, `{"model":"draft","prompt":"MARKER","max_tokens":-1}`, nil)
		check("too many tokens", caller, completions, `{"model":"draft","prompt":"MARKER","max_tokens":1000000000}`, nil)
		check("broken JSON", caller, completions, `{"model":"draft","prompt":"MARKER"`, nil)
		check("large body", caller, completions, `{"model":"draft","prompt":"MARKER`+strings.Repeat("x", 20<<20)+`"}`, nil)
		check("unknown service", caller, "/services/none/x", `{"request":"MARKER"}`, idempotent)
		check("no idempotency key", caller, cluster.Certificates, `{"request":"MARKER"}`, nil)
		check("no route", caller, "/services/registry/none", `{"request":"MARKER"}`, idempotent)

		rate := &apiv1.RatePolicy{Name: cluster.OrganisationB, Organisation: cluster.OrganisationB, TokensPerSecond: 0.001, BurstTokens: 1}
		ctx, admin := host.Admin()
		_, err := admin.Apply(ctx, &apiv1.ApplyRequest{Mutations: []*apiv1.Mutation{{
			Kind: apiv1.Kind_KIND_RATE_POLICY, Name: rate.Name, ExpectedVersion: 1,
			Object: &apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: rate}},
		}}})
		Expect(err).NotTo(HaveOccurred())
		check("rate exceeded", other, completions, body, nil)

		c.Platform.Control(cluster.Change{"down": true})
		check("platform down", caller, cluster.Certificates, `{"request":"MARKER"}`, http.Header{"Idempotency-Key": {"two"}})
		c.Platform.Control(cluster.Change{"down": false})
		for _, engine := range c.Engines {
			engine.Kill()
		}
		for _, service := range c.Services {
			service.Kill()
		}
		for range 10 {
			response := caller.Complete(host, cluster.CompletionRequest{Model: cluster.Model, Prompt: "dead", MaxTokens: 1})
			Expect(response.Status).To(BeNumerically(">=", http.StatusInternalServerError), response.Body)
			Expect(response.Error.Run).NotTo(BeEmpty(), response.Body)
		}
	})

	It("is not returned for a repeated idempotency key whose first call ran", func() {
		c := cluster.Start(programs, cluster.Options{ServicesPerZone: 1})
		host := c.Hosts[0]
		caller := cluster.NewCaller(c.GrantKey(host, "key", cluster.OrganisationA))
		Eventually(host.UsableUnits).Should(BeNumerically(">", 0))
		limit := &apiv1.RatePolicy{Name: cluster.OrganisationA, Organisation: cluster.OrganisationA, TokensPerSecond: 0.001, BurstTokens: 1.5}
		ctx, admin := host.Admin()
		_, err := admin.Apply(ctx, &apiv1.ApplyRequest{Mutations: []*apiv1.Mutation{{
			Kind: apiv1.Kind_KIND_RATE_POLICY, Name: limit.Name, ExpectedVersion: 1,
			Object: &apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: limit}},
		}}})
		Expect(err).NotTo(HaveOccurred())
		first := caller.RequestCertificate(host, "certificate", "certificate")
		Expect(first.OK()).To(BeTrue(), first.Body)
		repeat := caller.RequestCertificate(host, "certificate", "certificate")
		Expect(c.Runs("certificate")).To(Equal(1))
		Expect(repeat.NotRun()).To(BeFalse(), repeat.Body)
	})
})

package process_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("A caller's key", func() {
	It("appears in no endpoint request, log, metric, state dump or error, on any path", func() {
		c := cluster.Start(programs, cluster.Options{EnginesPerZone: 2, ServicesPerZone: 2})
		key := c.GrantKey(c.Hosts[0], "key", cluster.OrganisationA)
		other := c.GrantKey(c.Hosts[0], "other", cluster.OrganisationB)
		caller := cluster.NewCaller(key)
		caller.ExpectServes(c.Hosts[0])
		host := c.Hosts[0]
		var responses []*cluster.Response
		send := func(path, body string, header http.Header) {
			responses = append(responses, caller.Send(context.Background(), host, http.MethodPost, path, body, header))
		}
		headers := []http.Header{
			{},
			{"X-Api-Key": {key}},
			{"Cookie": {"key=" + key}},
			{"X-Forwarded-Authorization": {"Bearer " + key}},
			{"Proxy-Authorization": {"Bearer " + key}},
			{"Referer": {"http://example/?key=" + key}},
			{"Authorization": {"Bearer " + key, "Bearer " + other}},
			{"Authorization": {"Bearer " + key + " "}},
			{"Idempotency-Key": {key}},
			{"X-Request-Id": {key}},
		}
		for _, header := range headers {
			for _, query := range []string{"", "?api_key=" + key, "?access_token=" + key} {
				send("/v1/completions"+query, `{"model":"draft","prompt":"a","max_tokens":2}`, header)
				send("/v1/chat/completions"+query, `{"model":"draft","messages":[{"role":"user","content":"a"}],"max_tokens":2}`, header)
				send(cluster.Certificates+query, `{"request":"a"}`, header)
				send(cluster.Lookups+query, `{"request":"a"}`, header)
				send(cluster.Open+query, `{"request":"a"}`, header)
			}
		}
		for _, fault := range []cluster.Change{{"errors": 1}, {"cut": 1, "cutAfter": 1}, {"crossed": 1}, {"closeBeforeRun": 1}} {
			for _, engine := range c.Engines {
				engine.Control(fault)
			}
			send("/v1/completions", `{"model":"draft","prompt":"retry","max_tokens":4,"stream":true}`, nil)
		}
		for _, text := range []string{key, `\u0062` + key[1:]} {
			send("/v1/completions", `{"model":"`+text+`","prompt":"a"}`, nil)
			send("/v1/completions", `{"model":"draft","prompt":"`+text+`"}`, nil)
		}
		send(cluster.Certificates, `{"request":"`+key+`"}`, http.Header{"Idempotency-Key": {"body"}})
		send("/services/"+key+"/x", `{}`, nil)
		send("/services/registry/lookups/"+key, `{}`, nil)

		Expect(c.Runs("retry")).To(BeNumerically(">=", 4))
		journal, err := json.Marshal(c.Journal())
		Expect(err).NotTo(HaveOccurred())
		for _, secret := range []string{key, other} {
			Expect(string(journal)).NotTo(ContainSubstring(secret))
			Expect(c.Logs()).NotTo(ContainSubstring(secret))
			for _, path := range []string{"/metrics", "/debug/state", "/healthz", "/readyz"} {
				Expect(debugPage(host, path)).NotTo(ContainSubstring(secret))
			}
			for _, response := range responses {
				Expect(response.Body).NotTo(ContainSubstring(secret))
			}
		}
	})
})

// debugPage returns a page of the host's debug listener.
func debugPage(h *cluster.Host, path string) string {
	GinkgoHelper()
	resp, err := http.Get("http://" + h.Addresses.Debug + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(text).NotTo(BeEmpty())
	return string(text)
}

package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

var _ = Describe("Gateway", func() {
	It("serves a non-streamed completion and accounts for its tokens", func() {
		f := newFixture()
		r := f.chat("")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Expect(r.body).To(ContainSubstring(fmt.Sprintf("%q", generatedText(""))))
		Expect(f.recorder.find(r.header.Get("X-Decision-Id"))).NotTo(BeNil())
		reserved, consumed, settled := f.limiter.used()
		Expect(reserved).To(Equal(2.0 + 8))
		Expect(consumed + settled).To(Equal(reserved))
	})

	It("serves a streamed completion of an adapter up to the final marker", func() {
		f := newFixture()
		r := f.do("POST", "/v1/completions", `{"model":"draft-rings","prompt":"a ring","max_tokens":8,"stream":true}`)
		Expect(r.err).NotTo(HaveOccurred())
		text, last := streamText(r.body)
		Expect(text).To(Equal(generatedText("draft-rings")))
		Expect(last).To(Equal("[DONE]"))
	})

	It("lists the models that the organisation may use", func() {
		f := newFixture()
		Expect(f.do("GET", "/v1/models", "").body).To(ContainSubstring("draft-rings"))
		Expect(f.do("GET", "/v1/models", "", "Authorization", "Bearer "+otherSecret).body).NotTo(ContainSubstring("draft-rings"))
	})

	It("runs a non-repeatable call once and replays its response", func() {
		f := newFixture()
		register := func(body string) reply {
			return f.do("POST", "/services/registry/certificates", body, "Idempotency-Key", "c-1", "Content-Type", "application/json")
		}
		first := register(`{"request":"ring 1"}`)
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		second := register(`{"request":"ring 1"}`)
		Expect(second.body).To(Equal(first.body))
		Expect(second.header.Get("X-Idempotent-Replay")).To(Equal("true"))
		Expect(register(`{"request":"ring 2"}`).status).To(Equal(http.StatusUnprocessableEntity))
		Expect(f.serviceRuns()).To(BeEquivalentTo(1))
	})

	DescribeTable("rejects an invalid request before it runs",
		func(method, path, body string, header []string, status int, code string) {
			f := newFixture()
			r := f.do(method, path, body, header...)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(status), r.body)
			failure := r.failure().Error
			Expect(failure.Code).To(Equal(code))
			Expect(failure.Run).To(Equal("not run"))
			Expect(failure.Message).NotTo(ContainSubstring(secret))
			Expect(f.recorder.find(failure.DecisionID)).NotTo(BeNil())
			Expect(f.serviceRuns()).To(BeZero())
			for _, engine := range f.engines {
				Expect(engine.State().Journal).To(BeEmpty())
			}
		},
		Entry("no key", "GET", "/v1/models", "", []string{"Authorization", ""}, 401, "key_missing"),
		Entry("an unknown key", "GET", "/v1/models", "", []string{"Authorization", "Bearer x"}, 401, "key_invalid"),
		Entry("the key in the query", "GET", "/v1/models?api_key="+secret, "", nil, 401, "key_misplaced"),
		Entry("the key in a service's query", "GET", "/services/registry/certificates?x="+secret, "", nil, 401, "key_misplaced"),
		Entry("the key in the prompt", "POST", "/v1/completions", `{"model":"draft","prompt":"`+secret+`"}`, nil, 401, "key_misplaced"),
		Entry("the key in a service's body", "POST", "/services/registry/certificates", secret, []string{"Idempotency-Key", "k"}, 401, "key_misplaced"),
		Entry("the key escaped in a service's body", "POST", "/services/registry/certificates",
			fmt.Sprintf(`{"x":["\u%04x%s"]}`, secret[0], secret[1:]), []string{"Idempotency-Key", "k"}, 401, "key_misplaced"),
		Entry("broken JSON", "POST", "/v1/completions", `{"model":`, nil, 400, "body_invalid"),
		Entry("two JSON values", "POST", "/v1/completions", `{"model":"draft","prompt":"x"}{}`, nil, 400, "body_invalid"),
		Entry("20 MB", "POST", "/v1/completions", strings.Repeat("x", 20<<20), nil, 413, "body_too_large"),
		Entry("an unknown model", "POST", "/v1/completions", `{"model":"m","prompt":"x"}`, nil, 404, "model_not_found"),
		Entry("another organisation's adapter", "POST", "/v1/completions", `{"model":"draft-rings","prompt":"x"}`,
			[]string{"Authorization", "Bearer " + otherSecret}, 404, "model_not_found"),
		Entry("negative max_tokens", "POST", "/v1/completions", `{"model":"draft","prompt":"x","max_tokens":-1}`, nil, 400, "parameter_invalid"),
		Entry("huge max_tokens", "POST", "/v1/completions", `{"model":"draft","prompt":"x","max_tokens":1e300}`, nil, 400, "parameter_invalid"),
		Entry("max_tokens over the model's limit", "POST", "/v1/completions", `{"model":"draft","prompt":"x","max_tokens":5000}`, nil, 400, "parameter_invalid"),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"draft"}`, nil, 400, "parameter_invalid"),
		Entry("an unknown class", "POST", "/v1/completions", `{}`, []string{"X-Request-Class", "x"}, 400, "header_invalid"),
		Entry("an unknown path", "GET", "/v2", "", nil, 404, "path_unknown"),
		Entry("a wrong method", "GET", "/v1/completions", "", nil, 405, "method_not_allowed"),
		Entry("no idempotency key", "POST", "/services/registry/certificates", "x", nil, 400, "idempotency_key_missing"),
		Entry("an unknown route", "GET", "/services/registry/certificates-of-others", "", nil, 404, "route_not_found"),
		Entry("dot segments", "GET", "/services/registry/public/..%2fprivate", "", nil, 400, "path_invalid"),
		Entry("another organisation's route", "GET", "/services/registry/private", "", nil, 403, "not_permitted"),
	)

	It("returns Retry-After immediately if the rate limit is exceeded", func() {
		f := newFixture()
		f.limiter.refuse = &ratelimit.RefusedError{Reason: ratelimit.ReasonRate, RetryAfter: 3200 * time.Millisecond}
		r := f.chat("")
		Expect(r.status).To(Equal(http.StatusTooManyRequests))
		Expect(r.header.Get("Retry-After")).To(Equal("4"))
	})
})

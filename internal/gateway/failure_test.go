package gateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
	"bilberryslip.example/bilberryslip/internal/standin/serviceserver"
)

// setEngineFaults changes the injected faults of all engines.
func (f *fixture) setEngineFaults(change func(*engineserver.Faults)) {
	for _, engine := range f.engines {
		engine.Switches().Update(change)
	}
}

// setServiceFaults changes the injected faults of all services.
func (f *fixture) setServiceFaults(change func(*serviceserver.Faults)) {
	for _, service := range f.services {
		service.Switches().Update(change)
	}
}

// journal returns the requests received by all engines and services.
func (f *fixture) journal() []control.Entry {
	var entries []control.Entry
	for _, engine := range f.engines {
		entries = append(entries, engine.State().Journal...)
	}
	for _, service := range f.services {
		entries = append(entries, service.State().Journal...)
	}
	return entries
}

// resumes counts the received requests that resume a stream.
func (f *fixture) resumes() int {
	count := 0
	for _, entry := range f.journal() {
		if entry.Header.Get("X-Resume") != "" {
			count++
		}
	}
	return count
}

var _ = Describe("Complete responses", func() {
	DescribeTable("recovers the exact response from an engine fault",
		func(resumes int, change func(*engineserver.Faults)) {
			for _, stream := range []string{"", `,"stream":true`} {
				f := newFixture()
				f.setEngineFaults(change)
				r := f.chat(stream)
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.status).To(Equal(http.StatusOK), r.body)
				if stream != "" {
					text, last := streamText(r.body)
					Expect(text).To(Equal(generatedText("")))
					Expect(last).To(Equal("[DONE]"))
				} else {
					Expect(r.body).To(ContainSubstring(generatedText("")))
				}
				Expect(f.resumes()).To(Equal(resumes))
			}
		},
		Entry("late", 0, func(x *engineserver.Faults) { x.Late, x.LateMillis = 1, 1000 }),
		Entry("crossed", 0, func(x *engineserver.Faults) { x.Crossed = 1 }),
		Entry("cut before the first event", 0, func(x *engineserver.Faults) { x.Cut, x.CutAfter = 1, 0 }),
		Entry("cut", 1, func(x *engineserver.Faults) { x.Cut, x.CutAfter = 1, 3 }),
		Entry("cut three times", 3, func(x *engineserver.Faults) { x.Cut, x.CutAfter = 3, 3 }),
		Entry("cut before the final event", 1, func(x *engineserver.Faults) { x.Cut, x.CutAfter = 1, 9 }),
		Entry("silent before the first event", 0, func(x *engineserver.Faults) { x.Silent, x.SilentAfter = 1, 0 }),
		Entry("silent", 1, func(x *engineserver.Faults) { x.Silent, x.SilentAfter = 1, 3 }),
		Entry("doubled", 0, func(x *engineserver.Faults) { x.Doubled = 1 }),
		Entry("error status", 0, func(x *engineserver.Faults) { x.Errors = 1 }),
		Entry("connection closed before the run", 0, func(x *engineserver.Faults) { x.CloseBeforeRun = 1 }),
	)

	It("resumes again if the response to a resume belongs to another attempt", func() {
		f := newFixture(func(o *engineserver.Options, _ *gateway.Config) { o.TokenInterval = 100 * time.Millisecond })
		f.setEngineFaults(func(x *engineserver.Faults) { x.Cut, x.CutAfter = 1, 3 })
		done := make(chan reply, 1)
		go func() { done <- f.chat(`,"stream":true`) }()
		Eventually(func() int { return len(f.journal()) }).Should(Equal(1))
		f.setEngineFaults(func(x *engineserver.Faults) { x.Crossed = 1 })
		text, last := streamText((<-done).body)
		Expect(text).To(Equal(generatedText("")))
		Expect(last).To(Equal("[DONE]"))
		Expect(f.resumes()).To(Equal(2))
	})

	It("resumes at another engine that supports it if the first one has failed", func() {
		f := newFixture(func(o *engineserver.Options, _ *gateway.Config) {
			o.TokenInterval, o.ResumesAny = 50*time.Millisecond, true
		})
		f.setEngineFaults(func(x *engineserver.Faults) { x.Cut, x.CutAfter = 1, 3 })
		done := make(chan reply, 1)
		go func() { done <- f.chat(`,"stream":true`) }()
		Eventually(func() int { return len(f.journal()) }).Should(Equal(1))
		for _, engine := range f.engines {
			if len(engine.State().Journal) == 1 {
				engine.Switches().Update(func(x *engineserver.Faults) { x.CloseBeforeRun = 100 })
			} else {
				engine.Switches().Update(func(x *engineserver.Faults) { x.Cut = 0 })
			}
		}
		text, last := streamText((<-done).body)
		Expect(text).To(Equal(generatedText("")))
		Expect(last).To(Equal("[DONE]"))
	})

	It("forwards nothing if every response belongs to another attempt", func() {
		f := newFixture()
		f.setEngineFaults(func(x *engineserver.Faults) { x.Crossed = 10 })
		r := f.chat(`,"stream":true`)
		Expect(r.status).To(Equal(http.StatusBadGateway), r.body)
		Expect(r.failure().Error.Run).To(Equal("unknown"))
		Expect(r.body).NotTo(ContainSubstring("data:"))
	})

	// Guards against a stream that ends as complete though its rest is missing or belongs to
	// another run.
	DescribeTable("ends a stream that can't be resumed with an error event and without the final marker",
		func(change func(*engineserver.Options)) {
			f := newFixture(func(o *engineserver.Options, _ *gateway.Config) { change(o) })
			f.setEngineFaults(func(x *engineserver.Faults) { x.Cut, x.CutAfter = 1, 3 })
			r := f.chat(`,"stream":true`)
			Expect(r.err).To(HaveOccurred())
			_, last := streamText(r.body)
			Expect(reply{body: last}.failure().Error.Code).To(Equal("answer_cut"))
			Expect(r.body).NotTo(ContainSubstring("[DONE]"))
		},
		Entry("since engines refuse to", func(o *engineserver.Options) { o.RefuseResume = true }),
		Entry("since engines start the generation anew", func(o *engineserver.Options) { o.IgnoresResume = true }),
	)

	It("restarts a non-streamed response that can't be resumed at another engine", func() {
		f := newFixture(func(o *engineserver.Options, _ *gateway.Config) { o.RefuseResume = true })
		f.setEngineFaults(func(x *engineserver.Faults) { x.Cut, x.CutAfter = 1, 3 })
		Expect(f.chat("").body).To(ContainSubstring(generatedText("")))
	})

	It("limits retries to a tenth of the requests when every endpoint fails", func() {
		f := newFixture()
		f.setEngineFaults(func(x *engineserver.Faults) { x.Errors = 1 << 20 })
		const requests, reserve = 200, 5
		for range requests {
			Expect(f.chat("").status).To(Equal(http.StatusBadGateway))
		}
		Expect(len(f.journal())).To(BeNumerically("<=", requests*11/10+reserve))
	})

	It("returns a timeout error at the caller's timeout", func() {
		f := newFixture(func(o *engineserver.Options, _ *gateway.Config) { o.FirstToken = 350 * time.Millisecond })
		began := time.Now()
		r := f.chat("", "X-Request-Timeout-Ms", "100")
		Expect(r.status).To(Equal(http.StatusGatewayTimeout), r.body)
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		Expect(r.failure().Error.Run).To(Equal("unknown"))
	})

	It("returns a timeout error at the configured request timeout", func() {
		f := newFixture(func(o *engineserver.Options, c *gateway.Config) {
			o.FirstToken = 350 * time.Millisecond
			c.RequestTimeout = 100 * time.Millisecond
		})
		r := f.chat("", "X-Request-Timeout-Ms", "5000")
		Expect(r.status).To(Equal(http.StatusGatewayTimeout), r.body)
		r = f.chat("")
		Expect(r.status).To(Equal(http.StatusGatewayTimeout), r.body)
	})

	It("ends a running stream soon after its key is withdrawn", func() {
		f := newFixture(func(o *engineserver.Options, _ *gateway.Config) { o.TokenInterval = 100 * time.Millisecond })
		// The key is withdrawn once the stream runs: before its first event, the
		// refusal would be a plain body.
		rest := f.startStream("/v1/completions", `{"model":"draft","prompt":"x","max_tokens":1000,"stream":true}`)
		Expect(f.journal()).To(HaveLen(1))
		f.withdraw("jewellers-key")
		done := make(chan reply, 1)
		go func() { done <- rest() }()
		var r reply
		Eventually(done, 5*time.Second).Should(Receive(&r))
		_, last := streamText(r.body)
		Expect(reply{body: last}.failure().Error.Code).To(Equal("key_withdrawn"))
		Expect(f.chat("").status).To(Equal(http.StatusUnauthorized))
	})

	It("rejects keys if the configuration is staler than the organisation's limit", func() {
		fresh := time.Now()
		f := newFixture(func(_ *engineserver.Options, c *gateway.Config) {
			c.ConfigProvenAt = func() time.Time { return fresh }
			c.Clock = func() time.Time { return fresh.Add(61 * time.Second) }
		})
		Expect(f.chat("").status).To(Equal(http.StatusOK))
		f.objects[0].GetOrganisation().KeyStalenessLimitSeconds = 60
		r := f.chat("")
		Expect(r.failure().Error.Code).To(Equal("key_state_stale"))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})

// withdraw marks a key as withdrawn and publishes the configuration.
func (f *fixture) withdraw(name string) {
	for i, object := range f.objects {
		if object.GetKey().GetName() == name {
			changed := organisation(strings.TrimSuffix(name, "-key"), secret)[1]
			changed.GetKey().Withdrawn = true
			f.objects[i] = changed
		}
	}
	f.source.set(f.objects)
}

var _ = Describe("Non-repeatable calls", func() {
	register := func(f *fixture) reply {
		return f.do("POST", "/services/registry/certificates", `{"request":"ring 1"}`, "Idempotency-Key", "c-1")
	}

	DescribeTable("reports the outcome as unknown if the response is lost, and to repeats as well",
		func(status int, change func(*serviceserver.Faults)) {
			f := newFixture()
			f.setServiceFaults(change)
			r := register(f)
			Expect(r.status).To(Equal(status), r.body)
			Expect(r.failure().Error.Run).To(Equal("unknown"))
			repeat := register(f)
			Expect(repeat.status).To(Equal(http.StatusConflict))
			Expect(repeat.failure().Error.Code).To(Equal("outcome_unknown"))
			Consistently(f.serviceRuns, "200ms").Should(BeNumerically("<=", 1))
		},
		Entry("connection closed after the run", 502, func(x *serviceserver.Faults) { x.RunThenClose = 1 }),
		Entry("connection closed before the run", 502, func(x *serviceserver.Faults) { x.CloseBeforeRun = 1 }),
		Entry("no response after the run", 504, func(x *serviceserver.Faults) { x.Silent = 1 }),
		Entry("response after the timeout", 504, func(x *serviceserver.Faults) { x.Late, x.LateMillis = 1, 900 }),
		Entry("response to another call", 502, func(x *serviceserver.Faults) { x.Crossed = 1 }),
	)

	It("reports 'not run' if no endpoint could be reached, and runs the repeat", func() {
		f := newFixture()
		working := append(f.objects[:0:0], f.objects...)
		for i, object := range f.objects {
			if e := object.GetEndpoint(); e.GetService() != "" {
				f.objects[i] = endpointObject(e.GetName(), "http://127.0.0.1:1", e.GetKind())
			}
		}
		f.source.set(f.objects)
		f.registry.Reconcile()
		r := register(f)
		Expect(r.status).To(Equal(http.StatusServiceUnavailable), r.body)
		Expect(r.failure().Error.Run).To(Equal("not run"))
		f.objects = append(f.objects[:0:0], working...)
		f.source.set(f.objects)
		Eventually(func() int { return register(f).status }).Should(Equal(http.StatusOK))
		Expect(f.serviceRuns()).To(BeEquivalentTo(1))
	})

	It("replays the first attempt's response if the repeat exceeds the rate limit", func() {
		f := newFixture()
		first := register(f)
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		f.limiter.mu.Lock()
		f.limiter.refuse = &ratelimit.RefusedError{Organisation: "aqej", Reason: ratelimit.ReasonRate, RetryAfter: time.Second}
		f.limiter.mu.Unlock()
		repeat := register(f)
		Expect(repeat.status).To(Equal(http.StatusOK), repeat.body)
		Expect(repeat.body).To(Equal(first.body))
		fresh := f.do("POST", "/services/registry/certificates", `{"request":"ring 2"}`, "Idempotency-Key", "c-2")
		Expect(fresh.status).To(Equal(http.StatusTooManyRequests))
		Expect(fresh.failure().Error.Run).To(Equal("not run"))
		Expect(f.serviceRuns()).To(BeEquivalentTo(1))
	})

	It("sends nothing when the claim can't be recorded", func() {
		f := newFixture()
		f.platform.down.Store(true)
		r := register(f)
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.failure().Error.Run).To(Equal("not run"))
		Expect(r.header.Get("Retry-After")).To(Equal("2"))
		Expect(f.serviceRuns()).To(BeZero())
	})

	It("records the response for a repeat if the caller times out", func() {
		f := newFixture()
		f.setServiceFaults(func(x *serviceserver.Faults) { x.Late, x.LateMillis = 1, 200 })
		r := f.do("POST", "/services/registry/certificates", `{"request":"ring 1"}`, "Idempotency-Key", "c-1", "X-Request-Timeout-Ms", "50")
		Expect(r.status).To(Equal(http.StatusGatewayTimeout))
		Expect(r.failure().Error.Run).To(Equal("unknown"))
		Expect(register(f).failure().Error.Code).To(Equal("still_running"))
		Eventually(func() int { return register(f).status }).Should(Equal(http.StatusOK))
		Expect(f.serviceRuns()).To(BeEquivalentTo(1))
	})

	It("retries calls on a repeatable route", func() {
		f := newFixture()
		f.setServiceFaults(func(x *serviceserver.Faults) { x.RunThenClose = 1 })
		Expect(f.do("GET", "/services/registry/certificates/7", "").status).To(Equal(http.StatusOK))
	})

	It("sends a non-repeatable GET once if the service closes a reused connection", func() {
		f := newFixture()
		for range 20 {
			Expect(f.do("GET", "/services/registry/certificates/7", "").status).To(Equal(http.StatusOK))
		}
		before := f.serviceRuns()
		f.setServiceFaults(func(x *serviceserver.Faults) { x.RunThenClose = 1 })
		Expect(f.do("GET", "/services/registry/once", "").status).To(Equal(http.StatusBadGateway))
		Expect(f.serviceRuns() - before).To(BeEquivalentTo(1))
	})
})

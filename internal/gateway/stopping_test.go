package gateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A gateway that drains", func() {
	// Guards against requests that are taken when too little time is left to serve them.
	It("refuses what can't end before the limit, and still replays kept responses", func() {
		f := newFixture()
		register := func(key string) reply {
			return f.do("POST", "/services/registry/certificates", `{"request":"ring 1"}`, "Idempotency-Key", key, "Content-Type", "application/json")
		}
		first := register("kept")
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			f.drain(ctx, 0)
		}()
		<-drained
		Eventually(ctx.Done()).Should(BeClosed())

		late := f.chat("")
		Expect(late.status).To(Equal(http.StatusServiceUnavailable), late.body)
		Expect(late.body).To(ContainSubstring(`"stopping"`))
		Expect(late.body).To(ContainSubstring(`"run":"not run"`))
		Expect(late.header.Get("Retry-After")).To(Equal("1"))
		Expect(register("new").status).To(Equal(http.StatusServiceUnavailable))
		Expect(register("kept").body).To(Equal(first.body))
		Expect(f.serviceRuns()).To(BeEquivalentTo(1))
	})
})

package gateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
)

var _ = Describe("A gateway that drains while requests wait for a slot", func() {
	// Guards against a request that is sent to an engine after it waited for a slot so long
	// that too little time is left to serve it.
	It("refuses a request that gets its slot too late", func() {
		const duration = 900 * time.Millisecond
		f := newFixture(func(engine *engineserver.Options, _ *gateway.Config) {
			engine.FirstToken = 100 * time.Millisecond
			engine.TokenInterval = 100 * time.Millisecond
		})
		for _, o := range f.objects {
			if e := o.GetEndpoint(); e != nil {
				e.MaxConcurrent = 1
			}
		}
		f.source.set(f.objects)
		Expect(f.chat("").status).To(Equal(http.StatusOK)) // teaches the duration
		for range 2 {                                      // fill both slots
			go func() {
				defer GinkgoRecover()
				f.chat("")
			}()
		}
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), duration+600*time.Millisecond)
		defer cancel()
		go f.drain(ctx, 0)
		time.Sleep(50 * time.Millisecond)
		got := f.chat("")
		Expect(ctx.Err()).NotTo(HaveOccurred(), "status %d after the limit", got.status)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect(got.body).To(ContainSubstring(`"run":"not run"`))
	})
})

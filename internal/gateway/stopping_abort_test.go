package gateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// waitingLimiter is a Limiter that grants nothing until the request ends.
type waitingLimiter struct{}

func (waitingLimiter) Reserve(ctx context.Context, _ string, _ float64) (ratelimit.Reservation, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// waitingStore is an object store whose writes get no response.
type waitingStore struct{ objectstore.Store }

func (waitingStore) Create(ctx context.Context, _ objectstore.Kind, _, _ string, _ json.RawMessage) (objectstore.Object, error) {
	<-ctx.Done()
	return objectstore.Object{}, &objectstore.UnavailableError{Outcome: objectstore.OutcomeUnknown, Cause: ctx.Err()}
}

var _ = Describe("A gateway at the limit of its drain", func() {
	// Guards against requests that wait for something other than an endpoint and get no
	// answer.
	DescribeTable("answers requests that wait", func(change func(*gateway.Config), path, code string) {
		f := newFixture(func(_ *engineserver.Options, c *gateway.Config) { change(c) })
		answered := make(chan reply, 1)
		go func() {
			answered <- f.do("POST", path, `{"model":"draft","prompt":"a ring","max_tokens":8}`, "Idempotency-Key", "one")
		}()
		Consistently(answered, "100ms").ShouldNot(Receive())
		ctx, stop := context.WithCancel(context.Background())
		stop()
		Expect(f.drain(ctx, 0)).To(HaveLen(1))
		var got reply
		Eventually(answered, "100ms").Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect([]string{got.failure().Error.Code, got.failure().Error.Run}).To(Equal([]string{code, "not run"}))
		Expect(f.do("POST", path, `{"model":"draft","prompt":"a ring"}`, "Idempotency-Key", "two").failure().Error.Code).To(Equal("stopping"), "a request after the limit")
	},
		Entry("for tokens", func(c *gateway.Config) { c.Limiter = waitingLimiter{} }, "/v1/completions", "stopping"),
		Entry("for a claim", func(c *gateway.Config) {
			c.Claims = claims.NewStore(claims.StoreConfig{ObjectStore: waitingStore{memstore.New()}, ClaimTimeout: time.Minute})
		}, "/services/registry/certificates", "claim_unavailable"),
	)
})

package claims

import (
	"context"
	"fmt"
	"testing"

	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
)

// BenchmarkRequest reports the platform calls for one non-repeatable request,
// from its claim to its recorded response of 1 KiB. The deletion of the claim
// after its retention costs one more write.
func BenchmarkRequest(b *testing.B) {
	h := newHosts()
	claimStore := h.start("a", 1)
	ctx := context.Background()
	body := make([]byte, 1<<10)
	n := 0
	for b.Loop() {
		req := registration
		req.IdempotencyKey = fmt.Sprint(n)
		n++
		outcome, err := claimStore.Begin(ctx, req)
		if err != nil || outcome.State != Claimed {
			b.Fatal(outcome.State, err)
		}
		if err := outcome.Claim.Finish(ctx, Response{Status: 200, Body: body}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(h.store.Writes())/float64(b.N), "writes/op")
	b.ReportMetric(float64(h.store.Count(storetest.OpGet))/float64(b.N), "reads/op")
}

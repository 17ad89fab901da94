package claims

import (
	"context"
	"fmt"
	"testing"

	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
)

// BenchmarkRequest counts the platform's calls for one request that must not
// be repeated, from its claim to its recorded answer of 1 KiB. Its deletion
// after the retention is one write more.
func BenchmarkRequest(b *testing.B) {
	h := newHosts()
	book := h.start("a", 1)
	ctx := context.Background()
	body := make([]byte, 1<<10)
	n := 0
	for b.Loop() {
		req := registration
		req.IdempotencyKey = fmt.Sprint(n)
		n++
		outcome, err := book.Begin(ctx, req)
		if err != nil || outcome.State != Claimed {
			b.Fatal(outcome.State, err)
		}
		if err := outcome.Claim.Finish(ctx, Answer{Status: 200, Body: body}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(h.store.Writes())/float64(b.N), "writes/op")
	b.ReportMetric(float64(h.store.Count(storetest.OpGet))/float64(b.N), "reads/op")
}

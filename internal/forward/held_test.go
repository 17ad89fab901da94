package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// startCrashing starts an endpoint that crashes with its first request, after it has
// sent the head of the response.
func startCrashing() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() }) // the endpoint may have closed it
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, eventStreamHead+"Transfer-Encoding: chunked\r\n\r\n")
		_ = listener.Close()
	}()
	return listener.Addr().String()
}

var _ = Describe("A prompt segment that crashes endpoints", func() {
	const (
		interval = 50 * time.Millisecond
		// apart is the time between crashes. Those at the same moment count once.
		apart = 100 * time.Millisecond
	)

	// Guards against waiting for a further request to a crashed endpoint, or for the end
	// of its entry, before its crash counts.
	It("is held back after three crashes without any further request to the crashed endpoints", func() {
		route := traffic.Route{
			Name: "r", Host: "h", PathPrefix: "/", Kind: traffic.Streaming, Timeout: 2 * time.Second, MaxAttempts: 1,
			Targets: []traffic.Target{{Service: "s", Weight: 1}},
		}
		endpoints := fleet.NewRegistry(fleet.Config{Zone: "z"})
		held := quarantine.New(nil)
		reachability := exchange.Reachability{Interval: interval}
		held.SetReachability(reachability)
		// Served as in a host: a refused connection that is recorded while a check of the path
		// runs counts by the next one.
		paths := reach.New(reach.Config{Targets: func(string) []reach.Target { return nil }})
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = paths.Serve(ctx) }()
		f := New(Config{
			Source:    fixedSource{traffic.NewConfig(traffic.Spec{Routes: []traffic.Route{route}, Services: []traffic.Service{{Name: "s"}}})},
			Endpoints: endpoints, Upstream: upstream.NewPool(), Codec: plainCodec{}, Quarantine: held, Paths: paths,
			Retry: repeat.NewBudgets(repeat.BudgetConfig{}, time.Now),
		})
		send := func(n int, segments ...string) error {
			call := &Call{Request: traffic.Request{ID: fmt.Sprint(n), Host: "h", Path: "/x"}, Method: "POST", Target: "/x", Body: []byte(fmt.Sprint("body ", n))}
			for _, id := range append(segments, fmt.Sprint("own-", n)) {
				call.PromptSegments = append(call.PromptSegments, traffic.PromptSegment{ID: id, Tokens: 1})
			}
			return f.Serve(context.Background(), call, httptest.NewRecorder())
		}
		for n := range 3 {
			id := fmt.Sprint("e", n)
			endpoints.Put(fleet.Endpoint{ID: id, Service: "s", Address: startCrashing(), Zone: "z", Slots: 8})
			var failure *Failure
			Expect(errors.As(send(n, "system", "bad"), &failure)).To(BeTrue())
			Expect(failure.NotRun).To(BeFalse())
			endpoints.Replace(nil)
			time.Sleep(apart)
		}
		held.RecordSurvival([]quarantine.Suspect{quarantine.SegmentOf("system")})
		Eventually(func() bool {
			held.SetReachability(reachability)
			_, isHeld := held.Held(quarantine.SegmentOf("bad"))
			return isHeld
		}, "2s", interval).Should(BeTrue())
		_, systemHeld := held.Held(quarantine.SegmentOf("system"))
		Expect(systemHeld).To(BeFalse())

		var failure *Failure
		Expect(errors.As(send(4, "bad"), &failure)).To(BeTrue())
		Expect(failure.Reason).To(Equal(ReasonSegmentHeld))
		Expect(failure.NotRun).To(BeTrue())
		Expect(failure.RetryAfter).To(BeNumerically(">", time.Minute))
		// A segment is not held back as the last one, which no other request shares.
		Expect(errors.As(send(5, "other", "system"), &failure)).To(BeTrue())
		Expect(failure.Reason).To(Equal(ReasonNoEndpoint))
	})
})

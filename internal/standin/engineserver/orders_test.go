package engineserver_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
)

var _ = Describe("Orders", func() {
	load := engineapi.Order{ID: "o1", FencingToken: 7, Action: engineapi.ActionLoadModel, Model: "m2", Version: "v1", Bytes: 50}

	It("reserves memory from the start of a load to the end of an unload", func() {
		e := start(engineserver.Options{LoadTime: wait, UnloadTime: wait})
		Expect(e.order(load).Accepted).To(BeTrue())
		Expect(e.report().UsedBytes).To(BeEquivalentTo(91))
		Expect(e.settled()).To(BeEmpty())
		Eventually(e.settled).Should(done("o1"))
		for version, status := range map[string]int{"": http.StatusOK, "v1": http.StatusOK, "v2": http.StatusNotFound} {
			resp, _, err := e.complete(context.Background(), completion{Model: "m2", Version: version, MaxTokens: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
		}
		Expect(e.order(engineapi.Order{ID: "o2", Action: engineapi.ActionUnloadModel, Model: "m2", Version: "v1"}).Accepted).To(BeTrue())
		Expect(e.report().UsedBytes).To(BeEquivalentTo(91))
		Eventually(e.settled).Should(done("o2"))
		Expect(e.report().UsedBytes).To(BeEquivalentTo(41))
		Expect(e.State().Memory).To(Equal(engineserver.MemoryUsage{MemoryBytes: 100, UsedBytes: 41, MaxUsedBytes: 91}))
	})

	It("records an overcommit, or refuses it with RefuseOvercommit", func() {
		big := load
		big.Bytes = 60
		e := start(engineserver.Options{})
		Expect(e.order(big).Accepted).To(BeTrue())
		Expect(e.State().Memory.Overcommits).To(Equal(1))
		e = start(engineserver.Options{RefuseOvercommit: true})
		Expect(e.order(big).Accepted).To(BeFalse())
		Expect(e.State().Memory.Overcommits).To(BeZero())
	})

	It("keeps a model in memory while a request uses it", func() {
		e := start(engineserver.Options{FirstToken: time.Minute})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _, _, _ = e.complete(ctx, streamed) }()
		Eventually(e.report).Should(HaveField("Running", 1))
		Expect(e.order(engineapi.Order{ID: "u1", Action: engineapi.ActionUnloadModel, Model: "m1", Version: "v1"}).Reason).To(ContainSubstring("adapters"))
		Expect(e.order(engineapi.Order{ID: "u2", Action: engineapi.ActionUnloadAdapter, Adapter: "ad1"}).Accepted).To(BeTrue())
		Consistently(e.settled, wait).ShouldNot(done("u2"))
		cancel()
		Eventually(e.settled).Should(done("u2"))
	})

	It("checks fencing tokens and incarnations only if configured to", func() {
		e := start(engineserver.Options{ChecksFencing: true, ChecksIncarnation: true})
		current := load
		current.Incarnation = e.report().Incarnation
		Expect(e.order(current).Accepted).To(BeTrue())
		old := current
		old.ID, old.FencingToken, old.Model = "o2", 6, "m3"
		Expect(e.order(old).Reason).To(ContainSubstring("fencing"))
		old.ID, old.FencingToken, old.Incarnation = "o3", 8, "earlier"
		Expect(e.order(old).Reason).To(ContainSubstring("incarnation"))

		e = start(engineserver.Options{})
		Expect(e.order(load).Accepted).To(BeTrue())
		Expect(e.order(old).Accepted).To(BeTrue())
	})

	It("loses, delays and duplicates orders during delivery", func() {
		e := start(engineserver.Options{})
		e.Switches().Update(func(f *engineserver.Faults) { f.LoseOrders, f.LoseOrderAnswers = 1, 1 })
		for _, arrived := range []int{0, 1} {
			_, err := e.post(context.Background(), "/engine/orders", load)
			Expect(err).To(HaveOccurred())
			Expect(e.State().Orders).To(HaveLen(arrived))
		}
		e.Switches().Update(func(f *engineserver.Faults) {
			f.DelayOrders, f.DuplicateOrders, f.DelayOrdersMillis = 1, 1, control.Millis(wait.Milliseconds())
		})
		ctx, cancel := context.WithTimeout(context.Background(), wait/10)
		defer cancel()
		late := load
		late.ID, late.Model, late.Bytes = "late", "m3", 5
		_, err := e.post(ctx, "/engine/orders", late)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(e.settled).Should(done("late"))
		Eventually(func() []engineserver.JournaledOrder { return e.State().Orders }).Should(HaveLen(3))
		Expect(e.State().Orders[2].Repeated).To(BeTrue())
		Expect(e.report().UsedBytes).To(BeEquivalentTo(96))
	})
})

var _ = Describe("Reports and cache events", func() {
	It("lag, have gaps and show that the engine is draining", func() {
		e := start(engineserver.Options{ReportLag: wait, EventGapEvery: 2})
		first := e.report()
		e.Switches().Update(func(f *engineserver.Faults) { f.Leaving = true })
		began := time.Now()
		Expect(first.Draining).To(BeFalse())
		Eventually(e.report).Should(SatisfyAll(HaveField("Draining", true), HaveField("Sequence", first.Sequence+1)))
		for _, prompt := range []string{"p1", "p2", "p1", "p3"} {
			_, _, err := e.complete(context.Background(), completion{Model: "m1", Prompt: prompt, MaxTokens: 1})
			Expect(err).NotTo(HaveOccurred())
		}
		events := func() []engineapi.CacheEvent {
			return get[engineapi.CacheEvents](e.url + "/engine/events?after=0").Events
		}
		Eventually(events).Should(HaveLen(2))
		Expect(time.Since(began)).To(BeNumerically(">=", wait))
		Expect(events()[1].Sequence).To(BeEquivalentTo(3))
	})

	It("get no response, and the engine exits", func() {
		exits := make(chan int, 1)
		e := start(engineserver.Options{Exit: func(code int) { exits <- code }})
		e.Switches().Update(func(f *engineserver.Faults) { f.SilentReports = true })
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url+"/engine/report", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultClient.Do(req)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		resp, err := e.post(context.Background(), control.Path, engineserver.Faults{Die: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(exits).To(Receive())
	})
})

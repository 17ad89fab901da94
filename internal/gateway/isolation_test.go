package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
	"bilberryslip.example/bilberryslip/internal/standin/serviceserver"
)

// sendRaw sends bytes over one connection and returns the statuses of the
// responses.
func (f *fixture) sendRaw(request string) []int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Expect(conn.SetDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, request)
	Expect(err).NotTo(HaveOccurred())
	var statuses []int
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
}

// smuggledRequest is a request without a key, hidden behind the body of another
// request.
const smuggledRequest = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 34\r\n\r\n{\"model\":\"draft-rings\",\"prompt\":1}"

// rawRequest returns a completion request with additional headers.
func rawRequest(extra, body string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + extra + "\r\n" + body
}

var _ = Describe("Isolation", func() {
	auth := "Authorization: Bearer " + secret + "\r\n"
	other := "Authorization: Bearer " + otherSecret + "\r\n"
	body := `{"model":"draft","prompt":"x","max_tokens":2}`
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)

	DescribeTable("authenticates every request on a connection, even if malformed",
		func(request string, statuses []int, runs int) {
			f := newFixture()
			Expect(f.sendRaw(request)).To(Equal(statuses))
			Expect(f.journal()).To(HaveLen(runs))
		},
		Entry("two Authorization headers", rawRequest(auth+other+length, body), []int{401}, 0),
		Entry("two keys in one header", rawRequest("Authorization: Bearer "+secret+", Bearer "+otherSecret+"\r\n"+length, body), []int{401}, 0),
		Entry("a folded header", rawRequest("Authorization: Bearer\r\n "+secret+"x\r\n"+length, body), []int{401}, 0),
		Entry("two lengths", rawRequest(auth+"Content-Length: 5\r\n"+length, body), []int{400}, 0),
		Entry("a length and chunks that hide a request", rawRequest(auth+"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", chunked+smuggledRequest), []int{200}, 1),
		Entry("an unknown encoding", rawRequest(auth+"Transfer-Encoding: xchunked\r\n"+length, body), []int{501}, 0),
		Entry("a space before the colon", rawRequest("Authorization : Bearer "+secret+"\r\n"+length, body), []int{400}, 0),
		Entry("a request without a key after a valid one",
			strings.Replace(rawRequest(auth+length, body), "Connection: close\r\n", "", 1)+rawRequest(length, body), []int{200, 401}, 1),
		Entry("a request without a key to a closed route after one to an open route",
			"GET /services/registry/public HTTP/1.1\r\nHost: x\r\n\r\nGET /v1/models HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", []int{200, 401}, 1),
	)

	It("separates the same idempotency key of different organisations", func() {
		f := newFixture()
		numbers := make(map[string]bool)
		for _, key := range []string{secret, otherSecret} {
			r := f.do("POST", "/services/registry/certificates", "x", "Idempotency-Key", "same", "Authorization", "Bearer "+key)
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.header.Get("X-Idempotent-Replay")).To(BeEmpty())
			numbers[r.body] = true
		}
		Expect(f.serviceRuns()).To(BeEquivalentTo(2))
	})

	It("exposes the key to no endpoint, log, dump, decision or metric", func() {
		var logged strings.Builder
		previous := logrus.StandardLogger().Out
		logrus.SetOutput(&logged)
		DeferCleanup(func() { logrus.SetOutput(previous) })
		f := newFixture()
		everywhere := []string{"X-Api-Key", secret, "Cookie", "k=" + secret, "Proxy-Authorization", "Bearer " + secret, "X-Request-Id", secret, "X-Attempt-Id", secret}
		f.setEngineFaults(func(x *engineserver.Faults) { x.Cut, x.CutAfter, x.Crossed = 1, 3, 1 })
		f.setServiceFaults(func(x *serviceserver.Faults) { x.RunThenClose = 1 })
		Expect(f.chat(`,"stream":true,"user":"`+secret+`"`, everywhere...).status).To(Equal(http.StatusOK))
		f.do("GET", "/services/registry/certificates", "", everywhere...)
		f.do("POST", "/services/registry/certificates", "x", append(everywhere, "Idempotency-Key", secret)...)
		f.do("GET", "/services/registry/certificates", "", "Accept", secret)
		Expect(len(f.journal())).To(BeNumerically(">=", 4))
		Expect(fmt.Sprintf("%+v", f.journal())).NotTo(ContainSubstring(secret))
		Expect(logged.String()).NotTo(ContainSubstring(secret))
		Expect(fmt.Sprintf("%+v %+v", f.gateway.DumpState(), f.registry.DumpState())).NotTo(ContainSubstring(secret))
		for _, decision := range f.recorder.decisions {
			Expect(decision.String()).NotTo(ContainSubstring(secret))
		}
		Expect(metricsText(f)).NotTo(ContainSubstring(secret))
	})
})

// metricsText returns all metrics of the gateway and the endpoint registry.
func metricsText(f *fixture) string {
	registry := prometheus.NewRegistry()
	registry.MustRegister(append(f.gateway.Collectors(), f.registry.Collectors()...)...)
	families, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprint([]*dto.MetricFamily(families))
}

var _ = Describe("Load and shutdown", func() {
	slow := func(o *engineserver.Options, c *gateway.Config) {
		o.TokenInterval = 50 * time.Millisecond
		c.MaxInteractiveWait = 300 * time.Millisecond
	}

	It("sends no new work to a draining endpoint and lets its streams complete", func() {
		f := newFixture(slow)
		done := make(chan reply, 1)
		go func() { done <- f.chat(`,"stream":true`) }()
		Eventually(func() int { return len(f.journal()) }).Should(Equal(1))
		draining := 0
		if len(f.engines[1].State().Journal) == 1 {
			draining = 1
		}
		f.engines[draining].Switches().Update(func(x *engineserver.Faults) { x.Leaving, x.Cut, x.CutAfter = true, 0, 0 })
		Eventually(func() bool {
			state, _ := f.registry.State(fmt.Sprintf("worker-%d", draining+1))
			return state.Draining
		}, 5*time.Second).Should(BeTrue())
		for range 5 {
			Expect(f.chat("").status).To(Equal(http.StatusOK))
		}
		Expect(f.engines[draining].State().Journal).To(HaveLen(1))
		text, last := streamText((<-done).body)
		Expect(text).To(Equal(generatedText("")))
		Expect(last).To(Equal("[DONE]"))
	})

	It("rejects a request that can't start in time immediately, with Retry-After", func() {
		f := newFixture(slow, func(o *engineserver.Options, c *gateway.Config) { o.TokenInterval = 10 * time.Second })
		for _, object := range f.objects {
			if e := object.GetEndpoint(); e != nil {
				e.MaxConcurrent = 1
			}
		}
		for range 2 {
			go func() {
				defer GinkgoRecover()
				f.chat("", "X-Request-Timeout-Ms", "3000")
			}()
		}
		Eventually(func() int { return len(f.journal()) }).Should(Equal(2))
		began := time.Now()
		r := f.chat("")
		Expect(r.failure().Error.Code).To(Equal("overloaded"), r.body)
		Expect(r.failure().Error.Run).To(Equal("not run"))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("completes running requests during a drain and accepts new ones during the balancer delay", func() {
		f := newFixture(slow)
		running := make(chan reply, 2)
		send := func() { running <- f.chat(`,"stream":true`) }
		go send()
		Eventually(func() int { return len(f.journal()) }).Should(Equal(1))
		drained := make(chan []gateway.UnfinishedRequest, 1)
		go func() { drained <- f.drain(context.Background(), 200*time.Millisecond) }()
		Eventually(f.gateway.Ready).Should(BeFalse())
		go send()
		Eventually(drained, 5*time.Second).Should(Receive(BeEmpty()))
		for range 2 {
			var r reply
			Expect(running).To(Receive(&r))
			_, last := streamText(r.body)
			Expect(last).To(Equal("[DONE]"))
		}
	})

	It("returns the requests still running at the time limit of a drain", func() {
		f := newFixture(slow)
		go f.chat(`,"stream":true`)
		Eventually(func() int { return len(f.journal()) }).Should(Equal(1))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		unfinished := f.drain(ctx, 0)
		Expect(unfinished).To(HaveLen(1))
		Expect(unfinished[0].Organisation).To(Equal("jewellers"))
	})
})

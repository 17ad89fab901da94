package serviceserver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/internal/standin/serviceserver"
)

func TestServiceServer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "Service Server Suite")
}

// wait is the client timeout for a connection that gets no response; it is also
// the injected delay.
const wait = 150 * time.Millisecond

var _ = Describe("Service stand-in", func() {
	var (
		server *serviceserver.Server
		url    string
	)

	BeforeEach(func() {
		server = serviceserver.New(serviceserver.Options{Name: "registry"})
		httpServer := httptest.NewServer(server)
		DeferCleanup(httpServer.Close)
		DeferCleanup(httpServer.CloseClientConnections)
		url = httpServer.URL
	})

	call := func(ctx context.Context, attempt, request string) (*http.Response, error) {
		body := strings.NewReader(`{"request":"` + request + `"}`)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/certificates?q=1", body)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(engineapi.HeaderAttempt, attempt)
		// net/http retries a request with a rewindable body only if the method
		// is idempotent, so it never repeats this POST.
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			DeferCleanup(resp.Body.Close)
		}
		return resp, err
	}
	updateFaults := func(change func(*serviceserver.Faults)) { server.Switches().Update(change) }
	outcome := func() control.Outcome {
		journal := server.State().Journal
		return journal[len(journal)-1].Outcome
	}

	It("numbers its runs and journals the requests that it received", func() {
		for number, request := range []string{"r1", "r2"} {
			resp, err := call(context.Background(), "a-"+request, request)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Header.Get(engineapi.HeaderAttempt)).To(Equal("a-" + request))
			var response serviceserver.Response
			Expect(json.NewDecoder(resp.Body).Decode(&response)).To(Succeed())
			Expect(response).To(Equal(serviceserver.Response{Service: "registry", Number: int64(number + 1), Request: request}))
		}
		state := server.State()
		Expect(state.RunsByRequest).To(Equal(map[string]int{"r1": 1, "r2": 1}))
		Expect(state.RunsByAttempt).To(Equal(map[string]int{"a-r1": 1, "a-r2": 1}))
		Expect(state.Journal[0]).To(SatisfyAll(HaveField("Path", "/certificates"), HaveField("Query", "q=1"), HaveField("Body", ContainSubstring("r1"))))
	})

	It("runs and then sends no response", func() {
		updateFaults(func(f *serviceserver.Faults) { f.RunThenClose = 1 })
		_, err := call(context.Background(), "a1", "r1")
		Expect(err).To(HaveOccurred())
		Expect(outcome()).To(Equal(control.OutcomeCut))
		updateFaults(func(f *serviceserver.Faults) { f.Silent = 1 })
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_, err = call(ctx, "a2", "r1")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(outcome()).To(Equal(control.OutcomeSilent))
		Expect(server.State().RunsByRequest).To(HaveKeyWithValue("r1", 2))
	})

	It("closes the connection or fails without a run", func() {
		updateFaults(func(f *serviceserver.Faults) { f.CloseBeforeRun, f.Errors = 1, 1 })
		_, err := call(context.Background(), "a1", "r1")
		Expect(err).To(HaveOccurred())
		resp, err := call(context.Background(), "a2", "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(server.State().Runs).To(BeZero())
		Expect(server.State().Journal).To(HaveLen(2))
	})

	It("delays responses and sends those of another attempt", func() {
		updateFaults(func(f *serviceserver.Faults) {
			f.Late, f.Crossed, f.LateMillis = 1, 1, control.Millis(wait.Milliseconds())
		})
		start := time.Now()
		resp, err := call(context.Background(), "a1", "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically(">=", wait))
		Expect(resp.Header.Get(engineapi.HeaderAttempt)).NotTo(Equal("a1"))
	})

	It("reports that it is draining", func() {
		updateFaults(func(f *serviceserver.Faults) { f.Leaving = true })
		resp, err := http.Get(url + serviceserver.ReportPath)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		var report engineapi.Report
		Expect(json.NewDecoder(resp.Body).Decode(&report)).To(Succeed())
		Expect(report.Draining).To(BeTrue())
		Expect(report.Incarnation).NotTo(BeEmpty())
	})
})

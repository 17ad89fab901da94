package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestEndpoint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoint")
}

// failingService responds to its first request. It runs each further one and
// then closes the connection without a response.
type failingService struct {
	runs  atomic.Int64
	dials atomic.Int64
}

func (s *failingService) start() string {
	var served atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.runs.Add(1)
		if served.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
		w.WriteHeader(http.StatusOK)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.dials.Add(1)
		}
	}
	server.Start()
	DeferCleanup(server.Close)
	return server.URL
}

// sender sends one request to a URL and reads the response, if any.
type sender func(url string)

// netHTTPSender sends with net/http's defaults and a body that it can rewind, so
// that it retries the request on its own.
func netHTTPSender() sender {
	transport := &http.Transport{}
	return func(url string) {
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("charge")))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", "k")
		if resp, err := transport.RoundTrip(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
}

// clientSender sends with a client of this package.
func clientSender(dedicated bool) sender {
	var c *client
	return func(url string) {
		if c == nil {
			c = newClient("ledger-1", url, time.Second)
		}
		call := Call{AttemptID: "a", Method: http.MethodPost, Path: "/charges", Body: []byte("charge"), Dedicated: dedicated}
		if response, err := c.Send(context.Background(), call); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}

// runsOfThree sends three requests and returns how often the service ran them.
// The service does not respond to the last two.
func runsOfThree(send sender) int64 {
	service := &failingService{}
	url := service.start()
	for range 3 {
		send(url)
	}
	return service.runs.Load()
}

// engine is a fake engine that serves a configurable report and response.
type engine struct {
	report  engineapi.Report
	respond http.HandlerFunc
	dials   atomic.Int64
	reports atomic.Int64
}

func (e *engine) start() string {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
		switch r.URL.Path {
		case engineReportPath:
			e.reports.Add(1)
			_ = json.NewEncoder(w).Encode(e.report)
		case "/engine/events":
			_ = json.NewEncoder(w).Encode(engineapi.CacheEvents{})
		default:
			e.respond(w, r)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			e.dials.Add(1)
		}
	}
	server.Start()
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func registryOf(clock func() time.Time, urls ...string) *Registry {
	var objects []*apiv1.Object
	for i, url := range urls {
		objects = append(objects, &apiv1.Object{Spec: &apiv1.Object_Endpoint{Endpoint: &apiv1.Endpoint{
			Name: fmt.Sprintf("worker-%d", i+1), Url: url, Kind: apiv1.EndpointKind_ENDPOINT_KIND_ENGINE, Pool: "drafting",
		}}})
	}
	return NewRegistry(Config{Source: config.Static{Snapshot: config.NewSnapshot(1, objects)}, Clock: clock})
}

var _ = Describe("Send", func() {
	ctx := context.Background()

	It("sends a request once, where net/http would retry it by default", func() {
		Expect(runsOfThree(netHTTPSender())).To(BeNumerically(">", 3), "net/http no longer retries, so this test proves nothing")
		Expect(runsOfThree(clientSender(true))).To(BeEquivalentTo(3))
		Expect(runsOfThree(clientSender(false))).To(BeEquivalentTo(3))
	})

	It("closes an unresponsive connection and dials a new one", func() {
		e := &engine{}
		hang := atomic.Bool{}
		e.respond = func(_ http.ResponseWriter, r *http.Request) {
			if hang.Load() {
				<-r.Context().Done()
			}
		}
		c := newClient("worker-1", e.start(), time.Second)
		call := Call{AttemptID: "a", Method: http.MethodPost, Path: "/", Limits: ProgressLimits{Header: 100 * time.Millisecond}}
		send := func() error {
			response, err := c.Send(ctx, call)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			return err
		}
		Expect(send()).To(Succeed())
		Expect(send()).To(Succeed())
		Expect(e.dials.Load()).To(BeEquivalentTo(1))
		hang.Store(true)
		var timeout *ProgressTimeoutError
		Expect(errors.As(send(), &timeout)).To(BeTrue())
		hang.Store(false)
		Expect(send()).To(Succeed())
		Expect(e.dials.Load()).To(BeEquivalentTo(2))
	})

	It("applies the longer header limit to a newly dialled connection", func() {
		e := &engine{respond: func(http.ResponseWriter, *http.Request) { time.Sleep(150 * time.Millisecond) }}
		c := newClient("worker-1", e.start(), time.Second)
		limits := ProgressLimits{Header: 5 * time.Second, ReusedHeader: 50 * time.Millisecond}
		var outcomes []bool
		for range 3 {
			response, err := c.Send(ctx, Call{AttemptID: "a", Method: http.MethodPost, Path: "/", Limits: limits})
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			outcomes = append(outcomes, err == nil)
		}
		Expect(outcomes).To(Equal([]bool{true, false, true}))
	})

	// Guards against bytes that are no response, or another body than the endpoint's, which
	// are taken for its response, and an order that such bytes seem to confirm.
	DescribeTable("takes no response with a malformed head", func(head string) {
		e := &engine{respond: func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, head+engineapi.HeaderAttempt+": a\r\n\r\n{}")
				_ = conn.Close()
			}
		}}
		c := newClient("worker-1", e.start(), time.Second)
		_, err := c.Send(ctx, Call{AttemptID: "a", Method: http.MethodPost, Path: "/"})
		var incomplete *IncompleteResponseError
		Expect(errors.As(err, &incomplete)).To(BeTrue(), "error %v", err)
		_, err = c.order(ctx, engineapi.Order{})
		Expect(err).To(HaveOccurred())
	},
		Entry("status 000", "HTTP/1.1 000 OK\r\n"),
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX Oops: 1\r\n"),
		Entry("blank behind the length", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n"),
	)

	It("returns NotSentError only if no connection was made", func() {
		var notSent *NotSentError
		_, err := newClient("w", "http://127.0.0.1:1", time.Second).Send(ctx, Call{AttemptID: "a", Path: "/"})
		Expect(errors.As(err, &notSent)).To(BeTrue())
		e := &engine{respond: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}
		_, err = newClient("w", e.start(), time.Second).Send(ctx, Call{AttemptID: "a", Path: "/"})
		Expect(errors.As(err, &notSent)).To(BeFalse())
	})
})

var _ = Describe("Registry", func() {
	var now time.Time
	clock := func() time.Time { return now }
	BeforeEach(func() { now = time.Unix(1000, 0) })

	It("adjusts a delayed report by the requests sent since its data was collected", func() {
		e := &engine{report: engineapi.Report{Incarnation: "i", Sequence: 1, AgeMillis: 1000, Running: 7}}
		r := registryOf(clock, e.start())
		r.Start("worker-1", 10)
		now = now.Add(2 * time.Second)
		r.Start("worker-1", 10)
		r.Start("worker-1", 10)
		r.PollOnce(context.Background(), "worker-1")
		state, _ := r.State("worker-1")
		Expect(state.InFlightDelta).To(Equal(2))
		Expect(state.Load()).To(Equal(9.0))
		Expect(state.TokensInFlight).To(BeEquivalentTo(30))
	})

	It("ignores an older report of the same incarnation, and marks the endpoint unreachable after the health timeout", func() {
		e := &engine{report: engineapi.Report{Incarnation: "i", Sequence: 5, Draining: true}}
		r := registryOf(clock, e.start())
		r.PollOnce(context.Background(), "worker-1")
		e.report = engineapi.Report{Incarnation: "i", Sequence: 4}
		r.PollOnce(context.Background(), "worker-1")
		state, _ := r.State("worker-1")
		Expect(state.Draining).To(BeTrue())
		Expect(r.Start("worker-1", 1)).To(BeNil())
		Expect(r.Resume("worker-1", 1)).NotTo(BeNil())
		Expect(state.Reachable).To(BeTrue())
		now = now.Add(3 * time.Second)
		state, _ = r.State("worker-1")
		Expect(state.Reachable).To(BeFalse())
	})
})

// TestEjectorKeepsMinimum checks that the minimum fraction of a group stays in
// use, that only endpoints with enough failures are ejected and that each
// ejection ends.
func TestEjectorKeepsMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultEjectorConfig()
		e := NewEjector(config)
		size := rapid.IntRange(1, 9).Draw(t, "size")
		for i := range size {
			e.Add(fmt.Sprint(i), "g")
		}
		now := time.Unix(0, 0)
		failures := make(map[string]int)
		for range rapid.IntRange(0, 60).Draw(t, "outcomes") {
			name := fmt.Sprint(rapid.IntRange(0, size-1).Draw(t, "endpoint"))
			outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			e.Observe(now, name, outcome)
			if outcome == OutcomeFailed {
				failures[name]++
			}
			ejected := e.Ejected(now)
			if float64(size-len(ejected)) < config.MinAvailable*float64(size) {
				t.Fatalf("%d of %d ejected", len(ejected), size)
			}
			for name := range ejected {
				if failures[name] < config.ConsecutiveFailures {
					t.Fatalf("endpoint %s ejected after %d failures", name, failures[name])
				}
			}
		}
		if got := e.Ejected(now.Add(config.Max)); len(got) != 0 {
			t.Fatalf("still ejected after the maximum duration: %v", got)
		}
	})
}

// FuzzEventReader checks that for any input the reader returns only events of the
// attempt with consecutive offsets.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: a/0\ndata: x\n\nid: a/1\ndata: [DONE]\n\n"))
	f.Add([]byte("id: a/0\ndata: x\n\nid: a/0\ndata: x\n\nid: b/1\ndata: y\n\n"))
	f.Add([]byte("id: a/-1\r\ndata\r\n\r\n: comment\nid: a/9223372036854775808\ndata: x\n\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		reader := NewEventReader("w", "a", 0, bytes.NewReader(content))
		for want := int64(0); ; want++ {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if event.Offset != want || !bytes.Contains(content, []byte("a/")) {
				t.Fatalf("event with offset %d returned, want %d", event.Offset, want)
			}
		}
	})
}

package process_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// shutdownLimit leaves one second from the signal for requests to run.
const shutdownLimit = time.Second + settings.ShutdownEnd

var _ = Describe("A shutdown that requests outlast", func() {
	const timeout = 20 * time.Second
	start := func(services int, limit time.Duration) (*cluster.Cluster, *cluster.Host, *cluster.Caller) {
		GinkgoHelper()
		c := cluster.Start(programs, cluster.Options{
			HostsPerZone: 2, EnginesPerZone: 1, ServicesPerZone: services,
			EngineArgs:   []string{"--token-interval", "100ms", "--max-concurrent", "2"},
			PlatformArgs: []string{"--load-time", "1m"}, // a request for the model large waits for its load
			Objects: []*apiv1.Object{
				{Spec: &apiv1.Object_ModelVersion{ModelVersion: &apiv1.Version{Name: "large-v1", Model: "large", MemoryBytes: 100_000, Weights: "large-v1"}}},
				{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: "large", ServingVersion: "large-v1"}}},
			},
			Settings: func(s *settings.Settings) {
				s.Shutdown.BalancerDelay = settings.Duration(100 * time.Millisecond)
				s.Shutdown.Limit = settings.Duration(limit)
			},
		})
		host := c.Hosts[0]
		caller := cluster.NewCaller(c.GrantKey(host, "key", cluster.OrganisationA))
		caller.ExpectServes(host)
		return c, host, caller
	}
	complete := func(extra string) string {
		return `{"model":"draft","prompt":"` + unique("outlast") + `","max_tokens":200` + extra + `}`
	}

	// Guards against requests that get no answer, an answer that is wrong about whether they
	// ran, or a part of an event, and against a process that does not end by itself.
	It("answers each of them truly and ends by itself", func() {
		c, host, caller := start(1, shutdownLimit)
		setServiceFaults(c, cluster.Change{"late": 2, "lateMillis": 10_000})
		stalled := sendPartOfBody(host, caller)
		pending := make(map[string]chan *cluster.Response)
		send := func(name, path, body string, header http.Header) {
			pending[name] = make(chan *cluster.Response, 1)
			go func() {
				pending[name] <- caller.Send(context.Background(), host, http.MethodPost, path, body, header)
			}()
		}
		send("stream", "/v1/completions", complete(`,"stream":true`), nil)
		send("completion", "/v1/completions", complete(""), nil)
		Eventually(func() int { return len(c.Engines[0].State().Journal) }).Should(BeNumerically(">=", 2))
		send("queued at the engine", "/v1/completions", complete(""), nil)
		send("without its model", "/v1/completions", `{"model":"large","prompt":"outlast","max_tokens":1}`, nil)
		send("call", cluster.Lookups, `{"request":"lookup"}`, nil)
		send("call that runs once", cluster.Certificates, `{"request":"once"}`, http.Header{"Idempotency-Key": {"once"}})
		Eventually(func() int { return c.Runs("lookup") + c.Runs("once") }).Should(Equal(2))

		signalled := time.Now()
		host.Terminate()
		ends := make(map[string]string)
		for name, channel := range pending {
			var got *cluster.Response
			Eventually(channel, timeout).Should(Receive(&got), name)
			ends[name] = describeEnd(got)
		}
		Expect(ends).To(Equal(map[string]string{
			"stream":               "broken, answer_cut, ran",
			"completion":           "502, answer_cut, ran",
			"queued at the engine": "502, outcome_unknown, unknown",
			"without its model":    "503, stopping, not run",
			"call":                 "502, outcome_unknown, unknown",
			"call that runs once":  "502, outcome_unknown, unknown",
		}))
		Expect(stalled()).To(And(ContainSubstring(" 503 "), ContainSubstring(`"stopping"`), ContainSubstring(`"not run"`)))
		Eventually(host.Exited(), timeout).Should(BeClosed())
		Expect(time.Since(signalled)).To(BeNumerically("<", shutdownLimit))
		Expect(host.ExitCode()).To(BeZero())
		Expect(claimStates(c)).To(ConsistOf(claims.StateUnknown))
		repeat := caller.RequestCertificate(c.Hosts[1], "once", "once")
		Expect(repeat.Error.Code).To(Equal("outcome_unknown"), repeat.Body)
		Expect(c.Runs("once")).To(Equal(1))
	})

	// Guards against a host that is drained by an operator and takes the first signal for the
	// second, which ends its shutdown early, and against a second one without answers.
	It("ends early only at a second signal", func() {
		_, host, caller := start(0, 5*shutdownLimit)
		answered := make(chan *cluster.Response, 1)
		send := func(tokens int) {
			go func() {
				answered <- caller.Complete(host, cluster.CompletionRequest{Model: cluster.Model, Prompt: unique("signals"), MaxTokens: tokens})
			}()
		}
		send(200)
		send(6)
		time.Sleep(100 * time.Millisecond)
		ctx, admin := host.Admin()
		for range 2 {
			_, err := admin.DrainHost(ctx, &apiv1.DrainHostRequest{Name: host.Name})
			Expect(err).NotTo(HaveOccurred())
		}
		host.Terminate()
		Eventually(host.Log).Should(ContainSubstring("already leaving"))
		var short, long *cluster.Response
		Eventually(answered, "5s").Should(Receive(&short))
		Expect(short.OK()).To(BeTrue(), short.Body)
		signalled := time.Now()
		host.Terminate()
		Eventually(answered, "5s").Should(Receive(&long))
		Expect(describeEnd(long)).To(Equal("502, answer_cut, ran"))
		Eventually(host.Exited(), "5s").Should(BeClosed())
		Expect(time.Since(signalled)).To(BeNumerically("<", settings.ShutdownEnd))
		Expect(host.ExitCode()).To(BeZero())
	})

	// Guards against records that are lost, or an end that is delayed, when the platform is
	// slow or gone at the end of the shutdown.
	DescribeTable("ends in time", func(platform cluster.Change, want claims.State) {
		c, host, caller := start(1, shutdownLimit)
		setServiceFaults(c, cluster.Change{"late": 1, "lateMillis": 10_000})
		answered := make(chan *cluster.Response, 1)
		go func() { answered <- caller.RequestCertificate(host, "once", "once") }()
		Eventually(func() int { return c.Runs("once") }).Should(Equal(1))
		c.Platform.Control(platform)
		signalled := time.Now()
		host.Terminate()
		var got *cluster.Response
		Eventually(answered, timeout).Should(Receive(&got))
		Expect(got.Err).NotTo(HaveOccurred())
		Expect(got.Error.Code).To(Equal("outcome_unknown"), got.Body)
		Eventually(host.Exited(), timeout).Should(BeClosed())
		Expect(time.Since(signalled)).To(BeNumerically("<", shutdownLimit))
		Expect(host.ExitCode()).To(BeZero())
		c.Platform.Control(cluster.Change{"slowMillis": 0, "down": false})
		Expect(claimStates(c)).To(ConsistOf(want))
	},
		Entry("while the platform is slow", cluster.Change{"slowMillis": 1000}, claims.StateUnknown),
		Entry("while the platform is gone", cluster.Change{"down": true}, claims.StateStarted),
	)
})

// describeEnd returns how a response ended: its status, or "broken" for a connection that
// ended in the response, and its error or that in its last event.
func describeEnd(response *cluster.Response) string {
	failure := response.Error
	if body, ok := strings.CutSuffix(response.Body, "\n\n"); ok {
		events := strings.Split(body, "\n\n")
		var last struct {
			Error cluster.ErrorBody `json:"error"`
		}
		_ = json.Unmarshal([]byte(strings.TrimPrefix(events[len(events)-1], "data: ")), &last)
		failure = last.Error
	}
	end := strconv.Itoa(response.Status)
	if response.Err != nil {
		end = "broken"
	}
	return end + ", " + failure.Code + ", " + failure.Run
}

// sendPartOfBody sends a request with a part of its body, and returns a function that reads
// what comes back until the connection ends.
func sendPartOfBody(host *cluster.Host, caller *cluster.Caller) (answer func() string) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", host.Addresses.Callers)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", caller.Key)
	Expect(err).NotTo(HaveOccurred())
	return func() string {
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		var text strings.Builder
		_, _ = bufio.NewReader(conn).WriteTo(&text)
		return text.String()
	}
}

// claimStates returns the states of the claims in the platform.
func claimStates(c *cluster.Cluster) (states []claims.State) {
	GinkgoHelper()
	listing, err := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{c.Platform.URL}}).List(context.Background(), objectstore.KindClaim, "")
	Expect(err).NotTo(HaveOccurred())
	for _, item := range listing.Items {
		var record claims.Record
		Expect(json.Unmarshal(item.Value, &record)).To(Succeed())
		states = append(states, record.State)
	}
	return states
}

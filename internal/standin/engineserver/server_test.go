package engineserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
)

func TestEngineServer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "Engine Server Suite")
}

// wait is the client timeout for a connection that gets no response; it is also
// the injected delay.
const wait = 150 * time.Millisecond

type engine struct {
	*engineserver.Server
	url string
}

func start(options engineserver.Options) engine {
	options.Preloaded = []engineapi.HeldModel{{Model: "m1", Version: "v1", Bytes: 40}}
	options.PreloadedAdapters = []engineapi.HeldAdapter{{Adapter: "ad1", Model: "m1", Bytes: 1}}
	options.MemoryBytes = 100
	server := engineserver.New(options)
	httpServer := httptest.NewServer(server)
	DeferCleanup(httpServer.Close)
	DeferCleanup(httpServer.CloseClientConnections)
	return engine{Server: server, url: httpServer.URL}
}

func (e engine) post(ctx context.Context, path string, body any, headers ...string) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

type completion struct {
	Model     string `json:"model"`
	Version   string `json:"version,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// complete sends a completion request and returns the response, the body as far
// as it was received, and the error that ended it early.
func (e engine) complete(ctx context.Context, request completion, headers ...string) (*http.Response, string, error) {
	resp, err := e.post(ctx, "/v1/completions", request, append([]string{engineapi.HeaderAttempt, "a1"}, headers...)...)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (e engine) stream(headers ...string) (string, error) {
	resp, body, err := e.complete(context.Background(), streamed, headers...)
	Expect(resp).NotTo(BeNil())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	return body, err
}

func (e engine) order(order engineapi.Order) engineapi.OrderResult {
	GinkgoHelper()
	resp, err := e.post(context.Background(), "/engine/orders", order)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var result engineapi.OrderResult
	Expect(json.NewDecoder(resp.Body).Decode(&result)).To(Succeed())
	return result
}

func get[T any](url string) T {
	GinkgoHelper()
	resp, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var decoded T
	Expect(json.NewDecoder(resp.Body).Decode(&decoded)).To(Succeed())
	return decoded
}

func (e engine) report() engineapi.Report { return get[engineapi.Report](e.url + "/engine/report") }

func (e engine) settled() []engineapi.SettledOrder { return e.report().Settled }

func (e engine) lastEntry() control.Entry {
	journal := e.State().Journal
	return journal[len(journal)-1]
}

func done(id string) types.GomegaMatcher {
	return ContainElement(engineapi.SettledOrder{ID: id, Succeeded: true})
}

var (
	streamed = completion{Model: "ad1", Prompt: "hello", MaxTokens: 5, Stream: true}
	// streamedGeneration is the generation that streamed requests.
	streamedGeneration = engineserver.Generation{Model: "m1", Version: "v1", Adapter: "ad1", Prompt: "hello", Tokens: 5}
)

// joinText returns the concatenated text of a stream's events.
func joinText(stream string) string {
	var joined strings.Builder
	for line := range strings.Lines(stream) {
		var event struct {
			Choices []struct{ Text string }
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &event) == nil {
			joined.WriteString(event.Choices[0].Text)
		}
	}
	return joined.String()
}

var _ = Describe("Completions", func() {
	It("returns the same text plain and streamed, and journals the request", func() {
		e := start(engineserver.Options{})
		resp, body, err := e.complete(context.Background(), completion{Model: "ad1", Prompt: "hello", MaxTokens: 5}, "X-Other", "seen")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get(engineapi.HeaderAttempt)).To(Equal("a1"))
		Expect(body).To(ContainSubstring(streamedGeneration.Text()))
		Expect(body).To(ContainSubstring(`"usage":{"prompt_tokens":2,"completion_tokens":5,"total_tokens":7}`))
		Expect(e.lastEntry()).To(SatisfyAll(
			HaveField("Attempt", "a1"), HaveField("Model", "m1"), HaveField("Adapter", "ad1"),
			HaveField("Body", ContainSubstring("hello")), HaveField("Header", HaveKeyWithValue("X-Other", []string{"seen"})),
			HaveField("Outcome", control.OutcomeFinished),
		))
		stream, err := e.stream()
		Expect(err).NotTo(HaveOccurred())
		Expect(joinText(stream)).To(Equal(streamedGeneration.Text()))
		Expect(stream).To(HavePrefix("id: a1/0\n"))
		Expect(stream).To(HaveSuffix("id: a1/6\ndata: [DONE]\n\n"))
	})

	It("rejects an unknown model and an invalid length without a run", func() {
		e := start(engineserver.Options{})
		for request, status := range map[completion]int{
			{Model: "m2", MaxTokens: 1}:  http.StatusNotFound,
			{Model: "m1", MaxTokens: -1}: http.StatusBadRequest,
		} {
			resp, _, err := e.complete(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			last := e.lastEntry()
			Expect(last.Ran()).To(BeFalse())
		}
	})

	It("resumes a cut stream byte for byte", func() {
		e := start(engineserver.Options{})
		uncut, err := e.stream()
		Expect(err).NotTo(HaveOccurred())
		e.Switches().Update(func(f *engineserver.Faults) { f.Cut, f.CutAfter = 1, 2 })
		head, err := e.stream()
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(e.lastEntry().Outcome).To(Equal(control.OutcomeCut))
		tail, err := e.stream(engineapi.HeaderResume, "a1/2")
		Expect(err).NotTo(HaveOccurred())
		Expect(head + tail).To(Equal(uncut))
		resp, _, err := e.complete(context.Background(), streamed, engineapi.HeaderResume, "unknown/2")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusConflict))
	})

	It("sends the response of another attempt, and each event twice", func() {
		e := start(engineserver.Options{})
		e.Switches().Update(func(f *engineserver.Faults) { f.Crossed = 1 })
		crossed, err := e.stream()
		Expect(err).NotTo(HaveOccurred())
		Expect(crossed).To(HavePrefix("id: crossed-a1/0\n"))
		Expect(joinText(crossed)).NotTo(Equal(streamedGeneration.Text()))
		e.Switches().Update(func(f *engineserver.Faults) { f.Doubled = 1 })
		doubled, err := e.stream()
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(doubled, "id: a1/3\n")).To(Equal(2))
	})

	It("stalls or delays the response, fails, and closes the connection", func() {
		e := start(engineserver.Options{})
		e.Switches().Update(func(f *engineserver.Faults) { f.Silent, f.SilentAfter = 1, 1 })
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_, body, err := e.complete(ctx, streamed)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(strings.Count(body, "data: ")).To(Equal(1))
		Eventually(func() control.Outcome { return e.lastEntry().Outcome }).Should(Equal(control.OutcomeSilent))

		e.Switches().Update(func(f *engineserver.Faults) { f.Late, f.LateMillis = 1, control.Millis(wait.Milliseconds()) })
		began := time.Now()
		_, err = e.stream()
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically(">=", wait))

		e.Switches().Update(func(f *engineserver.Faults) { f.Errors = 1 })
		resp, _, err := e.complete(context.Background(), streamed)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		e.Switches().Update(func(f *engineserver.Faults) { f.CloseBeforeRun = 1 })
		_, _, err = e.complete(context.Background(), streamed)
		Expect(err).To(HaveOccurred())
		last := e.lastEntry()
		Expect(last.Ran()).To(BeFalse())
	})

	It("cancels a run, and queues interactive before batch", func() {
		e := start(engineserver.Options{MaxConcurrent: 1, FirstToken: time.Minute})
		launch := func(attempt, priority string, queued int) {
			GinkgoHelper()
			go func() {
				defer GinkgoRecover()
				_, _, err := e.complete(context.Background(), streamed, engineapi.HeaderAttempt, attempt, engineapi.HeaderPriority, priority)
				Expect(err).To(HaveOccurred())
			}()
			Eventually(e.report).Should(SatisfyAll(HaveField("Running", 1), HaveField("Queued", queued)))
		}
		cancel := func(attempt string, next string) {
			GinkgoHelper()
			resp, err := e.post(context.Background(), "/engine/cancel", engineapi.CancelRequest{Attempt: attempt})
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			running := ContainElement(SatisfyAll(HaveField("Attempt", next), HaveField("Outcome", control.OutcomeRunning)))
			Eventually(func() []control.Entry { return e.State().Journal }).Should(running)
		}
		launch("first", "batch", 0)
		launch("second", "batch", 1)
		launch("third", "interactive", 2)
		cancel("first", "third")
		cancel("third", "second")
		Expect(e.State().Journal[0].Outcome).To(Equal(control.OutcomeCancelled))
	})
})

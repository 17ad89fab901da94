package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
	"bilberryslip.example/bilberryslip/internal/standin/serviceserver"
)

func TestGateway(t *testing.T) {
	logrus.SetOutput(GinkgoWriter)
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

const (
	secret      = "sk-jewellers-0001"
	otherSecret = "sk-insurers-0002"
)

// fakeLimiter is a Limiter that grants every reservation unless refuse is set,
// and sums up the tokens.
type fakeLimiter struct {
	mu                          sync.Mutex
	refuse                      error
	reserved, consumed, settled float64
}

func (l *fakeLimiter) Reserve(_ context.Context, _ string, tokens float64) (ratelimit.Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse != nil {
		return nil, l.refuse
	}
	l.reserved += tokens
	return &fakeReservation{limiter: l, remaining: tokens}, nil
}

func (l *fakeLimiter) used() (reserved, consumed, settled float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved, l.consumed, l.settled
}

type fakeReservation struct {
	limiter   *fakeLimiter
	remaining float64
	done      bool
}

func (r *fakeReservation) Consume(tokens float64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.remaining -= tokens
	r.limiter.consumed += tokens
}

func (r *fakeReservation) Settle() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if !r.done {
		r.limiter.settled += r.remaining
	}
	r.done = true
}

// fakeRecorder is a Recorder that keeps decisions in memory.
type fakeRecorder struct {
	mu        sync.Mutex
	decisions []*apiv1.Decision
}

func (r *fakeRecorder) Record(d *apiv1.Decision) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Id = uuid.NewString()
	r.decisions = append(r.decisions, d)
	return d.Id
}

func (r *fakeRecorder) find(id string) *apiv1.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.decisions {
		if d.GetId() == id {
			return d
		}
	}
	return nil
}

// failingStore is an object store whose Create fails while down is set.
type failingStore struct {
	objectstore.Store
	down atomic.Bool
}

func (o *failingStore) Create(ctx context.Context, kind objectstore.Kind, name, writeID string, value json.RawMessage) (objectstore.Object, error) {
	if o.down.Load() {
		return objectstore.Object{}, &objectstore.UnavailableError{RetryAfter: 2 * time.Second}
	}
	return o.Store.Create(ctx, kind, name, writeID, value)
}

// source is a config.Source whose objects can be replaced.
type source struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	changed  chan struct{}
}

func (s *source) Current() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *source) set(objects []*apiv1.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := int64(1)
	if s.snapshot != nil {
		revision = s.snapshot.Revision() + 1
	}
	s.snapshot = config.NewSnapshot(revision, objects)
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// fixture is a gateway with two engines and two services.
type fixture struct {
	objects  []*apiv1.Object
	source   *source
	limiter  *fakeLimiter
	platform *failingStore
	recorder *fakeRecorder
	registry *endpoint.Registry
	gateway  *gateway.Gateway
	stop     *drain.Stop
	engines  []*engineserver.Server
	services []*serviceserver.Server
	url      string
}

func hashKey(key string) string { return gateway.HashKey(key) }

// organisation returns an organisation and its key.
func organisation(name, key string) []*apiv1.Object {
	return []*apiv1.Object{
		{Version: 1, Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: name}}},
		{Version: 1, Spec: &apiv1.Object_Key{Key: &apiv1.Key{Name: name + "-key", Organisation: name, SecretSha256: hashKey(key)}}},
	}
}

// baseObjects returns a configuration without endpoints.
func baseObjects() []*apiv1.Object {
	objects := append(organisation("jewellers", secret), organisation("insurers", otherSecret)...)
	routes := []*apiv1.Route{
		{Name: "register", Service: "registry", Method: "POST", PathPrefix: "/certificates"},
		{Name: "lookup", Service: "registry", Method: "GET", PathPrefix: "/certificates", Repeatable: true},
		{Name: "open", Service: "registry", Method: "GET", PathPrefix: "/public", Repeatable: true, Open: true},
		{Name: "once", Service: "registry", Method: "GET", PathPrefix: "/once", AllowWithoutIdempotencyKey: true},
		{Name: "private", Service: "registry", PathPrefix: "/private", Organisations: []string{"insurers"}, Repeatable: true},
	}
	for _, route := range routes {
		objects = append(objects, &apiv1.Object{Version: 1, Spec: &apiv1.Object_Route{Route: route}})
	}
	return append(objects,
		&apiv1.Object{Version: 1, Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: "draft", ServingVersion: "draft-v1"}}},
		&apiv1.Object{Version: 1, Spec: &apiv1.Object_Adapter{Adapter: &apiv1.Adapter{Name: "draft-rings", Model: "draft", Organisations: []string{"jewellers"}}}},
	)
}

func endpointObject(name, url string, kind apiv1.EndpointKind) *apiv1.Object {
	e := &apiv1.Endpoint{Name: name, Zone: "qce-1", Kind: kind, Url: url, Pool: "drafting", MaxConcurrent: 64}
	if kind == apiv1.EndpointKind_ENDPOINT_KIND_SERVICE {
		e.Service = "registry"
	}
	return &apiv1.Object{Version: 1, Spec: &apiv1.Object_Endpoint{Endpoint: e}}
}

func engineOptions() engineserver.Options {
	return engineserver.Options{
		MemoryBytes:       100,
		Preloaded:         []engineapi.HeldModel{{Model: "draft", Version: "draft-v1", Bytes: 10}},
		PreloadedAdapters: []engineapi.HeldAdapter{{Adapter: "draft-rings", Model: "draft", Bytes: 1}},
	}
}

func startServer(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

type fixtureOption func(*engineserver.Options, *gateway.Config)

func newFixture(options ...fixtureOption) *fixture {
	f := &fixture{
		source:   &source{},
		limiter:  &fakeLimiter{},
		platform: &failingStore{Store: memstore.New()},
		recorder: &fakeRecorder{},
		objects:  baseObjects(),
	}
	engine := engineOptions()
	cfg := gateway.Config{
		Limiter: f.limiter, Claims: claims.NewStore(claims.StoreConfig{
			ObjectStore: f.platform, Self: claims.Owner{Host: "host-1", Incarnation: "1"}, Alive: func(claims.Owner) bool { return true },
			ClaimTimeout: 200 * time.Millisecond,
		}), Recorder: f.recorder, Source: f.source, Zone: "qce-1",
		MaxInteractiveWait: 2 * time.Second, FirstByteTimeout: 400 * time.Millisecond, ReusedFirstByteTimeout: 400 * time.Millisecond,
		ProgressTimeout: 400 * time.Millisecond, ServiceFirstByteTimeout: 400 * time.Millisecond,
	}
	for _, option := range options {
		option(&engine, &cfg)
	}
	f.addEndpoints(engine)
	f.source.set(f.objects)
	f.registry = endpoint.NewRegistry(endpoint.Config{Source: f.source, Zone: "qce-1", PollInterval: 20 * time.Millisecond})
	cfg.Endpoints = f.registry
	f.stop = drain.New(drain.Config{})
	cfg.Stop = f.stop
	f.gateway = gateway.New(cfg)
	f.serve()
	return f
}

// drain shuts the gateway down as the daemon does, with requests aborted once ctx is done, and
// returns those that were.
func (f *fixture) drain(ctx context.Context, announced time.Duration) (unfinished []gateway.UnfinishedRequest) {
	limit := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	f.stop.Begin(drain.Timing{Announced: announced, Limit: limit, Answers: gateway.AbortTimeout})
	f.stop.Run(ctx, func() drain.Work { return drain.Work{Requests: f.gateway.Running()} }, func(phase drain.Phase) {
		if phase == drain.Ending {
			unfinished = f.gateway.Abort()
		}
	})
	return unfinished
}

func (f *fixture) addEndpoints(engine engineserver.Options) {
	for _, name := range []string{"worker-1", "worker-2"} {
		server := engineserver.New(engine)
		f.engines = append(f.engines, server)
		f.objects = append(f.objects, endpointObject(name, startServer(server), apiv1.EndpointKind_ENDPOINT_KIND_ENGINE))
	}
	for _, name := range []string{"registry-1", "registry-2"} {
		server := serviceserver.New(serviceserver.Options{Name: name})
		f.services = append(f.services, server)
		f.objects = append(f.objects, endpointObject(name, startServer(server), apiv1.EndpointKind_ENDPOINT_KIND_SERVICE))
	}
}

func (f *fixture) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f.registry.Serve(ctx) })
	running.Go(func() { _ = f.gateway.Serve(ctx) })
	server := httptest.NewUnstartedServer(nil)
	server.Config = f.gateway.NewServer()
	server.Start()
	f.url = server.URL
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		running.Wait()
	})
	Eventually(f.reachable).Should(Equal(4))
}

func (f *fixture) reachable() int {
	count := 0
	for _, state := range f.registry.States() {
		if state.Reachable {
			count++
		}
	}
	return count
}

// reply is a response as received by a caller, or the transport error.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// wireError is the body of an error response.
type wireError struct {
	Error struct {
		Message, Type, Code, Run string
		DecisionID               string `json:"decision_id"`
		RequestID                string `json:"request_id"`
	}
}

// failure returns the decoded error response.
func (r reply) failure() wireError {
	var e wireError
	ExpectWithOffset(1, json.Unmarshal([]byte(r.body), &e)).To(Succeed(), r.body)
	return e
}

// do sends a request with the key of jewellers. The header arguments are pairs of
// name and value; an empty value removes the header.
func (f *fixture) do(method, path, body string, header ...string) reply {
	resp, err := http.DefaultClient.Do(f.newRequest(method, path, body, header...))
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(content), err: err}
}

func (f *fixture) newRequest(method, path, body string, header ...string) *http.Request {
	GinkgoHelper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
		if header[i+1] == "" {
			req.Header.Del(header[i])
		}
	}
	return req
}

// startStream sends a POST request, waits for the first line of the response and
// returns a function that reads the rest.
func (f *fixture) startStream(path, body string) (rest func() reply) {
	GinkgoHelper()
	resp, err := http.DefaultClient.Do(f.newRequest("POST", path, body))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	reader := bufio.NewReader(resp.Body)
	first, err := reader.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	return func() reply {
		content, err := io.ReadAll(reader)
		return reply{status: resp.StatusCode, header: resp.Header, body: first + string(content), err: err}
	}
}

// chat sends a chat completion request with additional JSON fields.
func (f *fixture) chat(extra string, header ...string) reply {
	return f.do("POST", "/v1/chat/completions",
		`{"model":"draft","messages":[{"role":"user","content":"a ring"}],"max_tokens":8`+extra+`}`, header...)
}

// streamText returns the text of an SSE response and the data of its last event.
func streamText(body string) (text, last string) {
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		last = data
		var chunk struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
		}
	}
	return text, last
}

// generatedText returns the text that the stand-in engine generates for the
// requests of these tests.
func generatedText(adapter string) string {
	return engineserver.Generation{Model: "draft", Version: "draft-v1", Adapter: adapter, Prompt: "a ring", Tokens: 8}.Text()
}

// serviceRuns returns the number of calls that the services have run.
func (f *fixture) serviceRuns() int64 {
	return f.services[0].State().Runs + f.services[1].State().Runs
}

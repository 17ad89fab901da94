//go:build soak

package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/test/cluster"
)

const (
	// requestsPerSecond is the load without the limited organisation's.
	requestsPerSecond = 40
	maxInFlight       = 400
	// repeats is how often a call that may not be repeated is sent.
	repeats = 3
	// repeatPause is the longest pause before a repeat.
	repeatPause = 3 * time.Second
)

// soak is one run.
type soak struct {
	cluster *cluster.Cluster
	callers map[string]*cluster.Caller
	report  *report

	mu    sync.Mutex
	hosts []*cluster.Host
	// notRun are the markers of single requests refused as "not run".
	notRun map[string]string
	calls  []string
	grants []grant
	// ended are journals of engines that were restarted.
	ended []control.Entry
}

// grant is a request of the limited organisation that ran.
type grant struct {
	sent, ended time.Time
	tokens      int
}

func (s *soak) host(random *rand.Rand) *cluster.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[random.IntN(len(s.hosts))]
}

func (s *soak) setHosts(change func([]*cluster.Host) []*cluster.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = change(append([]*cluster.Host{}, s.hosts...))
}

// load sends requests until ctx ends and waits for their answers.
func (s *soak) load(ctx context.Context, random *rand.Rand) {
	s.notRun = make(map[string]string)
	limiter := rate.NewLimiter(requestsPerSecond, 1)
	slots := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		// Each request has its own source, so that the seed alone decides.
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(number)))
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			s.one(own, number)
		})
	}
	running.Wait()
}

func (s *soak) one(random *rand.Rand, number int) {
	marker := fmt.Sprintf("soak-%d-", number)
	switch choice := random.Float64(); {
	case choice < 0.05:
		s.certify(random, marker)
	case choice < 0.15:
		s.lookup(random, marker)
	case choice < 0.4:
		s.complete(random, marker, limited)
	case choice < 0.7:
		s.complete(random, marker, cluster.OrganisationA)
	default:
		s.complete(random, marker, cluster.OrganisationB)
	}
}

func (s *soak) complete(random *rand.Rand, marker, organisation string) {
	model := random.IntN(extraModels + 1)
	request := cluster.CompletionRequest{Model: cluster.Model, Prompt: marker, MaxTokens: 4 + random.IntN(60), Stream: random.IntN(2) == 0}
	if model < extraModels {
		request.Model = modelName(model)
	}
	sent := time.Now()
	answer := s.callers[organisation].Complete(s.host(random), request)
	s.record("completion", marker, answer)
	if answer.OK() {
		s.checkAnswer(model, request, answer)
	}
	if organisation == limited && answer.OK() {
		tokens := request.Generation().PromptTokens() + request.MaxTokens
		s.mu.Lock()
		s.grants = append(s.grants, grant{sent: sent, ended: time.Now(), tokens: tokens})
		s.mu.Unlock()
	}
}

// checkAnswer tells a wrong or incomplete answer that looks whole.
func (s *soak) checkAnswer(model int, request cluster.CompletionRequest, answer *cluster.Response) {
	if request.Stream && !strings.Contains(answer.Body, "data: [DONE]") {
		if !strings.Contains(answer.Body, `"error"`) {
			s.report.violation("answer", "a stream ended without its end marker or an error: %.300s", answer.Body)
		}
		return
	}
	generation := request.Generation()
	generation.Model, generation.Adapter = request.Model, ""
	versions := []string{cluster.Version}
	if model < extraModels {
		versions = []string{versionName(model, 1), versionName(model, 2)}
	}
	for _, version := range versions {
		generation.Version = version
		if answer.Text() == generation.Text() {
			return
		}
	}
	s.report.violation("answer", "%+v got another text: %.300s", request, answer.Body)
}

func (s *soak) lookup(random *rand.Rand, marker string) {
	caller := s.callers[cluster.OrganisationA]
	body := `{"request":"` + marker + `"}`
	answer := caller.Send(context.Background(), s.host(random), http.MethodPost, cluster.Lookups, body, nil)
	s.record("lookup", marker, answer)
}

// certify sends a call that may not be repeated several times to several
// hosts; all whole answers must be the same.
func (s *soak) certify(random *rand.Rand, marker string) {
	s.mu.Lock()
	s.calls = append(s.calls, marker)
	s.mu.Unlock()
	first := ""
	for range repeats {
		answer := s.callers[cluster.OrganisationB].RequestCertificate(s.host(random), marker, marker)
		s.report.outcome("certificate: " + name(answer))
		switch {
		case !answer.OK():
		case first == "":
			first = answer.Body
		case answer.Body != first:
			s.report.violation("at most once", "%s got %s after %s", marker, answer.Body, first)
		}
		time.Sleep(time.Duration(random.Int64N(int64(repeatPause))))
	}
}

func (s *soak) record(kind, marker string, answer *cluster.Response) {
	s.report.outcome(kind + ": " + name(answer))
	if !answer.NotRun() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notRun[marker] = answer.Body
}

// name is the outcome of a request.
func name(answer *cluster.Response) string {
	switch {
	case answer.Err != nil:
		return "connection failed"
	case answer.Status == http.StatusOK && strings.Contains(answer.Body, `"error"`):
		return "ended with an error"
	case answer.Status == http.StatusOK:
		return "ok"
	default:
		return fmt.Sprintf("%d %s (%s)", answer.Status, answer.Error.Code, answer.Error.Run)
	}
}

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
	// requestsPerSecond is the load of all organisations together.
	requestsPerSecond = 40
	maxInFlight       = 400
	// certificateAttempts is how often each certificate call is sent with the same
	// idempotency key.
	certificateAttempts = 3
	// maxRepeatPause is the longest pause after an attempt.
	maxRepeatPause = 3 * time.Second
)

// soak is the state of one soak run.
type soak struct {
	cluster *cluster.Cluster
	callers map[string]*cluster.Caller
	report  *report

	mu    sync.Mutex
	hosts []*cluster.Host
	// notRun maps the markers of requests that were refused as "not run" to the
	// response bodies.
	notRun map[string]string
	// certificateMarkers are the markers of all certificate calls.
	certificateMarkers []string
	limitedRequests    []limitedRequest
	// stoppedJournals holds the journal entries from before engine restarts. A
	// restart clears the journal of an engine.
	stoppedJournals []control.Entry
}

// limitedRequest is a successful request of the limited organisation.
type limitedRequest struct {
	sent, ended time.Time
	tokens      int
}

func (s *soak) host(random *rand.Rand) *cluster.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[random.IntN(len(s.hosts))]
}

func (s *soak) setHosts(update func([]*cluster.Host) []*cluster.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = update(append([]*cluster.Host{}, s.hosts...))
}

// load sends requests until ctx is done and waits for their responses.
func (s *soak) load(ctx context.Context, random *rand.Rand) {
	s.notRun = make(map[string]string)
	limiter := rate.NewLimiter(requestsPerSecond, 1)
	slots := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		// Each request has its own random source, so that its choices depend on the
		// seed only and not on scheduling.
		source := rand.New(rand.NewPCG(random.Uint64(), uint64(number)))
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			s.sendOne(source, number)
		})
	}
	running.Wait()
}

// sendOne sends a request of a random kind.
func (s *soak) sendOne(random *rand.Rand, number int) {
	marker := fmt.Sprintf("soak-%d-", number)
	switch choice := random.Float64(); {
	case choice < 0.05:
		s.requestCertificate(random, marker)
	case choice < 0.15:
		s.lookup(random, marker)
	case choice < 0.4:
		s.complete(random, marker, limitedOrganisation)
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
	response := s.callers[organisation].Complete(s.host(random), request)
	s.record("completion", marker, response)
	if response.OK() {
		s.checkResponse(model, request, response)
	}
	if organisation == limitedOrganisation && response.OK() {
		tokens := request.Generation().PromptTokens() + request.MaxTokens
		s.mu.Lock()
		s.limitedRequests = append(s.limitedRequests, limitedRequest{sent: sent, ended: time.Now(), tokens: tokens})
		s.mu.Unlock()
	}
}

// checkResponse records a violation if a successful response has the wrong text or
// is incomplete without saying so.
func (s *soak) checkResponse(model int, request cluster.CompletionRequest, response *cluster.Response) {
	if request.Stream && !strings.Contains(response.Body, "data: [DONE]") {
		if !strings.Contains(response.Body, `"error"`) {
			s.report.violation("answer", "a stream ended without its end marker or an error: %.300s", response.Body)
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
		if response.Text() == generation.Text() {
			return
		}
	}
	s.report.violation("answer", "%+v got another text: %.300s", request, response.Body)
}

func (s *soak) lookup(random *rand.Rand, marker string) {
	caller := s.callers[cluster.OrganisationA]
	body := `{"request":"` + marker + `"}`
	response := caller.Send(context.Background(), s.host(random), http.MethodPost, cluster.Lookups, body, nil)
	s.record("lookup", marker, response)
}

// requestCertificate sends the same non-repeatable call several times to random
// hosts. All successful responses must be equal.
func (s *soak) requestCertificate(random *rand.Rand, marker string) {
	s.mu.Lock()
	s.certificateMarkers = append(s.certificateMarkers, marker)
	s.mu.Unlock()
	first := ""
	for range certificateAttempts {
		response := s.callers[cluster.OrganisationB].RequestCertificate(s.host(random), marker, marker)
		s.report.outcome("certificate: " + outcomeName(response))
		switch {
		case !response.OK():
		case first == "":
			first = response.Body
		case response.Body != first:
			s.report.violation("at most once", "%s got %s after %s", marker, response.Body, first)
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxRepeatPause))))
	}
}

// record counts the outcome of a request and keeps its marker if the response states
// that it was not run.
func (s *soak) record(kind, marker string, response *cluster.Response) {
	s.report.outcome(kind + ": " + outcomeName(response))
	if !response.NotRun() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notRun[marker] = response.Body
}

// outcomeName returns the name by which the report counts a response.
func outcomeName(response *cluster.Response) string {
	switch {
	case response.Err != nil:
		return "connection failed"
	case response.Status == http.StatusOK && strings.Contains(response.Body, `"error"`):
		return "ended with an error"
	case response.Status == http.StatusOK:
		return "ok"
	default:
		return fmt.Sprintf("%d %s (%s)", response.Status, response.Error.Code, response.Error.Run)
	}
}

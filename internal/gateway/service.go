package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/admission"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/routing"
)

// maxServiceAnswerBytes bounds a plain service's answer.
const maxServiceAnswerBytes = 8 << 20

// answerHeaders are what passes of a plain service's answer header.
var answerHeaders = []string{"Content-Type", "Content-Language", "ETag", "Last-Modified", "Location", "Cache-Control"}

// serviceCall is a call to a plain service on its way.
type serviceCall struct {
	request *request
	service string
	route   *apiv1.Route
	path    string
	query   string
	body    []byte
	weight  float64
	tried   []string
}

// service serves a call to a plain service.
func (g *Gateway) service(r *request) error {
	call, failure := g.parseServiceCall(r)
	if failure != nil {
		return failure
	}
	ctx, cancel, failure := r.withTimeout(r.http.Context())
	if failure != nil {
		return failure
	}
	defer cancel()
	settle, failure := g.charge(ctx, call)
	if failure != nil {
		return call.refuse(ctx, failure)
	}
	defer settle()
	g.firstAttempt()
	if call.route.GetRepeatable() {
		return call.runRepeatable(ctx)
	}
	return call.runOnce(ctx)
}

// parseServiceCall checks all that can be refused without the fleet's help.
func (g *Gateway) parseServiceCall(r *request) (*serviceCall, *Error) {
	snapshot := g.config.Source.Current()
	service := r.echo.Param("service")
	servicePath, ok := cleanPath(r.http.URL)
	if !ok {
		return nil, errPathInvalid()
	}
	route := findRoute(snapshot.Routes(), service, r.http.Method, servicePath)
	who, failure := g.authenticate(snapshot, r.http)
	if failure != nil && (!route.GetOpen() || failure.Code == CodeKeyMisplaced) {
		return nil, failure
	}
	if failure != nil {
		who = caller{}
	}
	r.identify(who, service)
	if route == nil {
		return nil, errRouteUnknown(service)
	}
	if !route.GetOpen() && !permits(route.GetOrganisations(), who.organisation.GetName()) {
		return nil, errNotPermitted("service", service)
	}
	if failure := r.classify(); failure != nil {
		return nil, failure
	}
	body, failure := r.body()
	if failure != nil {
		return nil, failure
	}
	call := &serviceCall{
		request: r, service: service, route: route, body: body,
		path: servicePath, query: r.http.URL.RawQuery, weight: who.organisation.GetWeight(),
	}
	return call, call.checkSecret(who)
}

// checkSecret refuses a call that would show the caller's key to the service.
func (c *serviceCall) checkSecret(who caller) *Error {
	if who.secret == "" {
		return nil
	}
	if bytes.Contains(c.body, []byte(who.secret)) || jsonContains(c.body, who.secret) {
		return errKeyMisplaced("body")
	}
	decoded, err := url.PathUnescape(c.path + "?" + c.query)
	if err != nil || strings.Contains(decoded, who.secret) {
		return errKeyMisplaced("path")
	}
	for _, name := range []string{"Content-Type", "Accept"} {
		if strings.Contains(c.request.http.Header.Get(name), who.secret) {
			return errKeyMisplaced("header " + name)
		}
	}
	return nil
}

// jsonContains reports whether a JSON document holds the text once its escapes
// are decoded.
func jsonContains(document []byte, text string) bool {
	if !bytes.Contains(document, []byte(`\`)) {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	for {
		token, err := decoder.Token()
		if err != nil {
			return false
		}
		if value, ok := token.(string); ok && strings.Contains(value, text) {
			return true
		}
	}
}

// cleanPath returns the path below the service, still escaped. It reports
// false where ends may read the path or query in different ways.
func cleanPath(u *url.URL) (string, bool) {
	escaped := strings.TrimPrefix(u.EscapedPath(), "/services/")
	_, rest, _ := strings.Cut(escaped, "/")
	servicePath := "/" + rest
	decoded, err := url.PathUnescape(servicePath)
	if err != nil || path.Clean(decoded) != strings.TrimSuffix(decoded, "/") && decoded != "/" {
		return "", false
	}
	lower := strings.ToLower(servicePath)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(decoded, "\\") {
		return "", false
	}
	if _, err := url.ParseQuery(u.RawQuery); err != nil {
		return "", false
	}
	return servicePath, true
}

// findRoute returns the route with the longest prefix, one with a method
// before one for any, or nil.
func findRoute(routes []*apiv1.Route, service, method, servicePath string) *apiv1.Route {
	var best *apiv1.Route
	for _, route := range routes {
		if route.GetService() != service || !covers(route, method, servicePath) {
			continue
		}
		if best == nil || moreSpecific(route, best) {
			best = route
		}
	}
	return best
}

func covers(route *apiv1.Route, method, servicePath string) bool {
	if route.GetMethod() != "" && route.GetMethod() != method {
		return false
	}
	prefix := strings.TrimSuffix(route.GetPathPrefix(), "/")
	rest, ok := strings.CutPrefix(servicePath, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func moreSpecific(a, b *apiv1.Route) bool {
	if len(a.GetPathPrefix()) != len(b.GetPathPrefix()) {
		return len(a.GetPathPrefix()) > len(b.GetPathPrefix())
	}
	return a.GetMethod() != "" && b.GetMethod() == ""
}

// charge takes the call's cost out of the caller's rate.
func (g *Gateway) charge(ctx context.Context, call *serviceCall) (func(), *Error) {
	if call.request.caller.anonymous() {
		return func() {}, nil
	}
	reservation, failure := g.reserve(ctx, call.request.caller, call.tokens())
	if failure != nil {
		return nil, failure
	}
	return func() {
		if call.request.sent {
			reservation.Consume(call.tokens())
		}
		reservation.Settle()
	}, nil
}

func (c *serviceCall) tokens() float64 { return float64(max(c.route.GetCostTokens(), 1)) }

func (c *serviceCall) gateway() *Gateway { return c.request.gateway }

// runRepeatable makes attempts at one endpoint after the other.
func (c *serviceCall) runRepeatable(ctx context.Context) error {
	for attempts := 1; ; attempts++ {
		sl, failure := c.acquire(ctx)
		if failure != nil {
			return failure
		}
		answer, err := c.attempt(ctx, sl, len(c.tried) > 0)
		c.gateway().scheduler.finish(sl, serviceOutcome(ctx, answer, err), int64(c.tokens()))
		if err == nil && answer.Status < http.StatusInternalServerError {
			return c.write(answer, false)
		}
		if ctx.Err() != nil {
			return ended(ctx, c.runState())
		}
		if !c.gateway().retryAllowed(true, attempts, repeat.Unknown) {
			if err == nil {
				return c.write(answer, false)
			}
			return errEndpointFailed(c.runState())
		}
		c.gateway().metrics.retries.WithLabelValues("service").Inc()
		c.tried = append(c.tried, sl.attempt.Endpoint())
	}
}

func (c *serviceCall) runState() Run {
	if c.request.sent {
		return RunUnknown
	}
	return RunNot
}

// serviceOutcome tells what an attempt says of its endpoint.
func serviceOutcome(ctx context.Context, answer *claims.Response, err error) endpoint.Outcome {
	if err == nil && answer.Status >= http.StatusInternalServerError {
		return endpoint.OutcomeFailed
	}
	return outcomeOf(ctx, err)
}

// acquire waits for a place at an endpoint of the service.
func (c *serviceCall) acquire(ctx context.Context) (*slot, *Error) {
	r := c.request
	want := routing.Request{Zone: c.gateway().config.Zone, Service: c.service, Tried: c.tried}
	sl, refusal, err := c.gateway().scheduler.acquire(ctx, slotRequest{
		requestID: r.id,
		admission: admission.Request{
			Organisation: r.caller.organisation.GetName(),
			Weight:       c.weight,
			Class:        r.class,
			Resource:     c.service,
			Tokens:       c.tokens(),
			Deadline:     r.queueDeadline(ctx),
		},
		routing: want,
	})
	if failure := r.admissionFailure(ctx, refusal, err); failure != nil {
		return nil, failure
	}
	if failure := c.gateway().stillGranted(r.caller); failure != nil {
		c.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
		return nil, failure.withRun(c.runState())
	}
	r.route(sl)
	return sl, nil
}

// attempt sends the call once and reads the whole answer.
func (c *serviceCall) attempt(ctx context.Context, sl *slot, fresh bool) (*claims.Response, error) {
	cfg := c.gateway().config
	limits := endpoint.ProgressLimits{
		Header: cfg.ServiceFirstByte, ReusedHeader: min(cfg.ServiceFirstByte, cfg.ReusedFirstByte),
		FirstByte: cfg.Between, BetweenReads: cfg.Between,
	}
	before := c.request.sent
	c.request.sent = true
	call := endpoint.Call{
		AttemptID:   uuid.NewString(),
		RequestID:   c.request.id,
		Method:      c.request.http.Method,
		Path:        c.path,
		RawQuery:    c.query,
		ContentType: c.request.http.Header.Get("Content-Type"),
		Accept:      c.request.http.Header.Get("Accept"),
		Body:        c.body,
		Fresh:       fresh,
		Limits:      limits,
	}
	c.request.assertMayRun(call, c.route.GetOpen() || permits(c.route.GetOrganisations(), c.request.caller.organisation.GetName()))
	answer, err := sl.attempt.Send(ctx, call)
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		c.request.sent = before
	}
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	return c.readWhole(answer)
}

func (c *serviceCall) readWhole(answer *endpoint.Response) (*claims.Response, error) {
	if !answer.Framed {
		return nil, errors.New("the service's answer has no length, so that it can't be told from a cut one")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxServiceAnswerBytes {
		return nil, errors.Newf("the service's answer is over %d bytes", maxServiceAnswerBytes)
	}
	header := make(http.Header)
	for _, name := range answerHeaders {
		if value := answer.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return &claims.Response{Status: answer.Status, Header: header, Body: body}, nil
}

// write gives the caller a whole answer.
func (c *serviceCall) write(answer *claims.Response, replayed bool) error {
	c.request.showDecision()
	response := c.request.echo.Response()
	for _, name := range answerHeaders {
		if value := answer.Header.Get(name); value != "" {
			response.Header().Set(name, value)
		}
	}
	if replayed {
		response.Header().Set(HeaderReplay, "true")
	}
	response.WriteHeader(answer.Status)
	if _, err := response.Write(answer.Body); err != nil {
		abortConnection()
	}
	return nil
}

// recordTimeout bounds the record of a claim's outcome, which goes on after
// the caller went away.
const recordTimeout = 10 * time.Second

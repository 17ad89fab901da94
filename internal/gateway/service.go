package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
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

// maxServiceResponseBytes is the maximum size of a plain service's response
// body, which is buffered.
const maxServiceResponseBytes = 8 << 20

// defaultServiceResponsesBytes bounds all such bodies that are held at the same time, in bytes.
const defaultServiceResponsesBytes = 64 << 20

var errServiceResponseTooLarge = errors.Newf("the service's answer is over %d bytes", maxServiceResponseBytes)

// forwardedResponseHeaders are the headers of a plain service's response that
// are forwarded to the caller.
var forwardedResponseHeaders = []string{"Content-Type", "Content-Language", "ETag", "Last-Modified", "Location", "Cache-Control"}

// serviceCall is a call to a plain service while it is being served.
type serviceCall struct {
	request *request
	service string
	route   *apiv1.Route
	path    string
	query   string
	// emptyQuery is set if the target ends with a question mark.
	emptyQuery bool
	body       []byte
	weight     float64
	tried      []string
	held       *heldResponses
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
	defer call.held.use()()
	if failure := g.checkShutdown(ctx, call.size()); failure != nil {
		return call.replayOrReject(ctx, failure)
	}
	settle, failure := g.reserveCost(ctx, call)
	if failure != nil {
		return call.replayOrReject(ctx, failure)
	}
	defer settle()
	g.recordFirstAttempt()
	run := call.runOnce
	if call.route.GetRepeatable() {
		run = call.runRepeatable
	}
	if err := run(ctx); err != nil {
		return err
	}
	r.recordDuration(call.size())
	return nil
}

// parseServiceCall authenticates and validates a call, using only local state.
func (g *Gateway) parseServiceCall(r *request) (*serviceCall, *Error) {
	snapshot := g.config.Source.Current()
	service := r.echo.Param("service")
	servicePath, ok := cleanPath(r.http.URL)
	if !ok {
		return nil, errPathInvalid()
	}
	route := findRoute(snapshot.Routes(), service, r.http.Method, servicePath)
	principal, failure := g.authenticate(snapshot, r.http)
	if failure != nil && (!route.GetOpen() || failure.Code == CodeKeyMisplaced) {
		return nil, failure
	}
	if failure != nil {
		principal = caller{}
	}
	r.setCallerAndModel(principal, service)
	if route == nil {
		return nil, errRouteNotFound(service)
	}
	if !route.GetOpen() && !permits(route.GetOrganisations(), principal.organisation.GetName()) {
		return nil, errNotPermitted("service", service)
	}
	if failure := r.parseClass(); failure != nil {
		return nil, failure
	}
	body, failure := r.readBody()
	if failure != nil {
		return nil, failure
	}
	call := &serviceCall{
		request: r, service: service, route: route, body: body, held: &heldResponses{},
		path: servicePath, query: r.http.URL.RawQuery, emptyQuery: r.http.URL.ForceQuery, weight: principal.organisation.GetWeight(),
	}
	return call, call.checkKeyNotExposed(principal)
}

// checkKeyNotExposed returns an error if the call would expose the caller's key
// to the service.
func (c *serviceCall) checkKeyNotExposed(principal caller) *Error {
	if principal.secret == "" {
		return nil
	}
	if bytes.Contains(c.body, []byte(principal.secret)) || jsonContains(c.body, principal.secret) {
		return errKeyMisplaced("body")
	}
	decoded, err := url.PathUnescape(c.path + "?" + c.query)
	if err != nil || strings.Contains(decoded, principal.secret) {
		return errKeyMisplaced("path")
	}
	for _, name := range []string{"Content-Type", "Accept"} {
		if strings.Contains(c.request.http.Header.Get(name), principal.secret) {
			return errKeyMisplaced("header " + name)
		}
	}
	return nil
}

// jsonContains reports whether a JSON document has escapes and one of its
// decoded strings contains the text.
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

// cleanPath returns the path below the service, as sent. It returns false
// if a service could interpret the path or query differently from the gateway,
// which could bypass the check of the route.
func cleanPath(u *url.URL) (string, bool) {
	escaped := strings.TrimPrefix(cmp.Or(u.RawPath, u.EscapedPath()), "/services/") // RawPath is set if the path was sent otherwise
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

// findRoute returns the matching route with the longest prefix, or nil. Among
// equal prefixes, a route for the method takes precedence over one for any.
func findRoute(routes []*apiv1.Route, service, method, servicePath string) *apiv1.Route {
	var best *apiv1.Route
	for _, route := range routes {
		if route.GetService() != service || !routeMatches(route, method, servicePath) {
			continue
		}
		if best == nil || moreSpecific(route, best) {
			best = route
		}
	}
	return best
}

func routeMatches(route *apiv1.Route, method, servicePath string) bool {
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

// reserveCost reserves the call's cost from the caller's rate limit. The
// returned function settles the reservation; the cost is consumed if the call
// was sent.
func (g *Gateway) reserveCost(ctx context.Context, call *serviceCall) (func(), *Error) {
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

// tokens returns the cost of the call, which is at least 1.
func (c *serviceCall) tokens() float64 { return float64(max(c.route.GetCostTokens(), 1)) }

func (c *serviceCall) gateway() *Gateway { return c.request.gateway }

// runRepeatable makes attempts at one endpoint after another. A response with
// status 500 or above is retried as well, and returned if no retry is allowed.
func (c *serviceCall) runRepeatable(ctx context.Context) error {
	for attempts := 1; ; attempts++ {
		sl, failure := c.acquire(ctx)
		if failure != nil {
			return failure
		}
		response, err := c.sendAttempt(ctx, sl, len(c.tried) > 0)
		c.gateway().scheduler.finish(sl, serviceOutcome(ctx, response, err), int64(c.tokens()))
		if err == nil && response.Status < http.StatusInternalServerError {
			return c.writeResponse(response, false)
		}
		if ctx.Err() != nil {
			return contextError(ctx, c.runState())
		}
		if !c.gateway().retryAllowed(true, attempts, repeat.Unknown) {
			if err == nil {
				return c.writeResponse(response, false)
			}
			return errEndpointFailed(c.runState())
		}
		c.gateway().metrics.retries.WithLabelValues("service").Inc()
		c.tried = append(c.tried, sl.attempt.Endpoint())
	}
}

// runState returns what is known about whether the call ran.
func (c *serviceCall) runState() RunState {
	if c.request.sent {
		return RunStateUnknown
	}
	return RunStateNotRun
}

// serviceOutcome returns the outcome of an attempt for the endpoint's failure
// statistics.
func serviceOutcome(ctx context.Context, response *claims.Response, err error) endpoint.Outcome {
	if err == nil && response.Status >= http.StatusInternalServerError {
		return endpoint.OutcomeFailed
	}
	return attemptOutcome(ctx, err)
}

// acquire waits for a slot at an endpoint of the service.
func (c *serviceCall) acquire(ctx context.Context) (*slot, *Error) {
	r := c.request
	routingRequest := routing.Request{Zone: c.gateway().config.Zone, Service: c.service, Tried: c.tried}
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
		routing: routingRequest,
	})
	if failure := r.admissionError(ctx, refusal, err); failure != nil {
		return nil, failure
	}
	if failure := r.checkSend(c.runState()); failure != nil {
		c.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
		return nil, failure
	}
	if !r.sent {
		if failure := c.gateway().checkShutdown(ctx, c.size()); failure != nil {
			c.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
			return nil, failure
		}
	}
	r.recordRoute(sl)
	return sl, nil
}

// sendAttempt sends the call once and reads the complete response. If fresh is
// set, it uses a new connection.
func (c *serviceCall) sendAttempt(ctx context.Context, sl *slot, fresh bool) (*claims.Response, error) {
	cfg := c.gateway().config
	limits := endpoint.ProgressLimits{
		Header: cfg.ServiceFirstByteTimeout, ReusedHeader: min(cfg.ServiceFirstByteTimeout, cfg.ReusedFirstByteTimeout),
		FirstByte: cfg.ProgressTimeout, BetweenReads: cfg.ProgressTimeout,
	}
	wasSent := c.request.sent
	c.request.sent = true
	call := endpoint.Call{
		AttemptID:   uuid.NewString(),
		RequestID:   c.request.id,
		Method:      c.request.http.Method,
		Path:        c.path,
		RawQuery:    c.query,
		EmptyQuery:  c.emptyQuery,
		ContentType: c.request.http.Header.Get("Content-Type"),
		Accept:      c.request.http.Header.Get("Accept"),
		Body:        c.body,
		Dedicated:   fresh,
		Limits:      limits,
	}
	c.request.assertCallPermitted(call, c.route.GetOpen() || permits(c.route.GetOrganisations(), c.request.caller.organisation.GetName()))
	response, err := sl.attempt.Send(ctx, call)
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) {
		c.request.sent = wasSent
	}
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return c.readResponse(response)
}

// readResponse reads a response, which must be framed so that a truncated body
// is detected.
func (c *serviceCall) readResponse(response *endpoint.Response) (*claims.Response, error) {
	if !response.Framed {
		return nil, errors.New("the service's answer has no length, so that it can't be told from a cut one")
	}
	body, release, err := c.gateway().responses.Read(response.Body, maxServiceResponseBytes, errServiceResponseTooLarge)
	c.held.add(release)
	if err != nil {
		return nil, err
	}
	header := make(http.Header)
	for _, name := range forwardedResponseHeaders {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return &claims.Response{Status: response.Status, Header: header, Body: body}, nil
}

// writeResponse sends a complete response to the caller.
func (c *serviceCall) writeResponse(response *claims.Response, replayed bool) error {
	c.request.setDecisionHeader()
	writer := c.request.echo.Response()
	for _, name := range forwardedResponseHeaders {
		if value := response.Header.Get(name); value != "" {
			writer.Header().Set(name, value)
		}
	}
	if replayed {
		writer.Header().Set(HeaderIdempotentReplay, "true")
	}
	writer.WriteHeader(response.Status)
	if _, err := writer.Write(response.Body); err != nil {
		abortConnection()
	}
	return nil
}

// claimRecordTimeout is the timeout for recording a claim's outcome, which
// continues after the caller disconnects.
const claimRecordTimeout = 10 * time.Second

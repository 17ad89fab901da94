package gateway

import (
	"bytes"
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// complete serves a completion request. The checks run cheapest first, all
// before anything is sent to an endpoint.
func (g *Gateway) complete(r *request, chat bool) error {
	snapshot := g.config.Source.Current()
	principal, failure := g.authenticate(snapshot, r.http)
	if failure != nil {
		return failure
	}
	r.setCallerAndModel(principal, "")
	if failure := r.parseClass(); failure != nil {
		return failure
	}
	ctx, cancel, failure := r.withTimeout(r.http.Context())
	if failure != nil {
		return failure
	}
	defer cancel()
	body, failure := r.readBody()
	if failure != nil {
		return failure
	}
	parsed, failure := parseCompletion(body, chat)
	if failure != nil {
		return failure
	}
	if strings.Contains(parsed.model, principal.secret) {
		return errKeyMisplaced("body")
	}
	r.setCallerAndModel(principal, parsed.model)
	resolved, failure := findTarget(snapshot, principal.organisation.GetName(), parsed.model)
	if failure != nil {
		return failure
	}
	if failure := parsed.limit(resolved.model.GetMaxTokens(), g.config.DefaultMaxTokens); failure != nil {
		return failure
	}
	if failure := g.checkShutdown(ctx, parsed.size()); failure != nil {
		return failure
	}
	engineBody, err := parsed.engineBody(resolved)
	if err != nil {
		return err
	}
	if bytes.Contains(engineBody, []byte(principal.secret)) {
		return errKeyMisplaced("body")
	}
	return g.reserveAndRun(ctx, &generation{
		request: r, completion: parsed, target: resolved, body: engineBody,
		prefixHash: endpoint.PrefixHash(parsed.prompt),
		weight:     principal.organisation.GetWeight(),
	})
}

// reserveAndRun reserves the generation's tokens from the caller's rate, runs
// the generation and returns the unused tokens.
func (g *Gateway) reserveAndRun(ctx context.Context, gen *generation) error {
	tokens := gen.completion.tokens()
	reservation, failure := g.reserve(ctx, gen.request.caller, float64(tokens))
	if failure != nil {
		return failure
	}
	defer reservation.Settle()
	gen.reservation = reservation
	g.demand.add(g.config.Clock(), gen.target.name(), tokens)
	g.recordFirstAttempt()
	if gen.completion.stream {
		gen.sink = newStreamSink(gen)
	} else {
		gen.sink = newBufferedSink(gen)
	}
	if err := gen.run(ctx); err != nil {
		return err
	}
	gen.request.recordDuration(gen.completion.size())
	return nil
}

// reserve reserves tokens from the rate limit of the caller's organisation.
func (g *Gateway) reserve(ctx context.Context, principal caller, tokens float64) (ratelimit.Reservation, *Error) {
	reservation, err := g.config.Limiter.Reserve(ctx, principal.organisation.GetName(), tokens)
	if err == nil {
		return reservation, nil
	}
	if isAborted(ctx) {
		return nil, errStopping()
	}
	var refused *ratelimit.RefusedError
	if !errors.As(err, &refused) {
		return nil, errRateUnavailable()
	}
	switch refused.Reason {
	case ratelimit.ReasonTooLarge:
		return nil, errOverBurst(tokens)
	case ratelimit.ReasonNoPolicy:
		return nil, errRatePolicyMissing()
	default:
		return nil, errRateLimitExceeded(refused.RetryAfter)
	}
}

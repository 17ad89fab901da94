package gateway

import (
	"bytes"
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// complete serves a completion. What can be refused is refused in the order
// of cost, before anything is sent.
func (g *Gateway) complete(r *request, chat bool) error {
	snapshot := g.config.Source.Current()
	who, failure := g.authenticate(snapshot, r.http)
	if failure != nil {
		return failure
	}
	r.identify(who, "")
	if failure := r.classify(); failure != nil {
		return failure
	}
	ctx, cancel, failure := r.withTimeout(r.http.Context())
	if failure != nil {
		return failure
	}
	defer cancel()
	body, failure := r.body()
	if failure != nil {
		return failure
	}
	asked, failure := parseCompletion(body, chat)
	if failure != nil {
		return failure
	}
	if strings.Contains(asked.model, who.secret) {
		return errKeyMisplaced("body")
	}
	r.identify(who, asked.model)
	chosen, failure := findTarget(snapshot, who.organisation.GetName(), asked.model)
	if failure != nil {
		return failure
	}
	if failure := asked.limit(chosen.model.GetMaxTokens(), g.config.DefaultAnswerTokens); failure != nil {
		return failure
	}
	engineBody, err := asked.engineBody(chosen)
	if err != nil {
		return err
	}
	if bytes.Contains(engineBody, []byte(who.secret)) {
		return errKeyMisplaced("body")
	}
	return g.reserveAndRun(ctx, &generation{
		request: r, asked: asked, target: chosen, body: engineBody,
		prefix: endpoint.PrefixHash(asked.prompt),
		weight: who.organisation.GetWeight(),
	})
}

func (g *Gateway) reserveAndRun(ctx context.Context, gen *generation) error {
	tokens := gen.asked.tokens()
	reservation, failure := g.reserve(ctx, gen.request.caller, float64(tokens))
	if failure != nil {
		return failure
	}
	defer reservation.Settle()
	gen.reservation = reservation
	g.demand.add(g.config.Clock(), gen.target.name(), tokens)
	g.firstAttempt()
	if gen.asked.stream {
		gen.sink = newStreamSink(gen)
	} else {
		gen.sink = newPlainSink(gen)
	}
	return gen.run(ctx)
}

// reserve takes tokens out of the caller's rate.
func (g *Gateway) reserve(ctx context.Context, who caller, tokens float64) (ratelimit.Reservation, *Error) {
	reservation, err := g.config.Limiter.Reserve(ctx, who.organisation.GetName(), tokens)
	if err == nil {
		return reservation, nil
	}
	var refused *ratelimit.RefusedError
	if !errors.As(err, &refused) {
		return nil, errRateUnavailable()
	}
	switch refused.Reason {
	case ratelimit.ReasonTooLarge:
		return nil, errOverBurst(tokens)
	case ratelimit.ReasonNoPolicy:
		return nil, errNoRatePolicy()
	default:
		return nil, errRateExceeded(refused.RetryAfter)
	}
}

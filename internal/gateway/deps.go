// Package gateway serves the callers: it authenticates each request, holds
// it to its organisation's rate, queues it, sends it to an endpoint and
// passes on the whole answer.
package gateway

import (
	"context"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// Limiter holds organisations to their rates over all hosts together. A
// ratelimit.RefusedError is a refusal for lack of tokens.
type Limiter interface {
	Reserve(ctx context.Context, organisation string, tokens float64) (ratelimit.Reservation, error)
}

// Claims keeps non-repeatable requests to one run. An error of Begin means
// that nothing is claimed and nothing may be sent.
type Claims interface {
	Begin(ctx context.Context, req claims.Request) (claims.Outcome, error)
	// Lookup tells what became of an earlier attempt and claims nothing.
	Lookup(ctx context.Context, req claims.Request) (claims.Outcome, error)
}

// claim is the right to send a request once.
type claim interface {
	// Valid reports whether the request may still be sent.
	Valid() bool
	Finish(ctx context.Context, answer claims.Response) error
	// NotRun gives the claim back; nothing was sent.
	NotRun(ctx context.Context) error
	Unknown(ctx context.Context) error
}

// Recorder keeps decisions. Record returns the identifier that it gave.
type Recorder interface {
	Record(decision *apiv1.Decision) string
}

// Endpoints is the registry of endpoints.
type Endpoints interface {
	States() []endpoint.State
	State(name string) (endpoint.State, bool)
	// Start enters new work into an endpoint's accounts; nil means that the
	// endpoint takes none.
	Start(name string, tokens int64) *endpoint.Attempt
	// Resume is Start for a stream that already runs at the endpoint.
	Resume(name string, tokens int64) *endpoint.Attempt
	Changed() <-chan struct{}
}

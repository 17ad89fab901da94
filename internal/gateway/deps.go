// Package gateway serves callers' requests: it authenticates each request,
// enforces the rate limit of its organisation, queues it, sends it to an
// endpoint and forwards the verified response.
package gateway

import (
	"context"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// Limiter enforces the rate limit of each organisation across all hosts.
// Reserve returns a ratelimit.RefusedError if the tokens are not available.
type Limiter interface {
	Reserve(ctx context.Context, organisation string, tokens float64) (ratelimit.Reservation, error)
}

// Claims lets a non-repeatable request run at most once. If Begin returns an
// error, nothing is claimed and the request must not be sent.
type Claims interface {
	Begin(ctx context.Context, req claims.Request) (claims.Outcome, error)
	// Lookup returns the outcome of an earlier attempt without making a claim.
	Lookup(ctx context.Context, req claims.Request) (claims.Outcome, error)
}

// claim is the right to send a request once.
type claim interface {
	// Valid reports whether the request may still be sent.
	Valid() bool
	// Finish records the response for repeats of the request.
	Finish(ctx context.Context, response claims.Response) error
	// NotRun releases the claim. It may be called only if nothing was sent.
	NotRun(ctx context.Context) error
	// Unknown records that the request was sent and its outcome is unknown.
	Unknown(ctx context.Context) error
}

// Recorder stores decisions. Record returns the identifier it assigned.
type Recorder interface {
	Record(decision *apiv1.Decision) string
}

// Endpoints is the part of the endpoint registry that the gateway uses.
type Endpoints interface {
	States() []endpoint.State
	State(name string) (endpoint.State, bool)
	// Start counts a new attempt as in flight at an endpoint. It returns nil if
	// the endpoint accepts no new work.
	Start(name string, tokens int64) *endpoint.Attempt
	// Resume is Start for a stream that is already running at the endpoint.
	Resume(name string, tokens int64) *endpoint.Attempt
	// Changed returns a channel that is closed at the next change of state.
	Changed() <-chan struct{}
}

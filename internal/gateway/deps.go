// Package gateway serves the callers: it authenticates each request, holds
// it to its organisation's rate, queues it, sends it to an endpoint and
// passes on the whole answer.
package gateway

import (
	"context"
	"net/http"
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// Limiter holds organisations to their rates over all hosts together. An
// error that has a RetryDelay is a refusal for lack of tokens.
type Limiter interface {
	Reserve(ctx context.Context, organisation string, tokens float64) (Reservation, error)
}

// Reservation is tokens set aside for one request.
type Reservation interface {
	// Consume takes account of tokens that were used.
	Consume(tokens float64)
	// Settle gives back what was not consumed. Further calls do nothing.
	Settle()
}

// RetryDelayer is an error that tells when to try again.
type RetryDelayer interface {
	error
	RetryDelay() time.Duration
}

// Claims keeps non-repeatable requests to one run. An error of Begin means
// that nothing is claimed and nothing may be sent.
type Claims interface {
	Begin(ctx context.Context, req ClaimRequest) (ClaimOutcome, error)
}

// ClaimRequest identifies a non-repeatable request.
type ClaimRequest struct {
	Organisation   string
	Route          string
	IdempotencyKey string
	// Fingerprint is a hash of what is asked.
	Fingerprint string
}

// ClaimState is what is known of a non-repeatable request.
type ClaimState int

// The states of a claim.
const (
	// ClaimClaimed means that this host may send the request, once.
	ClaimClaimed ClaimState = iota
	// ClaimRecorded means that the request ran and its answer is recorded.
	ClaimRecorded
	// ClaimStillRunning means that a host has sent the request.
	ClaimStillRunning
	// ClaimUnknown means that the request may have run.
	ClaimUnknown
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch
)

// ClaimOutcome is the answer to a claim.
type ClaimOutcome struct {
	State ClaimState
	// Claim is set where the state is ClaimClaimed.
	Claim Claim
	// Answer is set where the state is ClaimRecorded.
	Answer *RecordedAnswer
}

// Claim is the right to send a request once. One of its methods is to be
// called at the end.
type Claim interface {
	Finish(ctx context.Context, answer RecordedAnswer) error
	// NotRun gives the claim back; nothing was sent.
	NotRun(ctx context.Context) error
	Unknown(ctx context.Context) error
}

// RecordedAnswer is an endpoint's whole answer.
type RecordedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
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

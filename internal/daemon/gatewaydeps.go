package daemon

import (
	"context"
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/claims"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/demand"
	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/placement/owner"

	"github.com/cockroachdb/errors"
)

// claimBook offers claims.Book to the gateway.
type claimBook struct {
	book *claims.Book
}

// claimStates maps the results of a claim to the gateway's states.
var claimStates = map[claims.Result]gateway.ClaimState{
	claims.Claimed:      gateway.ClaimClaimed,
	claims.Recorded:     gateway.ClaimRecorded,
	claims.StillRunning: gateway.ClaimStillRunning,
	claims.Unknown:      gateway.ClaimUnknown,
	claims.Mismatch:     gateway.ClaimMismatch,
}

// Begin implements gateway.Claims.
func (b *claimBook) Begin(ctx context.Context, request gateway.ClaimRequest) (gateway.ClaimOutcome, error) {
	outcome, err := b.book.Begin(ctx, claims.Request(request))
	if err != nil {
		return gateway.ClaimOutcome{}, retryLater(err)
	}
	result := gateway.ClaimOutcome{State: claimStates[outcome.State]}
	if outcome.Claim != nil {
		result.Claim = &heldClaim{outcome.Claim}
	}
	if answer := outcome.Answer; answer != nil {
		if answer.TooLarge {
			return gateway.ClaimOutcome{State: gateway.ClaimUnknown}, nil
		}
		result.Answer = &gateway.RecordedAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	}
	return result, nil
}

// heldClaim offers claims.Claim to the gateway.
type heldClaim struct {
	*claims.Claim
}

// Finish implements gateway.Claim.
func (c *heldClaim) Finish(ctx context.Context, answer gateway.RecordedAnswer) error {
	return c.Claim.Finish(ctx, claims.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body})
}

// delayedError is an error that tells the gateway when to try again.
type delayedError struct {
	error
	delay time.Duration
}

// RetryDelay implements gateway.RetryDelayer.
func (e *delayedError) RetryDelay() time.Duration { return e.delay }

// Unwrap returns the cause.
func (e *delayedError) Unwrap() error { return e.error }

// retryLater keeps the advice of an unavailable claim.
func retryLater(err error) error {
	var unavailable *claims.UnavailableError
	if errors.As(err, &unavailable) {
		return &delayedError{error: err, delay: unavailable.RetryAfter}
	}
	return err
}

// ownerDemand converts the hosts' demand for the placement owner.
func ownerDemand(tracker *demand.Tracker) func() map[string]owner.Demand {
	return func() map[string]owner.Demand {
		totals := tracker.ByModel()
		result := make(map[string]owner.Demand, len(totals))
		for model, total := range totals {
			result[model] = owner.Demand{TokensPerSecond: total.TokensPerSecond, Queued: int(total.Queued)}
		}
		return result
	}
}

// revisionHints tells the configuration log of peers that are ahead. It is a
// membership extension.
type revisionHints struct {
	log *config.Log
}

// FillRequest implements membership.Extension; a host's revision is in its
// digest already.
func (h *revisionHints) FillRequest(*peerv1.GossipRequest) {}

// HandleRequest implements membership.Extension.
func (h *revisionHints) HandleRequest(request *peerv1.GossipRequest, _ *peerv1.GossipResponse) {
	h.hint(request.GetSelf())
}

// HandleResponse implements membership.Extension.
func (h *revisionHints) HandleResponse(response *peerv1.GossipResponse, _ time.Time) {
	h.hint(response.GetSelf())
}

// Targets implements membership.Extension.
func (h *revisionHints) Targets() []string { return nil }

func (h *revisionHints) hint(from *peerv1.HostDigest) { h.log.Hint(from.GetConfigRevision()) }

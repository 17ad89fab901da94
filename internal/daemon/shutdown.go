package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/invariant"
)

// shutdownStepTimeout bounds each final step of a shutdown, which releases
// shares or writes records to the platform.
const shutdownStepTimeout = 3 * time.Second

// shutdown drains the host. It reports not ready to the balancer and announces
// the shutdown to peers, then finishes the requests in flight, then releases
// the rate shares and flushes claims and decisions. It stops waiting for
// requests when ctx ends or the shutdown limit of the settings has passed.
func (h *host) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Shutdown.Limit.Std())
	defer cancel()
	h.ready.setDraining()
	h.callers.Drain()
	h.members.SetDraining()
	h.members.Round(ctx)
	aborted := h.gateway.Drain(ctx, h.settings.Shutdown.BalancerDelay.Std())
	invariant.Assert(len(aborted) == 0 || ctx.Err() != nil, invariant.ShutdownCutsNothing, logrus.Fields{"cut": len(aborted)})
	h.runShutdownStep(ctx, "shares", h.shares.Leave)
	h.runShutdownStep(ctx, "claims", h.flushClaims)
	h.runShutdownStep(ctx, "decisions", h.recorder.Flush)
}

// runShutdownStep runs one final step with its own timeout, even if ctx has
// ended. A failure is only logged: other hosts reclaim the resource once its
// lease expires.
func (h *host) runShutdownStep(ctx context.Context, what string, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownStepTimeout)
	defer cancel()
	if err := step(ctx); err != nil {
		logrus.WithError(err).WithField("what", what).Warn("shutdown step failed; other hosts reclaim the resource once its lease expires")
	}
}

// flushClaims writes the pending claim records.
func (h *host) flushClaims(ctx context.Context) error {
	if left := h.claimStore.Flush(ctx); left > 0 {
		logrus.WithField("claims", left).Warn("claim records not written before shutdown; retries of these requests will get an unknown outcome")
	}
	return nil
}

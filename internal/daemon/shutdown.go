package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/invariant"
)

// handBackTimeout bounds each step that hands something back to the platform.
const handBackTimeout = 3 * time.Second

// shutdown makes the host leave: peers and the balancer are told first, then
// every request is finished, then what the host holds is handed back. It ends
// early when ctx does.
func (h *host) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Shutdown.Limit.Std())
	defer cancel()
	h.ready.leave()
	h.callers.Drain()
	h.members.SetDraining()
	h.members.Round(ctx)
	cut := h.gateway.Drain(ctx, h.settings.Shutdown.BalancerDelay.Std())
	invariant.Assert(len(cut) == 0 || ctx.Err() != nil, invariant.ShutdownCutsNothing, logrus.Fields{"cut": len(cut)})
	h.handBack(ctx, "shares", h.shares.Leave)
	h.handBack(ctx, "claims", h.flushClaims)
	h.handBack(ctx, "decisions", h.recorder.Flush)
}

// handBack runs one step with a limit of its own; a failure is logged, and
// what was not handed back is reclaimed by the other hosts in time.
func (h *host) handBack(ctx context.Context, what string, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handBackTimeout)
	defer cancel()
	if err := step(ctx); err != nil {
		logrus.WithError(err).WithField("what", what).Warn("could not be handed back; other hosts reclaim it when its lease has lapsed")
	}
}

// flushClaims writes the records that are still to be written.
func (h *host) flushClaims(ctx context.Context) error {
	if left := h.book.Flush(ctx); left > 0 {
		logrus.WithField("claims", left).Warn("claims left unrecorded; their repeats will be answered as unknown")
	}
	return nil
}

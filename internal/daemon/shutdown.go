package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/gateway"
	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/settings"
)

// The parts of settings.ShutdownEnd: after gateway.AbortTimeout for the answers to
// requests that still run, closeTimeout for their connections, shutdownStepTimeout for
// the final steps, which release shares and write records to the platform, and
// exitTimeout for the components.
const (
	closeTimeout        = 100 * time.Millisecond
	shutdownStepTimeout = 3 * time.Second
	callersTimeout      = 2 * time.Second
	exitTimeout         = settings.ShutdownEnd - gateway.AbortTimeout - closeTimeout - shutdownStepTimeout
)

// shutdown drains the host. It reports not ready to the balancer and announces
// the shutdown to peers, then finishes the requests in flight, then releases
// the rate shares and flushes claims and decisions. It aborts the requests that
// still run when ctx ends, or when settings.ShutdownEnd of the shutdown limit is left.
func (h *host) shutdown(ctx context.Context) {
	limit := h.settings.Shutdown.Limit.Std() - settings.ShutdownEnd
	h.stop.Begin(drain.Timing{
		Announced: h.settings.Shutdown.BalancerDelay.Std(), Arrival: arrivalGrace, Limit: limit, Answers: gateway.AbortTimeout, Close: closeTimeout,
	})
	h.members.SetDraining()
	go h.members.Round(ctx)
	h.stop.Run(ctx, h.work, func(phase drain.Phase) { h.enterPhase(ctx, phase) })
	var steps sync.WaitGroup
	steps.Go(func() { h.runShutdownStep(ctx, "shares", h.shares.Leave) })
	steps.Go(func() { h.runShutdownStep(ctx, "claims", h.flushClaims) })
	steps.Go(func() { h.runShutdownStep(ctx, "decisions", h.recorder.Flush) })
	steps.Wait()
}

// arrivalGrace is how long after the balancer has noticed a shutdown requests may still
// come that it sent before, or leave the queue.
const arrivalGrace = time.Second

// work returns what this host still has to do before its final steps.
func (h *host) work() drain.Work {
	return drain.Work{Requests: h.gateway.Running(), Arriving: h.callers.Arriving(), Connections: h.callers.Connections()}
}

// enterPhase does what belongs to the start of a phase of the shutdown. All else asks
// h.stop.
func (h *host) enterPhase(ctx context.Context, phase drain.Phase) {
	switch phase {
	case drain.Draining:
		// The limit may be minutes away, and most callers name no deadline before it: a port that
		// is closed sends them to another host sooner than refusals until then.
		h.callers.StopListening(context.WithoutCancel(ctx))
		h.callers.CloseQuiet()
	case drain.Ending:
		aborted := h.gateway.Abort()
		remaining, _ := h.stop.Remaining()
		invariant.Assert(len(aborted) == 0 || ctx.Err() != nil || remaining <= 0, invariant.ShutdownCutsNothing, logrus.Fields{"cut": len(aborted)})
	case drain.Closing:
		go h.callers.Close(callersTimeout)
	case drain.Serving, drain.Announced, drain.Ended:
	}
}

// awaitExit waits until the components have ended, for exitTimeout at most.
func awaitExit(ended <-chan error) {
	select {
	case <-ended:
	case <-time.After(exitTimeout):
		logrus.Warn("components still running at the end of the shutdown")
	}
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

package gateway

import (
	"context"
	"time"

	"bilberryslip.example/bilberryslip/internal/drain"
)

// beginShutdown starts the shutdown, in which requests may run until ctx is done.
func (g *Gateway) beginShutdown(ctx context.Context, balancerDelay time.Duration) {
	now := g.config.Clock()
	limit, ok := ctx.Deadline()
	if !ok {
		limit = now.Add(maxTimeout)
	}
	g.shutdown.Begin(now, now.Add(balancerDelay), limit)
	g.running.startDrain()
}

// checkShutdown returns an error if this host is expected to end before a request does
// that is about to start.
func (g *Gateway) checkShutdown(ctx context.Context, size drain.Request) *Error {
	now := g.config.Clock()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(maxTimeout)
	}
	admission := drain.Admission{Window: &g.shutdown, Estimator: g.durations}
	if admission.Decide(now, deadline, size).Admitted {
		return nil
	}
	return errStopping()
}

// size returns what the duration of the generation depends on.
func (c *completion) size() drain.Request {
	return drain.Request{Service: c.model, OutputTokens: int(c.maxTokens)}
}

// size returns what the duration of the call depends on.
func (c *serviceCall) size() drain.Request { return drain.Request{Service: c.service} }

// recordDuration records the duration of a request that was served.
func (r *request) recordDuration(size drain.Request) {
	r.gateway.durations.Record(size, r.gateway.config.Clock().Sub(r.started))
}

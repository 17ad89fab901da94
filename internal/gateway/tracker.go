package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// tracker tracks the running requests. It is safe for concurrent use.
type tracker struct {
	mu           sync.Mutex
	requests     map[*request]struct{}
	drainStarted bool
	// aborted is set once all requests are aborted, later ones included.
	aborted bool
	// idle is closed when the last request ends. It is nil if nobody waits.
	idle chan struct{}
}

func (t *tracker) add(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r] = struct{}{}
	if t.aborted {
		r.abort(errAborted)
	}
}

// abort cancels the contexts of the requests that run, and of those that are added later.
func (t *tracker) abort() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aborted = true
	for r := range t.requests {
		r.abort(errAborted)
	}
}

func (t *tracker) remove(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, r)
	if len(t.requests) == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *tracker) draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainStarted
}

func (t *tracker) startDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainStarted = true
}

// awaitIdle returns a channel that is closed once no request is running.
func (t *tracker) awaitIdle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	if len(t.requests) == 0 {
		close(t.idle)
		t.idle = nil
	}
	return idle
}

func (t *tracker) list() []*request {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*request, 0, len(t.requests))
	for r := range t.requests {
		list = append(list, r)
	}
	return list
}

// Ready reports whether the load balancer should send requests to this host.
func (g *Gateway) Ready() bool {
	return !g.running.draining() && g.config.Source.Current().Revision() > 0
}

// UnfinishedRequest describes a running request, in particular one that is
// still running at the time limit of a drain.
type UnfinishedRequest struct {
	RequestID    string        `json:"requestId"`
	Organisation string        `json:"organisation"`
	Model        string        `json:"model"`
	Endpoint     string        `json:"endpoint"`
	Age          time.Duration `json:"ageNanos"`
}

// Drain makes the gateway not ready, continues to accept requests for
// balancerDelay, then stops accepting and waits until no request is running. Those
// that still run when ctx is done are returned; they are aborted, and answered within
// AbortTimeout.
func (g *Gateway) Drain(ctx context.Context, balancerDelay time.Duration) []UnfinishedRequest {
	g.beginShutdown(ctx, balancerDelay)
	logrus.WithField("balancer_delay_ms", balancerDelay.Milliseconds()).Info("gateway is draining")
	select {
	case <-ctx.Done():
	case <-time.After(balancerDelay):
	}
	if g.config.StopAccepting != nil {
		g.config.StopAccepting(ctx)
	}
	select {
	case <-g.running.awaitIdle():
		return nil
	case <-ctx.Done():
		unfinished := g.unfinishedRequests()
		g.abort()
		return unfinished
	}
}

// unfinishedRequests logs and returns the requests that are still running.
func (g *Gateway) unfinishedRequests() []UnfinishedRequest {
	now := g.config.Clock()
	var unfinished []UnfinishedRequest
	for _, r := range g.running.list() {
		described := r.describe(now)
		unfinished = append(unfinished, described)
		logrus.WithFields(logrus.Fields{
			"request":      described.RequestID,
			"organisation": described.Organisation,
			"model":        described.Model,
			"endpoint":     described.Endpoint,
		}).Warn("request still running at the time limit of the drain")
	}
	return unfinished
}

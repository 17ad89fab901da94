package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// tracker knows the running requests.
type tracker struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	drain    bool
	// idle is closed when the last request ends, if somebody waits for it.
	idle chan struct{}
}

func (t *tracker) add(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r] = struct{}{}
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
	return t.drain
}

func (t *tracker) startDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drain = true
}

// awaitIdle returns a channel that is closed once no request runs.
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

// Ready reports whether the balancer should send requests here.
func (g *Gateway) Ready() bool {
	return !g.running.draining() && g.config.Source.Current().Revision() > 0
}

// CutRequest is a request that was still running when a drain ended.
type CutRequest struct {
	RequestID    string        `json:"requestId"`
	Organisation string        `json:"organisation"`
	Model        string        `json:"model"`
	Endpoint     string        `json:"endpoint"`
	Age          time.Duration `json:"ageNanos"`
}

// Drain makes the gateway not ready, goes on answering new requests for
// balancerDelay, and then stops accepting and waits until no request runs. It
// returns the requests that still ran when ctx ended.
func (g *Gateway) Drain(ctx context.Context, balancerDelay time.Duration) []CutRequest {
	g.running.startDrain()
	logrus.WithField("balancer_delay_ms", balancerDelay.Milliseconds()).Info("gateway drains")
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
		return g.cut()
	}
}

func (g *Gateway) cut() []CutRequest {
	now := g.config.Clock()
	var cut []CutRequest
	for _, r := range g.running.list() {
		described := r.describe(now)
		cut = append(cut, described)
		logrus.WithFields(logrus.Fields{
			"request":      described.RequestID,
			"organisation": described.Organisation,
			"model":        described.Model,
			"endpoint":     described.Endpoint,
		}).Warn("request cut at the drain's limit")
	}
	return cut
}

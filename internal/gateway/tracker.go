package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// tracker tracks the running requests. It is safe for concurrent use.
type tracker struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	// aborted is set once all requests are aborted, later ones included.
	aborted bool
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
	return g.config.Stop.Ready() && g.config.Source.Current().Revision() > 0
}

// UnfinishedRequest describes a running request, in particular one that is
// still running at the time limit of a shutdown.
type UnfinishedRequest struct {
	RequestID    string        `json:"requestId"`
	Organisation string        `json:"organisation"`
	Model        string        `json:"model"`
	Endpoint     string        `json:"endpoint"`
	Age          time.Duration `json:"ageNanos"`
}

// Running returns the number of requests that are running.
func (g *Gateway) Running() int { return len(g.running.list()) }

// Abort logs, aborts and returns the requests that still run at the limit of a shutdown.
// They are answered within AbortTimeout, as are those that come later.
func (g *Gateway) Abort() []UnfinishedRequest {
	unfinished := g.unfinishedRequests()
	g.running.abort()
	return unfinished
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

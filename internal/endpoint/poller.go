package endpoint

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// Serve follows the configuration and polls the endpoints until ctx is
// cancelled. It implements suture.Service.
func (r *Registry) Serve(ctx context.Context) error {
	pollers := make(map[*entry]context.CancelFunc)
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		changed := r.config.Source.Changed()
		r.Reconcile()
		r.startPollers(ctx, pollers, &running)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// startPollers starts a poller for each new entry and stops those of removed
// entries.
func (r *Registry) startPollers(ctx context.Context, pollers map[*entry]context.CancelFunc, running *sync.WaitGroup) {
	current := make(map[*entry]bool)
	r.mu.Lock()
	for _, e := range r.entries {
		current[e] = true
	}
	r.mu.Unlock()
	for e, stop := range pollers {
		if !current[e] {
			stop()
			delete(pollers, e)
		}
	}
	for e := range current {
		if pollers[e] != nil {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		pollers[e] = stop
		running.Go(func() { r.poll(pollCtx, e) })
	}
}

func (r *Registry) interval(e *entry) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.config.GetZone() == r.config.Zone {
		return r.config.PollInterval
	}
	return r.config.RemotePollInterval
}

func (r *Registry) kind(e *entry) apiv1.EndpointKind {
	r.mu.Lock()
	defer r.mu.Unlock()
	return e.config.GetKind()
}

func (r *Registry) poll(ctx context.Context, e *entry) {
	ticker := time.NewTicker(r.interval(e))
	defer ticker.Stop()
	for {
		r.PollOnce(ctx, e.client.name)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// PollOnce requests the report of one endpoint and, if they are due, its cache
// events.
func (r *Registry) PollOnce(ctx context.Context, name string) {
	r.mu.Lock()
	e, ok := r.entries[name]
	r.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.PollTimeout)
	defer cancel()
	if err := r.pollReport(ctx, e); err != nil {
		r.metrics.pollFailures.Inc()
		logrus.WithField("endpoint", name).WithError(err).Debug("endpoint poll failed")
		return
	}
	if r.claimEventPoll(e) {
		r.pollEvents(ctx, e)
	}
}

// claimEventPoll reports whether the cache events of an engine are due, and if
// so records that they are requested now.
func (r *Registry) claimEventPoll(e *entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	if e.config.GetKind() != apiv1.EndpointKind_ENDPOINT_KIND_ENGINE || now.Sub(e.eventsRequestedAt) < r.config.EventInterval {
		return false
	}
	e.eventsRequestedAt = now
	return true
}

func (r *Registry) pollReport(ctx context.Context, e *entry) error {
	sent := r.config.Clock()
	path := engineReportPath
	if r.kind(e) == apiv1.EndpointKind_ENDPOINT_KIND_SERVICE {
		path = serviceReportPath
	}
	report, err := e.client.report(ctx, path)
	var status *StatusError
	notSupported := errors.As(err, &status) && status.Status == http.StatusNotFound
	if err != nil && !notSupported {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if notSupported {
		e.lastResponse = r.config.Clock() // a plain service need not serve reports
		return nil
	}
	e.recordReport(report, sent, r.config.Clock())
	r.notify()
	return nil
}

func (r *Registry) pollEvents(ctx context.Context, e *entry) {
	r.mu.Lock()
	after := e.eventSequence
	r.mu.Unlock()
	events, err := e.client.events(ctx, after)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.recordEvents(events)
}

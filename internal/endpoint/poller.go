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

// Serve polls the endpoints until ctx ends. It implements suture.Service.
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

// startPollers runs one poller for each entry and stops those of old ones.
func (r *Registry) startPollers(ctx context.Context, pollers map[*entry]context.CancelFunc, running *sync.WaitGroup) {
	current := make(map[*entry]bool)
	r.mu.Lock()
	for _, known := range r.entries {
		current[known] = true
	}
	r.mu.Unlock()
	for known, stop := range pollers {
		if !current[known] {
			stop()
			delete(pollers, known)
		}
	}
	for known := range current {
		if pollers[known] != nil {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		pollers[known] = stop
		running.Go(func() { r.poll(pollCtx, known) })
	}
}

func (r *Registry) interval(known *entry) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known.config.GetZone() == r.config.Zone {
		return r.config.PollInterval
	}
	return r.config.RemotePollInterval
}

func (r *Registry) kind(known *entry) apiv1.EndpointKind {
	r.mu.Lock()
	defer r.mu.Unlock()
	return known.config.GetKind()
}

func (r *Registry) poll(ctx context.Context, known *entry) {
	ticker := time.NewTicker(r.interval(known))
	defer ticker.Stop()
	for {
		r.PollOnce(ctx, known.client.name)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// PollOnce asks one endpoint for its report and cache events.
func (r *Registry) PollOnce(ctx context.Context, name string) {
	r.mu.Lock()
	known, ok := r.entries[name]
	r.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.PollTimeout)
	defer cancel()
	if err := r.pollReport(ctx, known); err != nil {
		r.metrics.pollFailures.Inc()
		logrus.WithField("endpoint", name).WithError(err).Debug("endpoint poll failed")
		return
	}
	if r.eventsDue(known) {
		r.pollEvents(ctx, known)
	}
}

// eventsDue reports whether an engine has to be asked for cache events now,
// and notes that it is.
func (r *Registry) eventsDue(known *entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	if known.config.GetKind() != apiv1.EndpointKind_ENDPOINT_KIND_ENGINE || now.Sub(known.eventsAskedAt) < r.config.EventInterval {
		return false
	}
	known.eventsAskedAt = now
	return true
}

func (r *Registry) pollReport(ctx context.Context, known *entry) error {
	sent := r.config.Clock()
	path := engineReportPath
	if r.kind(known) == apiv1.EndpointKind_ENDPOINT_KIND_SERVICE {
		path = serviceReportPath
	}
	report, err := known.client.report(ctx, path)
	var status *StatusError
	noReports := errors.As(err, &status) && status.Status == http.StatusNotFound
	if err != nil && !noReports {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if noReports {
		known.lastAnswer = r.config.Clock() // a plain service may give no reports
		return nil
	}
	known.learn(report, sent, r.config.Clock())
	r.notify()
	return nil
}

func (r *Registry) pollEvents(ctx context.Context, known *entry) {
	r.mu.Lock()
	after := known.eventSequence
	r.mu.Unlock()
	events, err := known.client.events(ctx, after)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known.learnEvents(events)
}

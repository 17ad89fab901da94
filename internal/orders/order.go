package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

const (
	// orderTimeout bounds the wait for the response to an order or a report
	// request; engines answer within milliseconds.
	orderTimeout = 500 * time.Millisecond
	// maxReportAge is how old the state in an engine's report may be.
	maxReportAge = 300 * time.Millisecond
	// avoidTime is how long planning leaves an engine out after an order to it had no
	// response or none of its attempts was accepted, so that the model is placed elsewhere.
	avoidTime = 2 * time.Second
	// silentAfter is how long an engine has sent no report when its change no longer
	// counts towards the changes at the same time.
	silentAfter = time.Second
	// maxAttempts bounds the attempts to send one order.
	maxAttempts = 3
)

// errNotHolder reports that this host may not send orders at the moment.
var errNotHolder = errors.New("this host doesn't hold the placement lease; only the lease holder sends orders")

// errNotAccepted reports that the engine did not accept an order.
var errNotAccepted = errors.New("the engine did not accept the order; the next planning cycle decides again")

// errNoRoom reports that the engine lacks memory or an adapter slot for a load.
var errNoRoom = errors.New("the engine has no memory or slot left for the load; the next planning cycle decides again")

// errStale reports that the last report read is older than the last order.
var errStale = errors.New("the engine's report is older than the last order to it; it is read again")

// errBusy reports that an engine carries out an order for a model.
var errBusy = errors.New("the engine carries out an order; it gets no further one before its report shows the end")

// errRestarted reports that an engine has started again while an order was carried out.
var errRestarted = errors.New("the engine has started again; the next planning cycle decides again")

// errEvacuated reports that an engine is in an evacuated zone.
var errEvacuated = errors.New("the engine's availability zone is evacuated; planning leaves it out until the evacuation ends")

// order sends an order to an engine and updates the view with the outcome. The
// caller holds the engine's lock. The engine's configuration is set for loads only. An
// order without a response is sent again on the condition that the engine accepted no
// other meanwhile, so that it takes effect at most once.
func (s *Service) order(ctx context.Context, v *view, o Order, engine *traffic.Engine) error {
	o.Holder = s.config.Host
	for range maxAttempts {
		err := s.refreshIfStale(ctx, v)
		switch {
		case (err == nil || errors.Is(err, errBusy)) && s.satisfied(v, o):
			return nil
		case errors.Is(err, errBusy) && o.Adapter == "":
			if !retry.Sleep(ctx, maxReportAge) {
				return ctx.Err()
			}
			continue
		case err != nil:
			return err
		}
		if !s.mayOrder() {
			return errNotHolder
		}
		if s.config.Registry.InBackoff(v.id) {
			return errNotAccepted
		}
		if s.evacuated(v) {
			return errEvacuated
		}
		status := s.config.Lease.Status()
		if !status.Held { // lost since mayOrder, and its version with it
			return errNotHolder
		}
		o.FencingToken = int64(status.Version)
		result, err := s.sendOrder(ctx, v, &o, engine)
		switch {
		case errors.Is(err, errNoRoom):
			return errNoRoom
		case errors.Is(err, errStale):
			result = Conflict // the report was older than the last order
		case err != nil:
			continue
		}
		switch result {
		case Accepted, AlreadyApplied:
			return nil
		case Conflict:
			if !retry.Sleep(ctx, maxReportAge) {
				return ctx.Err()
			}
		default:
			return errNotAccepted
		}
	}
	s.avoid(v)
	return errNotAccepted
}

// avoid keeps planning from choosing an engine for avoidTime.
func (s *Service) avoid(v *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.avoidUntil = clock.Boot().Add(avoidTime)
}

// evacuated reports whether an engine must get no orders and no calls for its report.
func (s *Service) evacuated(v *view) bool {
	return s.underLock(func() bool { return s.config.Registry.Evacuated(v.endpoint.Zone) })
}

// sendOrder sends an order on the condition that the engine has accepted as many
// orders as the view shows, which it sets in o, and records the result.
func (s *Service) sendOrder(ctx context.Context, v *view, o *Order, engine *traffic.Engine) (Result, error) {
	s.mu.Lock()
	endpoint, starts := v.endpoint, v.starts
	sent, err := s.prepare(v, o, engine)
	s.mu.Unlock()
	if err != nil {
		return Refused, err
	}
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := s.config.Engines.Order(limited, endpoint, *o)
	s.recordBackoff(endpoint, err)
	s.logOrder(v, *o, result, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	v.recordResult(now, *o, starts, sent, result, err)
	if v.avoidUntil = (time.Time{}); err != nil {
		v.avoidUntil = now.Add(avoidTime)
	}
	return result, err
}

// prepare checks whether an order may be sent now. It records a load as sent, for which
// engine is set. It must be called with the mutex held.
func (s *Service) prepare(v *view, o *Order, engine *traffic.Engine) (*sentLoad, error) {
	now := clock.Boot()
	if o.Action == Load && s.mayMeetUnknown(now, v.id) {
		return nil, errNoRoom
	}
	return v.prepare(now, o, engine)
}

// mayMeetUnknown reports whether an engine may carry out orders of which this host
// doesn't know. It must be called with the mutex held.
func (s *Service) mayMeetUnknown(now time.Time, id string) bool {
	return mayMeetUnknown(now, s.unknownUntil, s.starts, id)
}

// recordBackoff records the backoff that an engine asked for, if it did.
func (s *Service) recordBackoff(endpoint fleet.Endpoint, err error) {
	var backoff *BackoffError
	if errors.As(err, &backoff) {
		s.config.Registry.BackOff(endpoint, backoff.Wait)
	}
}

func (s *Service) logOrder(v *view, o Order, result Result, err error) {
	outcome := map[Result]string{Accepted: "accepted", AlreadyApplied: "holds", Conflict: "conflict", Refused: "refused"}[result]
	if err != nil {
		outcome = "unknown"
	}
	s.metrics.WithLabelValues(o.Action.String(), outcome).Inc()
	entry := logrus.WithFields(logrus.Fields{
		"endpoint": v.id, "action": o.Action, "model": o.Model, "adapter": o.Adapter, "after": o.ExpectedOrders, "token": o.FencingToken, "answer": outcome,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order given")
}

// underLock evaluates a condition on views with the mutex held.
func (s *Service) underLock(condition func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return condition()
}

// refreshIfStale reads the engine's report if the view is stale. It returns errBusy
// while the engine carries out an order for a model.
func (s *Service) refreshIfStale(ctx context.Context, v *view) error {
	if !s.underLock(func() bool { return v.stale }) {
		return nil
	}
	if err := s.readReport(ctx, v); err != nil {
		return err
	}
	if s.underLock(func() bool { return v.reportedBusy }) {
		return errors.Wrapf(errBusy, "engine %s", v.id)
	}
	return nil
}

const (
	// refreshInterval is the time between two refreshes of a view that stays
	// stale, such as that of an engine that is busy or unreachable.
	refreshInterval = time.Second
	// maxRefreshWait bounds the time for which planning waits for refreshes.
	maxRefreshWait = 100 * time.Millisecond
)

// refreshStaleViews reads the reports of a service's engines whose views are stale,
// so that the plan counts on no memory that is in use and on no engine that is busy.
// It waits for the reports for up to maxRefreshWait, but not for those of engines that
// did not respond the last time.
func (s *Service) refreshStaleViews(ctx context.Context, service string) {
	var group sync.WaitGroup
	for _, v := range s.viewsToRefresh(service) {
		read := func() {
			if err := s.readReport(ctx, v); err != nil {
				logrus.WithError(err).WithField("endpoint", v.id).Info("engine report not received")
			}
		}
		if s.underLock(func() bool { return v.silentSince.IsZero() }) {
			group.Go(read)
		} else {
			go read()
		}
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	timer := time.NewTimer(maxRefreshWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (s *Service) viewsToRefresh(service string) []*view {
	now := clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	var stale []*view
	for _, v := range s.currentViews(service) {
		_, changing := s.changing[v.id]
		if v.stale && !changing && !v.endpoint.Leaving && now.Sub(v.refreshedAt) >= refreshInterval {
			v.refreshedAt = now
			stale = append(stale, v)
		}
	}
	return stale
}

// recordSilence records since when requests for an engine's report have had no response.
func (s *Service) recordSilence(v *view, sentAt time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		v.silentSince = time.Time{}
	case v.silentSince.IsZero():
		v.silentSince = sentAt
	}
}

// readReport updates the view from the engine's report, unless the report is
// older than the view.
func (s *Service) readReport(ctx context.Context, v *view) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s.mu.Lock()
	endpoint := v.endpoint
	s.mu.Unlock()
	if s.config.Registry.InBackoff(v.id) {
		return errors.Newf("engine %s is in backoff; the planning cycles skip it until it ends", v.id)
	}
	if s.config.Registry.Evacuated(endpoint.Zone) {
		return errEvacuated
	}
	sentAt := clock.Boot()
	state, err := s.config.Engines.Report(limited, endpoint)
	s.recordBackoff(endpoint, err)
	if err == nil || ctx.Err() == nil { // a caller that gives up proves no silence
		s.recordSilence(v, sentAt, err)
	}
	if err != nil {
		return errors.Wrapf(err, "read the report of engine %s", v.id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v.applyReport(state, !clock.Boot().Before(s.unknownUntil))
	if !state.Started.IsZero() {
		s.starts.observeOne(clock.Boot(), time.Now(), v.id, state.Started)
	}
	return nil
}

// satisfied reports whether the view already shows the state that an order
// requests, or that the engine is loading the model.
func (s *Service) satisfied(v *view, o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	adapters, held := v.models[o.Model]
	if o.Adapter != "" {
		held = held && adapters[o.Adapter]
	} else if o.Action == Load && v.incoming == o.Model {
		return true
	}
	return held == (o.Action == Load)
}

package orders

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

const (
	// reportPollInterval is the time between two reads of an engine's report
	// while an order is being carried out.
	reportPollInterval = 200 * time.Millisecond
	// unloadTimeout bounds the wait until a model is unloaded, which the engine
	// does after the model's running requests have ended.
	unloadTimeout = 10 * time.Second
	// loadTimeoutFactor is the time limit of a load, as a multiple of its usual
	// duration.
	loadTimeoutFactor = 4
	// toleratedLateLoads is the number of loads from the weight store that may begin
	// late, beyond those that were counted when they were ordered. The platform's limit
	// has as many on top, which loads that are counted don't use.
	toleratedLateLoads = 3
)

// plan starts the model changes whose benefit justifies their loads.
func (s *Service) plan(ctx context.Context) {
	config := s.config.Source.Current()
	if config == nil {
		return
	}
	for i := range config.Services() {
		service := &config.Services()[i]
		if service.Engine == nil {
			continue
		}
		s.refreshStaleViews(ctx, service.Name)
		for {
			in := s.planInput(service)
			if s.changesInProgress() >= maxConcurrentChanges(service.Engine) {
				break
			}
			c, ok := nextChange(in)
			if !ok || !s.start(ctx, service, c) {
				break
			}
		}
	}
}

// maxConcurrentChanges returns the number of engines that may change their models at
// the same time: as many as are loading when the weight store is used at its rate
// limit. An engine goes on serving the models that it keeps.
func maxConcurrentChanges(engine *traffic.Engine) int {
	longest := time.Duration(0)
	for i := range engine.Models {
		longest = max(longest, engine.Models[i].LoadTime)
	}
	return max(minConcurrentChanges, int(engine.LoadsPerSecond*longest.Seconds()))
}

// placeModel starts the load of a model that no engine holds, unless the load
// may not start now.
func (s *Service) placeModel(item itemKey) {
	config := s.config.Source.Current()
	if config == nil {
		return
	}
	service := config.Service(item.service)
	if service == nil || service.Engine == nil {
		return
	}
	if c, ok := firstReplica(s.planInput(service), item.model); ok {
		s.start(context.Background(), service, c)
	}
}

// changesInProgress returns the number of engines that are changing their models. Those
// that send no reports or left an order without response don't count, so that they don't
// keep others from changing.
func (s *Service) changesInProgress() int {
	now := clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for id := range s.changing {
		if v := s.views[id]; v == nil || !v.silent(now) && !now.Before(v.avoidUntil) {
			count++
		}
	}
	return count
}

// silent reports whether the engine has sent no report for so long that a change of its
// models may never end.
func (v *view) silent(now time.Time) bool {
	return !v.silentSince.IsZero() && now.Sub(v.silentSince) >= silentAfter
}

// unusable reports whether no load can be ordered from the engine now. A view that is
// stale since the engine sends no reports doesn't tell what it holds.
func (s *Service) unusable(now time.Time, v *view) bool {
	return v.reportedBusy || v.stale && !v.silentSince.IsZero() || s.config.Registry.InBackoff(v.id) || s.mayMeetUnknown(now, v.id)
}

// mayLoadCold reports whether the weight store's rate limit allows another load
// now. It must be called with the mutex held.
func (s *Service) mayLoadCold(engine *traffic.Engine) bool {
	now := clock.Boot()
	s.loads = slices.DeleteFunc(s.loads, func(at time.Time) bool { return now.Sub(at) > s.config.LoadWindow })
	late := 0
	for _, v := range s.views {
		late += v.lateCold(now, s.config.LoadWindow)
	}
	allowed := loadLimitFraction * engine.LoadsPerSecond * s.config.LoadWindow.Seconds() * s.config.LoadOverage
	return float64(len(s.loads)+max(0, late-toleratedLateLoads)+1) <= allowed
}

// planInput returns the demand for a service's models and the state of its
// engines. Draining engines are left out.
func (s *Service) planInput(service *traffic.Service) planInput {
	now, boot := time.Now(), clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	in := planInput{slots: service.Engine.Slots}
	for _, m := range service.Engine.Models {
		in.models = append(in.models, planModel{
			name: m.Name, memoryMB: m.MemoryMB, demand: s.demand.total(now, itemKey{service: service.Name, model: m.Name}),
		})
	}
	for _, v := range s.currentViews(service.Name) {
		current, changing := s.changing[v.id]
		if v.endpoint.Leaving {
			continue
		}
		e := planEngine{
			id: v.id, freeMB: v.freeMB(boot, service.Engine), copies: v.endpoint.Copies,
			busy: changing || s.unusable(boot, v) || boot.Before(v.avoidUntil), refused: v.refused(service.Engine), reserved: v.reserved(),
		}
		for name := range v.models {
			// A model that waits for the end of its runs to be unloaded gets no more requests.
			if !changing || !slices.Contains(current.victims, name) {
				e.models = append(e.models, name)
			}
		}
		if changing && !v.silent(boot) && !slices.Contains(e.models, current.model) {
			e.models = append(e.models, current.model)
		}
		slices.Sort(e.models)
		in.engines = append(in.engines, e)
	}
	return in
}

// start carries out a change in the background. It returns false if the change
// may not start now, because the engine is already changing, the weight store's
// rate limit is reached, or the views that it was planned by were discarded.
func (s *Service) start(ctx context.Context, service *traffic.Service, c change) bool {
	if s.config.MayStart != nil && !s.config.MayStart() {
		return false
	}
	s.mu.Lock()
	v := s.views[c.engine]
	if _, busy := s.changing[c.engine]; busy || v == nil || c.cold && !s.mayLoadCold(service.Engine) {
		s.mu.Unlock()
		return false
	}
	s.changing[c.engine] = c
	if c.cold {
		s.loads = append(s.loads, clock.Boot())
	}
	s.mu.Unlock()
	logrus.WithFields(logrus.Fields{
		"endpoint": c.engine, "model": c.model, "victims": c.victims, "cold": c.cold, "unreachable": c.unheld,
	}).Info("model placed")
	go func() {
		err := s.execute(ctx, service, v, c)
		if err != nil {
			logrus.WithError(err).WithFields(logrus.Fields{"endpoint": c.engine, "model": c.model}).Warn("model placement failed; the next planning cycle decides again")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.changing, c.engine)
		v.busy = false
		v.stale = v.stale || err != nil
	}()
	return true
}

// execute unloads the victims and loads the model. It returns when the engine
// reports the model as loaded.
func (s *Service) execute(ctx context.Context, service *traffic.Service, v *view, c change) error {
	release, ok := s.lockEngine(ctx, c.engine)
	if !ok {
		return ctx.Err()
	}
	defer release()
	if err := s.refreshIfStale(ctx, v); err != nil {
		return err
	}
	s.setBusy(v)
	for _, victim := range c.victims {
		s.announce(c.engine, victim, "", false)
		if err := s.order(ctx, v, Order{Action: Unload, Model: victim}, nil); err != nil {
			return err
		}
		if err := s.await(ctx, v, victim, false, unloadTimeout); err != nil {
			return err
		}
	}
	model := service.Engine.Model(c.model)
	if model == nil {
		return errors.Newf("model %s is no longer configured", c.model)
	}
	if err := s.order(ctx, v, Order{Action: Load, Model: c.model}, service.Engine); err != nil {
		return err
	}
	if err := s.await(ctx, v, c.model, true, loadTimeoutFactor*model.LoadTime); err != nil {
		return err
	}
	s.announce(c.engine, c.model, "", true)
	return nil
}

func (s *Service) setBusy(v *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.busy = true
}

// await polls the engine's reports until they show the model as held, or as not
// held. It returns an error after the time limit, which says nothing of the order, and
// if a load is lost since the engine started again.
func (s *Service) await(ctx context.Context, v *view, model string, held bool, limit time.Duration) error {
	starts := 0
	s.underLock(func() bool { starts = v.starts; return true })
	for end := clock.Boot().Add(limit); clock.Boot().Before(end); {
		if !retry.Sleep(ctx, reportPollInterval) {
			return ctx.Err()
		}
		if !held { // repeated, so that hosts send no requests before the engine's entry omits the model
			s.announce(v.id, model, "", false)
		}
		if err := s.readReport(ctx, v); errors.Is(err, errEvacuated) {
			return err
		} else if err != nil {
			logrus.WithError(err).WithField("endpoint", v.id).Info("engine report not received")
			continue
		}
		s.mu.Lock()
		_, present := v.models[model]
		restarted := v.starts != starts
		s.mu.Unlock()
		switch {
		case restarted && held:
			return errRestarted
		case present == held:
			return nil
		}
	}
	return errors.Newf("engine %s did not report the change of model %s in time", v.id, model)
}

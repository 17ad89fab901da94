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
	// reportPause is the time between two reports while an order is awaited.
	reportPause = 200 * time.Millisecond
	// unloadWait bounds the wait for the runs of a model that is unloaded.
	unloadWait = 10 * time.Second
	// loadWait is how many times a load's usual duration is waited for.
	loadWait = 4
)

// plan starts the changes that are worth their loads.
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
		for {
			in := s.planInput(service)
			if s.underWay() >= max(leastUnderWay, len(in.engines)/enginesPerChange) {
				break
			}
			c, ok := nextChange(in)
			if !ok || !s.start(ctx, service, c) {
				break
			}
		}
	}
}

// bring makes a model reachable that no engine holds, as far as its load may
// begin now.
func (s *Service) bring(of subject) {
	config := s.config.Source.Current()
	if config == nil {
		return
	}
	service := config.Service(of.service)
	if service == nil || service.Engine == nil {
		return
	}
	if c, ok := bring(s.planInput(service), of.model); ok {
		s.start(context.Background(), service, c)
	}
}

func (s *Service) underWay() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.moving)
}

// mayLoadCold reports whether the weight store's ceiling allows another load
// now. It must be called with the mutex held.
func (s *Service) mayLoadCold(engine *traffic.Engine) bool {
	now := clock.Boot()
	s.loads = slices.DeleteFunc(s.loads, func(at time.Time) bool { return now.Sub(at) > s.config.LoadWindow })
	allowed := ceilingShare * engine.LoadsPerSecond * s.config.LoadWindow.Seconds() * s.config.LoadOverage
	return float64(len(s.loads)+1) <= allowed
}

func (s *Service) planInput(service *traffic.Service) planInput {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var in planInput
	for _, m := range service.Engine.Models {
		in.models = append(in.models, planModel{
			name: m.Name, mb: m.MemoryMB, demand: s.demand.of(now, subject{service: service.Name, model: m.Name}),
		})
	}
	for _, v := range s.refresh(service.Name) {
		coming, moving := s.moving[v.endpoint.ID]
		e := planEngine{id: v.endpoint.ID, freeMB: v.freeMB(service.Engine), copies: v.endpoint.Copies, closed: moving}
		if v.endpoint.Leaving {
			continue
		}
		for name := range v.models {
			e.models = append(e.models, name)
		}
		if moving && !slices.Contains(e.models, coming) {
			e.models = append(e.models, coming)
		}
		slices.Sort(e.models)
		in.engines = append(in.engines, e)
	}
	return in
}

// start begins a change beside the plan, or reports that it may not begin now.
func (s *Service) start(ctx context.Context, service *traffic.Service, c change) bool {
	s.mu.Lock()
	if _, busy := s.moving[c.engine]; busy || c.cold && !s.mayLoadCold(service.Engine) {
		s.mu.Unlock()
		return false
	}
	s.moving[c.engine] = c.model
	if c.cold {
		s.loads = append(s.loads, clock.Boot())
	}
	v := s.views[c.engine]
	s.mu.Unlock()
	logrus.WithFields(logrus.Fields{
		"endpoint": c.engine, "model": c.model, "victims": c.victims, "cold": c.cold, "unreachable": c.unreachable,
	}).Info("model placed")
	go func() {
		if err := s.carryOut(ctx, service, v, c); err != nil {
			logrus.WithError(err).WithFields(logrus.Fields{"endpoint": c.engine, "model": c.model}).Warn("placement not carried out; the next plan decides anew")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.moving, c.engine)
		v.busy = false
	}()
	return true
}

// carryOut unloads the victims and loads the model.
func (s *Service) carryOut(ctx context.Context, service *traffic.Service, v *view, c change) error {
	l := s.lock(c.engine)
	l.Lock()
	defer l.Unlock()
	if err := s.makeSure(ctx, v); err != nil {
		return err
	}
	s.setBusy(v)
	for _, victim := range c.victims {
		s.announce(c.engine, victim, "", false)
		if err := s.order(ctx, v, Order{Action: Unload, Model: victim}, nil); err != nil {
			return err
		}
		if err := s.await(ctx, v, victim, false, unloadWait); err != nil {
			return err
		}
	}
	model := service.Engine.Model(c.model)
	if model == nil {
		return errors.Newf("model %s is not configured any more", c.model)
	}
	fits := func() bool { return v.freeMB(service.Engine) >= model.MemoryMB }
	if err := s.order(ctx, v, Order{Action: Load, Model: c.model}, fits); err != nil {
		return err
	}
	if err := s.await(ctx, v, c.model, true, loadWait*model.LoadTime); err != nil {
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

// await polls the engine until it holds a model, or no longer does.
func (s *Service) await(ctx context.Context, v *view, model string, held bool, limit time.Duration) error {
	for end := clock.Boot().Add(limit); clock.Boot().Before(end); {
		if !retry.Sleep(ctx, reportPause) {
			return ctx.Err()
		}
		if !held { // hosts keep away until the engine's own description says so
			s.announce(v.endpoint.ID, model, "", false)
		}
		if _, err := s.readReport(ctx, v); err != nil {
			logrus.WithError(err).WithField("endpoint", v.endpoint.ID).Info("no report")
			continue
		}
		s.mu.Lock()
		_, present := v.models[model]
		s.mu.Unlock()
		if present == held {
			return nil
		}
	}
	return errors.Newf("engine %s still differs in model %s", v.endpoint.ID, model)
}

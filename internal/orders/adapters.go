package orders

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

const (
	// adapterTime is how long an adapter takes to an engine after the order;
	// requests sent earlier are refused.
	adapterTime = 25 * time.Millisecond
	// adapterWait bounds the wait for an adapter; later the caller is better
	// served by coming back.
	adapterWait = 400 * time.Millisecond
	// modelWait bounds the wait for a model: engines that keep a copy load it
	// within a second, and callers of streams leave after two.
	modelWait = 1600 * time.Millisecond
	// modelPoll is the time between two looks for a model.
	modelPoll = 40 * time.Millisecond
	// adapterRest is how long an adapter stays after its last request before
	// another may take its place.
	adapterRest = 1500 * time.Millisecond
)

// WaitHeld implements forward.Placer. Requests for the same model or adapter
// wait for one order.
func (s *Service) WaitHeld(ctx context.Context, service, model, adapter string) bool {
	of := subject{service, model, adapter}
	ctx, cancel := context.WithTimeout(ctx, of.wait())
	defer cancel()
	s.mu.Lock()
	done, running := s.waiting[of]
	if !running {
		done = make(chan struct{})
		s.waiting[of] = done
		go s.fetch(of, done)
	}
	s.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// wait bounds the wait for a model or adapter.
func (of subject) wait() time.Duration {
	if of.adapter == "" {
		return modelWait
	}
	return adapterWait
}

// fetch brings a model or adapter to an engine and tells those that wait.
func (s *Service) fetch(of subject, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), of.wait())
	defer cancel()
	request := &fleetv1.PlaceRequest{Service: of.service, Model: of.model, Adapter: of.adapter}
	var answer *fleetv1.PlaceResponse
	var err error
	if s.mayOrder() {
		answer = s.Place(ctx, request)
	} else {
		answer, err = s.config.Peers.AskLeader(ctx, request)
	}
	switch {
	case err != nil:
		logrus.WithError(err).WithFields(logrus.Fields{"model": of.model, "adapter": of.adapter}).Info("model or adapter not had")
	case answer.GetEndpoint() != "":
		retry.Sleep(ctx, time.Duration(answer.GetReadyMillis())*time.Millisecond)
		s.config.Registry.Learn(answer.GetEndpoint(), of.model, of.adapter, true)
	case of.adapter == "":
		s.awaitModel(ctx, of)
	}
	s.mu.Lock()
	delete(s.waiting, of)
	s.mu.Unlock()
	close(done)
}

// awaitModel waits until an engine is known to hold a model.
func (s *Service) awaitModel(ctx context.Context, of subject) {
	for !s.config.Registry.Held(of.service, of.model) && retry.Sleep(ctx, modelPoll) {
	}
}

// Place answers other hosts that ask the holder of the lease for a model or an
// adapter. The answer names no endpoint where none can take it now, and for
// models, whose loads take longer than a call.
func (s *Service) Place(ctx context.Context, request *fleetv1.PlaceRequest) *fleetv1.PlaceResponse {
	of := subject{request.GetService(), request.GetModel(), request.GetAdapter()}
	engine := s.engineOf(of.service)
	if engine == nil || engine.Model(of.model) == nil || !s.mayOrder() {
		return &fleetv1.PlaceResponse{}
	}
	if of.adapter == "" {
		s.bring(of)
		return &fleetv1.PlaceResponse{}
	}
	return s.placeAdapter(ctx, of, engine)
}

// placeAdapter brings an adapter to an engine that holds its model.
func (s *Service) placeAdapter(ctx context.Context, of subject, engine *traffic.Engine) *fleetv1.PlaceResponse {
	v, held := s.engineFor(of, engine)
	if v == nil {
		logrus.WithFields(logrus.Fields{"model": of.model, "adapter": of.adapter}).Info("no engine takes the adapter now")
		return &fleetv1.PlaceResponse{}
	}
	id := v.endpoint.ID
	if held {
		return &fleetv1.PlaceResponse{Endpoint: id, ReadyMillis: adapterTime.Milliseconds()}
	}
	l := s.lock(id)
	l.Lock()
	defer l.Unlock()
	if !s.makeRoom(ctx, v, of, engine) {
		return &fleetv1.PlaceResponse{}
	}
	fits := func() bool { return v.roomFor(of, engine) }
	if err := s.order(ctx, v, Order{Action: Load, Model: of.model, Adapter: of.adapter}, fits); err != nil {
		logrus.WithError(err).WithField("endpoint", id).Info("adapter not loaded")
		return &fleetv1.PlaceResponse{}
	}
	time.AfterFunc(adapterTime, func() { s.announce(id, of.model, of.adapter, true) })
	return &fleetv1.PlaceResponse{Endpoint: id, ReadyMillis: adapterTime.Milliseconds()}
}

// engineFor returns the engine that holds the adapter, or else the one with
// most room for it.
func (s *Service) engineFor(of subject, engine *traffic.Engine) (best *view, held bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 0
	for _, v := range s.refresh(of.service) {
		adapters, ok := v.models[of.model]
		if !ok || v.endpoint.Leaving || v.busy {
			continue
		}
		if adapters[of.adapter] && !v.unsure {
			v.used[adapterKey{of.model, of.adapter}] = now
			return v, true
		}
		count := v.adapters()
		if count >= engine.AdapterSlots {
			if _, ok := v.idlest(now); !ok {
				continue
			}
		}
		if best == nil || count < least {
			best, least = v, count
		}
	}
	return best, false
}

// idlest returns the adapter that was asked for longest ago, if any rests.
func (v *view) idlest(now time.Time) (adapterKey, bool) {
	var idlest adapterKey
	oldest := now.Add(-adapterRest)
	found := false
	for model, adapters := range v.models {
		for name := range adapters {
			key := adapterKey{model, name}
			if used := v.used[key]; used.Before(oldest) {
				idlest, oldest, found = key, used, true
			}
		}
	}
	return idlest, found
}

// makeRoom unloads adapters until the engine has a slot and memory for one
// more. The caller holds the engine's lock.
func (s *Service) makeRoom(ctx context.Context, v *view, of subject, engine *traffic.Engine) bool {
	for {
		if err := s.makeSure(ctx, v); err != nil {
			logrus.WithError(err).WithField("endpoint", v.endpoint.ID).Info("adapter not loaded")
			return false
		}
		s.mu.Lock()
		_, present := v.models[of.model]
		room := v.roomFor(of, engine)
		key, found := v.idlest(time.Now())
		if room {
			v.used[adapterKey{of.model, of.adapter}] = time.Now()
		}
		s.mu.Unlock()
		if !present || room {
			return present
		}
		if !found {
			return false
		}
		s.announce(v.endpoint.ID, key.model, key.adapter, false)
		if err := s.order(ctx, v, Order{Action: Unload, Model: key.model, Adapter: key.adapter}, nil); err != nil {
			return false
		}
	}
}

// roomFor reports whether the engine holds the adapter's model and has a slot
// and memory for it.
func (v *view) roomFor(of subject, engine *traffic.Engine) bool {
	model := engine.Model(of.model)
	_, present := v.models[of.model]
	return model != nil && present && !v.busy && v.adapters() < engine.AdapterSlots && v.freeMB(engine) >= model.AdapterMB
}

// freeMB returns the memory that is left on an engine. What is not
// configured any more counts as everything.
func (v *view) freeMB(engine *traffic.Engine) float64 {
	free := engine.MemoryMB
	for name, adapters := range v.models {
		m := engine.Model(name)
		if m == nil {
			return 0
		}
		free -= m.MemoryMB + float64(len(adapters))*m.AdapterMB
	}
	return free
}

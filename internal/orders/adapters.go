package orders

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

const (
	// adapterLoadTime is how long an engine takes to load an adapter after it
	// accepted the order. It refuses requests for the adapter that arrive earlier.
	adapterLoadTime = 25 * time.Millisecond
	// adapterTimeout bounds the wait for an adapter. Beyond it, a retry by the
	// caller serves it better than a longer wait.
	adapterTimeout = 400 * time.Millisecond
	// modelTimeout bounds the wait for a model: engines that keep a copy of the
	// weights load it within a second, and callers of streams disconnect after two.
	modelTimeout = 1600 * time.Millisecond
	// modelPollInterval is the time between two checks whether an engine holds
	// the model.
	modelPollInterval = 40 * time.Millisecond
	// adapterMinIdle is how long an adapter must not have been requested before
	// it may be evicted for another.
	adapterMinIdle = 1500 * time.Millisecond
	// reportRetryInterval is the time between two reads of a report that has to show the
	// end of an eviction; maxEvictionSteps bounds the reads and evictions for one adapter.
	reportRetryInterval = 80 * time.Millisecond
	maxEvictionSteps    = 20
)

// AwaitHeld implements forward.Placer. Concurrent requests for the same model
// or adapter share one placement request.
func (s *Service) AwaitHeld(ctx context.Context, work fleet.Work) bool {
	item := placement{itemKey{work.Service, work.Model, work.Adapter}, work.Software}
	ctx, cancel := context.WithTimeout(ctx, item.timeout())
	defer cancel()
	s.mu.Lock()
	done, running := s.placing[item]
	if !running {
		done = make(chan struct{})
		s.placing[item] = done
		go s.requestPlacement(item, done)
	}
	s.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// timeout bounds the wait for a model or adapter to be loaded.
func (k itemKey) timeout() time.Duration {
	if k.adapter == "" {
		return modelTimeout
	}
	return adapterTimeout
}

// requestPlacement has a model or adapter loaded on an engine, by this host if
// it holds the placement lease and else by the lease holder. It closes done
// when the item is loaded or the attempt has ended without that.
func (s *Service) requestPlacement(item placement, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), item.timeout())
	defer cancel()
	request := &fleetv1.PlaceRequest{Service: item.service, Model: item.model, Adapter: item.adapter, Software: item.software}
	var response *fleetv1.PlaceResponse
	var err error
	if s.mayOrder() {
		response = s.Place(ctx, request)
	} else {
		response, err = s.config.Peers.RequestPlacement(ctx, request)
	}
	switch {
	case err != nil:
		logrus.WithError(err).WithFields(logrus.Fields{"model": item.model, "adapter": item.adapter}).Info("placement request to the lease holder failed")
	case response.GetEndpoint() != "":
		retry.Sleep(ctx, time.Duration(response.GetReadyMillis())*time.Millisecond)
		s.config.Registry.RecordHeld(response.GetEndpoint(), item.model, item.adapter, true)
	case item.adapter == "":
		s.awaitModel(ctx, item.itemKey)
	}
	s.mu.Lock()
	delete(s.placing, item)
	s.mu.Unlock()
	close(done)
}

// awaitModel polls the registry until an engine holds the model or ctx is done.
func (s *Service) awaitModel(ctx context.Context, item itemKey) {
	for !s.config.Registry.HoldsModel(item.service, item.model) && retry.Sleep(ctx, modelPollInterval) {
	}
}

// Place serves placement requests of this host and its peers while this host
// holds the placement lease. The response names no endpoint if no engine can
// load the adapter now, nor for models, whose loads outlast the call.
func (s *Service) Place(ctx context.Context, request *fleetv1.PlaceRequest) *fleetv1.PlaceResponse {
	item := placement{itemKey{request.GetService(), request.GetModel(), request.GetAdapter()}, request.GetSoftware()}
	engine := s.engineConfig(item.service)
	if engine == nil || engine.Model(item.model) == nil || !s.mayOrder() {
		return &fleetv1.PlaceResponse{}
	}
	if item.adapter == "" {
		s.placeModel(item.itemKey)
		return &fleetv1.PlaceResponse{}
	}
	return s.placeAdapter(ctx, item, engine)
}

// placeAdapter loads an adapter on an engine that holds its model, unless one
// has it already.
func (s *Service) placeAdapter(ctx context.Context, item placement, engine *traffic.Engine) *fleetv1.PlaceResponse {
	v, held := s.engineFor(item, engine)
	if v == nil {
		logrus.WithFields(logrus.Fields{"model": item.model, "adapter": item.adapter, "software": item.software}).Info("no engine can load the adapter now")
		return &fleetv1.PlaceResponse{}
	}
	id := v.id
	if held {
		return &fleetv1.PlaceResponse{Endpoint: id, ReadyMillis: adapterLoadTime.Milliseconds()}
	}
	release, ok := s.lockEngine(ctx, id)
	if !ok {
		return &fleetv1.PlaceResponse{}
	}
	defer release()
	if !s.makeRoom(ctx, v, item.itemKey, engine) {
		return &fleetv1.PlaceResponse{}
	}
	if err := s.order(ctx, v, Order{Action: Load, Model: item.model, Adapter: item.adapter}, engine); err != nil {
		logrus.WithError(err).WithField("endpoint", id).Info("adapter not loaded")
		return &fleetv1.PlaceResponse{}
	}
	time.AfterFunc(adapterLoadTime, func() { s.announce(id, item.model, item.adapter, true) })
	return &fleetv1.PlaceResponse{Endpoint: id, ReadyMillis: adapterLoadTime.Milliseconds()}
}

// engineFor returns the engine that holds the adapter, or else the one with the
// fewest adapters that can load it, of the required software; nil if there is none.
func (s *Service) engineFor(item placement, engine *traffic.Engine) (best *view, held bool) {
	now, boot := time.Now(), clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 0
	for _, v := range s.currentViews(item.service) {
		if item.software != "" && v.endpoint.Software != item.software {
			continue
		}
		adapters, ok := v.models[item.model]
		if !ok || v.endpoint.Leaving || v.busy || v.reportedBusy || s.config.Registry.InBackoff(v.id) {
			continue
		}
		_, changing := s.changing[v.id]
		if adapters[item.adapter] && !v.stale {
			v.lastUsed[adapterKey{item.model, item.adapter}] = now
			return v, true
		}
		if changing || s.unusable(boot, v) || v.sent.exclude(item.model, item.adapter, engine) {
			continue
		}
		count := v.possible().adapters()
		if count >= engine.AdapterSlots {
			if _, ok := v.leastRecentlyUsed(now); !ok {
				continue
			}
		}
		if boot.Before(v.avoidUntil) {
			count += engine.AdapterSlots // only if there is no other
		}
		if best == nil || count < least {
			best, least = v, count
		}
	}
	return best, false
}

// leastRecentlyUsed returns the adapter with the oldest last request, or false
// if all were requested within adapterMinIdle.
func (v *view) leastRecentlyUsed(now time.Time) (adapterKey, bool) {
	var lru adapterKey
	oldest := now.Add(-adapterMinIdle)
	found := false
	for model, adapters := range v.models {
		for name := range adapters {
			key := adapterKey{model, name}
			if used := v.lastUsed[key]; used.Before(oldest) {
				lru, oldest, found = key, used, true
			}
		}
	}
	return lru, found
}

// makeRoom evicts idle adapters until the engine has a slot and memory for one
// more. It returns false if the engine no longer holds the model or no adapter
// may be evicted. An adapter takes its slot until a report no longer lists it. The
// caller holds the engine's lock.
func (s *Service) makeRoom(ctx context.Context, v *view, item itemKey, engine *traffic.Engine) bool {
	evicted := make(map[adapterKey]bool)
	for range maxEvictionSteps {
		if err := s.refreshIfStale(ctx, v); err != nil {
			logrus.WithError(err).WithField("endpoint", v.id).Info("adapter not loaded")
			return false
		}
		s.mu.Lock()
		stale := v.stale
		_, present := v.models[item.model]
		room := !v.busy && v.hasRoomFor(clock.Boot(), item.model, item.adapter, engine)
		key, found := v.leastRecentlyUsed(time.Now())
		if room && !stale {
			v.lastUsed[adapterKey{item.model, item.adapter}] = time.Now()
		}
		excluded := v.sent.exclude(item.model, item.adapter, engine)
		s.mu.Unlock()
		switch {
		case stale:
			if !retry.Sleep(ctx, reportRetryInterval) {
				return false
			}
			continue
		case !present || room:
			return present
		case !found || excluded:
			return false
		case evicted[key]:
			s.setStale(v)
			if !retry.Sleep(ctx, reportRetryInterval) {
				return false
			}
			continue
		}
		evicted[key] = true
		s.announce(v.id, key.model, key.adapter, false)
		if err := s.order(ctx, v, Order{Action: Unload, Model: key.model, Adapter: key.adapter}, nil); err != nil {
			return false
		}
	}
	return false
}

// setStale makes the engine's report be read before the next order.
func (s *Service) setStale(v *view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.stale = true
}

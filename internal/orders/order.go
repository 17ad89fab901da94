package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// orderTimeout bounds an order's answer, which comes in milliseconds.
	orderTimeout = 500 * time.Millisecond
	// reportLag is how old an engine's report may be.
	reportLag = 300 * time.Millisecond
	// maxTries bounds the sends of one order.
	maxTries = 3
)

// errNotHolder reports that this host may give no order at the moment.
var errNotHolder = errors.New("this host doesn't hold the placement lease; the holder gives the order")

// errNotDone reports an order that the engine did not take.
var errNotDone = errors.New("the engine did not take the order; the next plan decides anew")

// errNoRoom reports that the engine has no memory or slot for a load.
var errNoRoom = errors.New("the engine has no room after all; the next plan decides anew")

// order gives one order under the engine's lock, which the caller holds, and
// keeps the view up to date. Fits, for loads, is asked whenever the view has
// changed. An order without answer is given again under the condition that
// no other was accepted meanwhile, so that it takes effect once at most.
func (s *Service) order(ctx context.Context, v *view, o Order, fits func() bool) error {
	o.Holder = s.config.Host
	for range maxTries {
		if err := s.makeSure(ctx, v); err != nil {
			return err
		}
		if s.done(v, o) {
			return nil
		}
		if fits != nil && !s.locked(fits) {
			return errNoRoom
		}
		if !s.mayOrder() {
			return errNotHolder
		}
		o.After, o.Token = v.orders, int64(s.config.Lease.Status().Version)
		sendCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		result, err := s.config.Engines.Order(sendCtx, v.endpoint, o)
		cancel()
		s.logOrder(v, o, result, err)
		switch {
		case err != nil:
			v.unsure = true
		case result == Accepted:
			v.orders++
			s.apply(v, o)
			return nil
		case result == Holds:
			s.apply(v, o)
			v.unsure = true // whether it was counted is read before the next one
			return nil
		case result == Conflict:
			v.unsure = true
			if !retry.Sleep(ctx, reportLag) {
				return ctx.Err()
			}
		default:
			v.unsure = true
			return errNotDone
		}
	}
	return errNotDone
}

func (s *Service) logOrder(v *view, o Order, result Result, err error) {
	answer := map[Result]string{Accepted: "accepted", Holds: "holds", Conflict: "conflict", Refused: "refused"}[result]
	if err != nil {
		answer = "unknown"
	}
	s.metrics.WithLabelValues(o.Action.String(), answer).Inc()
	entry := logrus.WithFields(logrus.Fields{
		"endpoint": v.endpoint.ID, "action": o.Action, "model": o.Model, "adapter": o.Adapter, "after": o.After, "token": o.Token, "answer": answer,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order given")
}

// locked asks a question about views under the mutex.
func (s *Service) locked(question func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return question()
}

// makeSure reads the engine's report where the view is not certain. While an
// order of another holder is under way there, its end can't be told.
func (s *Service) makeSure(ctx context.Context, v *view) error {
	if !s.locked(func() bool { return v.unsure }) {
		return nil
	}
	busy, err := s.readReport(ctx, v)
	if err != nil {
		return err
	}
	if busy && !s.locked(func() bool { return v.busy }) {
		return errors.Newf("engine %s carries out another order; the next plan decides anew", v.endpoint.ID)
	}
	return nil
}

// readReport asks the engine what it holds, and whether an order for a model
// is under way.
func (s *Service) readReport(ctx context.Context, v *view) (busy bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := s.config.Engines.Report(ctx, v.endpoint)
	if err != nil {
		return false, errors.Wrapf(err, "report of %s", v.endpoint.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Orders >= v.orders {
		v.report(state)
		v.unsure = state.Busy && !v.busy
	}
	return state.Busy, nil
}

// done reports whether the view shows what an order asks for.
func (s *Service) done(v *view, o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	adapters, held := v.models[o.Model]
	if o.Adapter != "" {
		held = held && adapters[o.Adapter]
	}
	return held == (o.Action == Load)
}

// apply enters an accepted order into the view.
func (s *Service) apply(v *view, o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Adapter != "" && o.Action == Load:
		v.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		delete(v.models[o.Model], o.Adapter)
	}
}

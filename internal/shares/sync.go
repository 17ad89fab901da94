package shares

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

const (
	ledgerName    = "ledger"
	ledgerTimeout = 3 * time.Second
	// maxConflicts is how often one look at the ledger tries again at once.
	maxConflicts = 3
)

// Serve keeps policies and ledger current until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { s.settleLoop(ctx) })
	loops.Go(func() { s.pullLoop(ctx) })
	for {
		changed := s.config.Source.Changed()
		s.ApplyPolicies()
		if err := s.Sync(ctx); err != nil {
			logrus.WithError(err).Debug("share ledger not synchronised")
		}
		interval := s.config.SyncInterval
		timer := time.NewTimer(interval*3/4 + rand.N(interval/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ApplyPolicies takes the rate policies of the configuration in force.
func (s *Service) ApplyPolicies() {
	snapshot := s.config.Source.Current()
	policies := make(map[string]ratelimit.Policy)
	for _, organisation := range snapshot.Organisations() {
		if p := snapshot.RatePolicy(organisation.GetName()); p != nil {
			policies[organisation.GetName()] = ratelimit.Policy{Rate: p.GetTokensPerSecond(), Burst: p.GetBurstTokens()}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.SetPolicies(s.config.Now(), policies)
}

// Sync reads the ledger where needed and writes what this host has to change.
func (s *Service) Sync(ctx context.Context) error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	if s.needsRead() {
		if err := s.read(ctx); err != nil {
			return err
		}
	}
	for range maxConflicts {
		edit := s.plan()
		if edit == nil {
			return nil
		}
		if err := s.write(ctx, edit); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) needsRead() (needed bool) {
	s.tenure(func(t *ratelimit.ShareLease) { needed = t.NeedsRead(s.config.Now()) })
	return needed
}

func (s *Service) tenure(do func(*ratelimit.ShareLease)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.WithShareLease(s.config.Now(), do)
}

func (s *Service) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	sentAt := s.config.Now()
	object, err := s.config.Store.Get(ctx, objectstore.KindShareLedger, ledgerName)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		s.tenure(func(t *ratelimit.ShareLease) { s.learnMissing(t, sentAt) })
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the share ledger")
	}
	return s.learn(object, sentAt)
}

func (s *Service) learnMissing(t *ratelimit.ShareLease, sentAt time.Time) {
	if t.Version() > 0 {
		logrus.Error("share ledger is missing from the platform; all units are given up")
		t.Reset()
	}
	t.ObserveLedger(&ratelimit.Ledger{}, 0, sentAt, s.config.Now())
}

func (s *Service) learn(object objectstore.Object, sentAt time.Time) error {
	ledger := &ratelimit.Ledger{}
	if err := json.Unmarshal(object.Value, ledger); err != nil || !ledger.Valid() {
		return errors.Newf("share ledger at version %d is damaged; restore or delete the object: %v", object.Version, err)
	}
	s.tenure(func(t *ratelimit.ShareLease) { t.ObserveLedger(ledger, int64(object.Version), sentAt, s.config.Now()) })
	return nil
}

func (s *Service) plan() (edit *ratelimit.Edit) {
	hosts := s.config.Members.Hosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	keep := s.limiter.LentUnits(now)
	s.limiter.WithShareLease(now, func(t *ratelimit.ShareLease) {
		if edit = t.Plan(now, hosts, keep, newID()); edit != nil {
			t.Begin(edit)
		}
	})
	return edit
}

// write carries out an edit. It returns an error unless the next look at the
// ledger may follow at once.
func (s *Service) write(ctx context.Context, edit *ratelimit.Edit) error {
	value, err := json.Marshal(edit.Next)
	if err != nil {
		return errors.Wrap(err, "encode the share ledger")
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	sentAt := s.config.Now()
	var object objectstore.Object
	if edit.Base == 0 {
		object, err = s.config.Store.Create(ctx, objectstore.KindShareLedger, ledgerName, edit.ID, value)
	} else {
		object, err = s.config.Store.Update(ctx, objectstore.KindShareLedger, ledgerName, objectstore.Version(edit.Base), edit.ID, value)
	}
	s.metrics.ledgerWrites.Inc()
	return s.settle(edit, object, sentAt, err)
}

func (s *Service) settle(edit *ratelimit.Edit, object objectstore.Object, sentAt time.Time, err error) error {
	var conflict *objectstore.ConflictError
	var unavailable *objectstore.UnavailableError
	switch {
	case err == nil:
		s.written(edit, object, sentAt)
		return nil
	case errors.As(err, &conflict):
		if conflict.Current.WriteID == edit.ID {
			s.written(edit, conflict.Current, sentAt)
			return nil
		}
		return s.learn(conflict.Current, sentAt)
	case errors.As(err, &unavailable) && unavailable.Outcome == objectstore.OutcomeNotSent && !edit.OutcomeUnknown:
		s.tenure(func(t *ratelimit.ShareLease) { t.RecordNotWritten() })
	default:
		edit.OutcomeUnknown = true
	}
	return errors.Wrap(err, "write the share ledger")
}

func (s *Service) written(edit *ratelimit.Edit, object objectstore.Object, sentAt time.Time) {
	s.tenure(func(t *ratelimit.ShareLease) {
		t.RecordWritten(edit, int64(object.Version), sentAt, s.config.Now())
		logrus.WithFields(logrus.Fields{"version": object.Version, "units": t.HeldUnits()}).Info("share ledger written")
	})
}

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
	// maxEdits bounds the edits that one Sync attempts to write, one after the
	// other.
	maxEdits = 3
)

// Serve keeps the policies and this host's entry in the ledger up to date,
// sends settlements and pulls tokens, until ctx ends.
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

// ApplyPolicies applies the rate policies of the current configuration.
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

// Sync reads the ledger if necessary and writes the changes that this host has
// to make to it.
func (s *Service) Sync(ctx context.Context) error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	if s.needsRead() {
		if err := s.read(ctx); err != nil {
			return err
		}
	}
	for range maxEdits {
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
	s.withShareLease(func(lease *ratelimit.ShareLease) { needed = lease.NeedsRead(s.config.Now()) })
	return needed
}

// withShareLease calls do with this host's share lease as of now. It holds the
// mutex during the call.
func (s *Service) withShareLease(do func(*ratelimit.ShareLease)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.WithShareLease(s.config.Now(), do)
}

func (s *Service) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	sentAt := s.config.Now()
	object, err := s.config.Store.Get(ctx, objectstore.KindShareLedger, ledgerName)
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		s.withShareLease(func(lease *ratelimit.ShareLease) { s.recordMissingLedger(lease, sentAt) })
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the share ledger")
	}
	return s.recordLedger(object, sentAt)
}

// recordMissingLedger records that the platform has no ledger. If there was
// one before, this host gives up its units.
func (s *Service) recordMissingLedger(lease *ratelimit.ShareLease, sentAt time.Time) {
	if lease.Version() > 0 {
		logrus.Error("share ledger is missing from the platform; this host gives up all its units")
		lease.Reset()
	}
	lease.ObserveLedger(&ratelimit.Ledger{}, 0, sentAt, s.config.Now())
}

// recordLedger decodes the ledger that was read, or returned by a conflict,
// and records its version.
func (s *Service) recordLedger(object objectstore.Object, sentAt time.Time) error {
	ledger := &ratelimit.Ledger{}
	if err := json.Unmarshal(object.Value, ledger); err != nil || !ledger.Valid() {
		return errors.Newf("share ledger at version %d is damaged; restore or delete the object: %v", object.Version, err)
	}
	s.withShareLease(func(lease *ratelimit.ShareLease) {
		lease.ObserveLedger(ledger, int64(object.Version), sentAt, s.config.Now())
	})
	return nil
}

// plan returns the next edit of the ledger, or nil if nothing has to be
// changed.
func (s *Service) plan() (edit *ratelimit.Edit) {
	hosts := s.config.Members.Hosts()
	listed, listedAt := s.config.Members.ListedHosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	minUnits := s.limiter.LentUnits(now)
	s.limiter.WithShareLease(now, func(lease *ratelimit.ShareLease) {
		lease.ObserveHostList(listed, listedAt)
		if edit = lease.Plan(now, hosts, minUnits, newID()); edit != nil {
			lease.Begin(edit)
		}
	})
	return edit
}

// write writes an edit to the platform. It returns nil if the next edit may
// follow at once, which is the case after a success or a conflict.
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
	return s.handleWriteResult(edit, object, sentAt, err)
}

// handleWriteResult records the outcome of a write. A write with unknown
// outcome stays pending, and Sync repeats it.
func (s *Service) handleWriteResult(edit *ratelimit.Edit, object objectstore.Object, sentAt time.Time, err error) error {
	var conflict *objectstore.ConflictError
	var unavailable *objectstore.UnavailableError
	switch {
	case err == nil:
		s.recordWritten(edit, object, sentAt)
		return nil
	case errors.As(err, &conflict):
		if conflict.Current.WriteID == edit.ID {
			s.recordWritten(edit, conflict.Current, sentAt)
			return nil
		}
		return s.recordLedger(conflict.Current, sentAt)
	case errors.As(err, &unavailable) && unavailable.Outcome == objectstore.OutcomeNotSent && !edit.OutcomeUnknown:
		s.withShareLease(func(lease *ratelimit.ShareLease) { lease.RecordNotWritten() })
	default:
		edit.OutcomeUnknown = true
	}
	return errors.Wrap(err, "write the share ledger")
}

func (s *Service) recordWritten(edit *ratelimit.Edit, object objectstore.Object, sentAt time.Time) {
	s.withShareLease(func(lease *ratelimit.ShareLease) {
		lease.RecordWritten(edit, int64(object.Version), sentAt, s.config.Now())
		logrus.WithFields(logrus.Fields{"version": object.Version, "units": lease.HeldUnits()}).Info("share ledger written")
	})
}

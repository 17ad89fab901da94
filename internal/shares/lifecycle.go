package shares

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// leaveInterval is the time between attempts to return the units.
const leaveInterval = 200 * time.Millisecond

// HostAliveError reports an attempt to forget a host that is alive.
type HostAliveError struct{ Host string }

// Error implements error.
func (e *HostAliveError) Error() string {
	return fmt.Sprintf("host %q is alive; drain it instead, or stop its process first", e.Host)
}

// Leave stops lending and returns the host's units to the ledger. It waits for
// loans to end, and returns once the units are back or the context ends; until
// then requests are still granted from what is left.
func (s *Service) Leave(ctx context.Context) error {
	s.tenure(func(t *ratelimit.ShareLease) { t.Drain() })
	for {
		err := s.Sync(ctx)
		var left bool
		s.tenure(func(t *ratelimit.ShareLease) { left = t.Drained() })
		if left {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(errors.Wrap(ctx.Err(), "units not returned; other hosts reclaim them after the lease"), err)
		case <-time.After(leaveInterval):
		}
	}
}

// ForgetHost frees the units of a dead host at once. The operator vouches that
// no process of the host still serves: one that does would exceed the rates.
func (s *Service) ForgetHost(ctx context.Context, name string) error {
	for _, host := range s.config.Members.Hosts() {
		if host.Name == name && host.Alive {
			return &HostAliveError{Host: name}
		}
	}
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	object, err := s.config.Store.Get(ctx, objectstore.KindShareLedger, ledgerName)
	if err != nil {
		return errors.Wrap(err, "read the share ledger")
	}
	ledger := &ratelimit.Ledger{}
	if err := json.Unmarshal(object.Value, ledger); err != nil {
		return errors.Wrap(err, "decode the share ledger")
	}
	if !ledger.RemoveHost(name) {
		return &objectstore.NotFoundError{Kind: objectstore.KindShareLedger, Name: name}
	}
	value, err := json.Marshal(ledger)
	if err != nil {
		return errors.Wrap(err, "encode the share ledger")
	}
	_, err = s.config.Store.Update(ctx, objectstore.KindShareLedger, ledgerName, object.Version, uuid.NewString(), value)
	return errors.Wrap(err, "write the share ledger")
}

// State is a dump of the service's state.
type State struct {
	Version           int64                   `json:"version"`
	VersionAgeSeconds float64                 `json:"versionAgeSeconds"`
	TotalUnits        int64                   `json:"totalUnits"`
	Units             int64                   `json:"units"`
	UsableUnits       int64                   `json:"usableUnits"`
	Ledger            *ratelimit.Ledger       `json:"ledger"`
	Organisations     []ratelimit.AccountDump `json:"organisations"`
}

// DumpState returns the service's state with ages.
func (s *Service) DumpState() any {
	now := s.config.Now()
	state := State{TotalUnits: ratelimit.TotalUnits}
	s.tenure(func(t *ratelimit.ShareLease) {
		state.Version = t.Version()
		state.VersionAgeSeconds = now.Sub(t.AsOf()).Seconds()
		state.Units = t.HeldUnits()
		state.UsableUnits = t.UsableUnitsAt(now)
		state.Ledger = t.ObservedLedger().Clone()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Organisations = s.limiter.Dump(now)
	return state
}

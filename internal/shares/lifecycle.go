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

// leaveRetryInterval is the time between attempts to return the units.
const leaveRetryInterval = 200 * time.Millisecond

// HostAliveError is the error of ForgetHost for a host that is alive.
type HostAliveError struct{ Host string }

// Error implements error.
func (e *HostAliveError) Error() string {
	return fmt.Sprintf("host %q is alive; drain it instead, or stop its process first", e.Host)
}

// Leave stops lending and returns the host's units to the ledger, for a host
// that is shutting down. It waits for loans to end, and returns once the units
// are returned or ctx ends. Until then, requests are still granted from the
// units that are left.
func (s *Service) Leave(ctx context.Context) error {
	s.withShareLease(func(lease *ratelimit.ShareLease) { lease.Drain() })
	for {
		err := s.Sync(ctx)
		var drained bool
		s.withShareLease(func(lease *ratelimit.ShareLease) { drained = lease.Drained() })
		if drained {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(errors.Wrap(ctx.Err(), "units not returned to the share ledger; other hosts reclaim them after the lease expires"), err)
		case <-time.After(leaveRetryInterval):
		}
	}
}

// ForgetHost frees the units of a dead host without waiting for its leases to
// expire. The operator must make sure that no process of the host still serves:
// the tokens that it grants would exceed the rates.
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

// State is the service's entry in the state dump.
type State struct {
	Version           int64                   `json:"version"`
	VersionAgeSeconds float64                 `json:"versionAgeSeconds"`
	TotalUnits        int64                   `json:"totalUnits"`
	Units             int64                   `json:"units"`
	UsableUnits       int64                   `json:"usableUnits"`
	Ledger            *ratelimit.Ledger       `json:"ledger"`
	Organisations     []ratelimit.AccountDump `json:"organisations"`
}

// DumpState returns the service's State, for the state dump.
func (s *Service) DumpState() any {
	now := s.config.Now()
	state := State{TotalUnits: ratelimit.TotalUnits}
	s.withShareLease(func(lease *ratelimit.ShareLease) {
		state.Version = lease.Version()
		state.VersionAgeSeconds = now.Sub(lease.AsOf()).Seconds()
		state.Units = lease.HeldUnits()
		state.UsableUnits = lease.UsableUnitsAt(now)
		state.Ledger = lease.ObservedLedger().Clone()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Organisations = s.limiter.Dump(now)
	return state
}

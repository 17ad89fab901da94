package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Defaults of Config.
const (
	DefaultDuration        = 10 * time.Second
	DefaultRenewalInterval = 3 * time.Second
)

// releaseTimeout bounds the release at shutdown.
const releaseTimeout = 2 * time.Second

// Config configures a Lease.
type Config struct {
	Store objectstore.Store
	// Name is the name of the lease's object in Store.
	Name string
	// Host and Incarnation identify the candidate.
	Host        string
	Incarnation string
	// Duration is the time after which a lease expires without renewal. Zero
	// means DefaultDuration.
	Duration time.Duration
	// RenewalInterval is the time between two renewals or reads. Zero means
	// DefaultRenewal.
	RenewalInterval time.Duration
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// Era returns the store's era and whether it is known yet. Nil means that the
	// store has no eras.
	Era func() (era int64, known bool)
	// FirstStart reports that the whole system starts for the first time, so that
	// a missing lease was not lost in a restore of the store. This assumes that the
	// store is not restored before all hosts of that start have reached it.
	FirstStart bool
	// Eligible reports whether this candidate may hold the lease now. One that may no
	// longer releases it. Nil means always.
	Eligible func() bool
	// Yield returns how long this candidate lets others go first: it neither reads nor
	// acquires the lease for that time after its start, after the end of the lease that a
	// peer reported, and after its last attempt. A holder renews it regardless. Nil means
	// always zero.
	Yield func() time.Duration
	// AwaitPeers, if set, is called by Serve before the first attempt. It blocks until
	// Yield can tell how many candidates there are.
	AwaitPeers func(ctx context.Context)
}

// Status is the state of a lease as seen by a candidate.
type Status struct {
	// Held reports whether this candidate holds the lease and it has not
	// expired.
	Held bool
	// Term is the term of the stored lease; zero if none was read.
	Term int64
	// Holder is the host of the lease holder as last read.
	Holder string
	// Version is the version of the stored lease as last read. It increases
	// with each change of holder and each renewal, so it can serve as a
	// fencing token.
	Version objectstore.Version
	// Until is when the lease expires unless renewed; zero if not Held.
	Until time.Time
	// Incarnation identifies the lease holder's process as last read.
	Incarnation string
	// PreviousUntil is the time until which the previous holder may have acted
	// as the holder. It is zero if not Held, if no other holder preceded this
	// candidate, or if an earlier process of this candidate held a settled lease.
	PreviousUntil time.Time
}

// Lease is a candidate for a lease: it acquires the lease when it is free or
// expired, renews it, and releases it at shutdown. It is safe for concurrent
// use. The zero value is not usable; call New.
type Lease struct {
	cfg  Config
	self Value

	mu   sync.Mutex
	view view
	eras eraState
	// minTerm is the least term of the next write, as set by RaiseTerm.
	minTerm int64
	// changed is the channel that Changed returns.
	changed chan struct{}
	// previousUntil is the time until which the previous holder may have
	// acted. It is valid once previousKnown is set, by this process's first
	// attempt to write the lease.
	previousUntil time.Time
	previousKnown bool
	// peerReportedAt is when a peer last reported the lease at the view's
	// version or a later one.
	peerReportedAt time.Time
	// yieldingSince is the start of the time that Config.Yield bounds: the start, the last
	// attempt, the end of the lease that a peer reported, or ReadAgain.
	yieldingSince time.Time
}

// New returns a candidate. It competes for the lease while its Serve runs.
func New(cfg Config) *Lease {
	if cfg.Duration <= 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.RenewalInterval <= 0 {
		cfg.RenewalInterval = DefaultRenewalInterval
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Eligible == nil {
		cfg.Eligible = func() bool { return true }
	}
	if cfg.Yield == nil {
		cfg.Yield = func() time.Duration { return 0 }
	}
	return &Lease{
		cfg: cfg, yieldingSince: cfg.Now(),
		self:    Value{Holder: cfg.Host, Incarnation: cfg.Incarnation},
		changed: make(chan struct{}),
	}
}

// Status returns the current state without reading the store.
func (l *Lease) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterCurrentEra()
	status := Status{
		Held:    l.view.mayAct(l.self, l.cfg.Now(), l.cfg.Duration),
		Term:    l.view.value.Term,
		Holder:  l.view.value.Holder,
		Version: l.view.object.Version, Incarnation: l.view.value.Incarnation,
	}
	if status.Held {
		status.Until = l.view.validFrom.Add(l.cfg.Duration)
		status.PreviousUntil = l.previousUntil
	}
	return status
}

// RaiseTerm makes the candidate's next write of the lease use at least the
// given term. Holders call it when their guarded objects were written under a
// higher term than the lease has, for example after the lease was deleted.
func (l *Lease) RaiseTerm(term int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minTerm = max(l.minTerm, term)
}

// Changed returns a channel that is closed at the next change of the holder.
// It may also be closed without one, when a peer reports a later version.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Serve implements suture.Service. It releases the lease when ctx ends.
func (l *Lease) Serve(ctx context.Context) error {
	if l.cfg.AwaitPeers != nil {
		l.cfg.AwaitPeers(ctx)
	}
	ticker := time.NewTicker(l.cfg.RenewalInterval)
	defer ticker.Stop()
	for {
		if err := l.Step(ctx); err != nil && ctx.Err() == nil {
			logrus.WithError(err).WithField("lease", l.cfg.Name).Warn("failed to read or renew the lease; retrying after the renewal interval")
		}
		select {
		case <-ctx.Done():
			l.release(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Step reads the lease if necessary, and acquires or renews it if due. Serve
// calls it once per renewal interval. A candidate that is not eligible releases
// the lease. If a response shows that the store was restored, Step writes the
// lease again at once if this candidate held it.
func (l *Lease) Step(ctx context.Context) error {
	if !l.cfg.Eligible() {
		l.release(ctx)
		return nil
	}
	err := l.step(ctx)
	l.mu.Lock()
	l.enterCurrentEra()
	again := l.eras.carried(l.cfg.Now())
	l.mu.Unlock()
	if err == nil && again {
		return l.step(ctx)
	}
	return err
}

func (l *Lease) step(ctx context.Context) error {
	if l.yields() {
		return nil
	}
	if !l.heldBySelf() && !l.recentlyReported() {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	startedAt := l.cfg.Now()
	l.mu.Lock()
	l.enterCurrentEra()
	current, minTerm, eras := l.view, l.minTerm, l.eras
	l.mu.Unlock()
	switch current.next(l.self, startedAt, l.cfg.Duration, eras) {
	case actionRenew:
		l.resumePreviousHolder(current, startedAt)
		return l.write(ctx, current, eras.era, max(current.value.Term, minTerm), startedAt)
	case actionReacquire:
		// previousUntil stays: the wait for the previous holder's orders may not be over.
		return l.write(ctx, current, eras.era, max(current.value.Term, minTerm), startedAt)
	case actionAcquire:
		l.recordPreviousHolder(current, startedAt)
		return l.write(ctx, current, eras.era, max(current.value.Term+1, minTerm), startedAt)
	default:
		return nil
	}
}

// UpdateFromPeer records the lease as reported by a peer that holds it, which
// saves reading it from the store. A takeover is conditional on the reported
// version, so a wrong report can only delay it.
func (l *Lease) UpdateFromPeer(value Value, version objectstore.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.enterCurrentEra()
	l.enterEra(version.Era())
	if version < l.view.object.Version || version.Era() < l.eras.era {
		return
	}
	value.Era = version.Era()
	l.peerReportedAt = now
	if version == l.view.object.Version {
		return
	}
	l.view = view{
		object: objectstore.Object{Kind: objectstore.KindLease, Name: l.cfg.Name, Version: version},
		value:  value, exists: true, unchangedSince: now,
	}
	l.notify()
}

// ReadAgain makes the candidate read the lease from the store in its next step. It is
// called if the holder no longer reports that it holds the lease.
func (l *Lease) ReadAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.peerReportedAt.IsZero() { // not again at each further report of the host
		l.peerReportedAt, l.yieldingSince = time.Time{}, l.cfg.Now()
	}
}

// yields reports whether the candidate lets others go first for now. If it does not, its
// next turn begins after another Config.Yield. The holder, also one of the previous era,
// never yields.
func (l *Lease) yields() bool {
	yield := l.cfg.Yield()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterCurrentEra()
	now := l.cfg.Now()
	if yield <= 0 || l.view.heldBy(l.self) || l.eras.carried(now) {
		return false
	}
	if until := l.peerReportedAt.Add(l.cfg.Duration); !l.peerReportedAt.IsZero() && until.After(l.yieldingSince) {
		l.yieldingSince = until
	}
	if now.Sub(l.yieldingSince) < yield {
		return true
	}
	l.yieldingSince = now
	return false
}

// recentlyReported reports whether a peer reported the lease within the last
// two durations, so that it need not be read from the store.
func (l *Lease) recentlyReported() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.peerReportedAt.IsZero() && l.cfg.Now().Sub(l.peerReportedAt) < 2*l.cfg.Duration
}

// notify closes the channel that Changed returned. It must be called with the
// mutex held.
func (l *Lease) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Lease) heldBySelf() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterCurrentEra()
	return l.view.heldBy(l.self)
}

func (l *Lease) read(ctx context.Context) error {
	obj, err := l.cfg.Store.Get(ctx, objectstore.KindLease, l.cfg.Name)
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read lease %s", l.cfg.Name)
	}
	l.observe(obj, time.Time{})
	return nil
}

// observe updates the view from an object. If the object is this candidate's
// own write, startedAt is the time just before that write, otherwise zero.
func (l *Lease) observe(obj objectstore.Object, startedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(obj.Version.Era())
	previous := l.view.value
	l.view.observe(obj, l.cfg.Now())
	// A write that was planned before a restore of the store grants nothing.
	if !startedAt.IsZero() && l.view.value.Era == obj.Version.Era() {
		l.view.validFrom = startedAt
		l.eras.carriedUntil = time.Time{}
	}
	if !l.view.heldBy(l.self) {
		l.view.validFrom = time.Time{}
	}
	if l.view.value.Holder != previous.Holder || l.view.value.Incarnation != previous.Incarnation {
		l.notify()
	}
}

// recordPreviousHolder sets the time until which the previous holder may have
// acted. A holder that released the lease acted until now at the latest; a
// lease that never existed had no holder.
func (l *Lease) recordPreviousHolder(current view, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.previousKnown = true
	switch {
	case !current.exists && current.value.Term == 0 && (l.eras.era == 0 || l.eras.unrestored):
		l.previousUntil = time.Time{}
	case !current.exists, current.value.Holder == "", current.value.Era != l.eras.era:
		l.previousUntil = now
	default:
		l.previousUntil = current.unchangedSince.Add(l.cfg.Duration)
	}
}

// resumePreviousHolder sets the time until which the previous holder may have acted,
// if an earlier process of this candidate acquired the lease: until now, unless
// the lease is settled.
func (l *Lease) resumePreviousHolder(current view, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.previousKnown {
		return
	}
	l.previousKnown = true
	if !current.value.Settled {
		l.previousUntil = now
	}
}

// settled reports whether the previous holder's last acts are twice the duration
// ago, which includes the margins of those who wait for the duration.
func (l *Lease) settled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previousUntil.IsZero() || now.Sub(l.previousUntil) >= 2*l.cfg.Duration
}

// write writes the lease in place of current, as planned in an era of the store.
func (l *Lease) write(ctx context.Context, current view, era, term int64, startedAt time.Time) error {
	value := l.self
	value.Term, value.Era, value.Settled = term, era, l.settled(startedAt)
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	writeID := uuid.NewString()
	obj, err := l.put(ctx, current, writeID, raw)
	var conflict *objectstore.ConflictError
	var unavailable *objectstore.UnavailableError
	var notFound *objectstore.NotFoundError
	switch {
	case errors.As(err, &notFound):
		l.markDeleted()
		return nil
	case err == nil:
		l.observe(obj, startedAt)
		return nil
	case errors.As(err, &conflict):
		l.observeUncertain(conflict.Current, writeID, startedAt)
		return nil
	case errors.As(err, &unavailable):
		return l.readBack(ctx, writeID, startedAt, err)
	default:
		return errors.Wrapf(err, "write lease %s", l.cfg.Name)
	}
}

func (l *Lease) put(ctx context.Context, current view, writeID string, raw json.RawMessage) (objectstore.Object, error) {
	if !current.exists {
		return l.cfg.Store.Create(ctx, objectstore.KindLease, l.cfg.Name, writeID, raw)
	}
	return l.cfg.Store.Update(ctx, objectstore.KindLease, l.cfg.Name, current.object.Version, writeID, raw)
}

// markDeleted records that the object no longer exists, and keeps its term for
// the next write.
func (l *Lease) markDeleted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterCurrentEra()
	l.view = view{value: Value{Term: l.view.value.Term}}
}

// observeUncertain updates the view from an object that may be the result of
// this candidate's own write, for example if the transport sent it twice.
func (l *Lease) observeUncertain(obj objectstore.Object, writeID string, startedAt time.Time) {
	if obj.WriteID != writeID {
		startedAt = time.Time{}
	}
	l.observe(obj, startedAt)
}

// readBack resolves a write with unknown outcome by reading the lease.
func (l *Lease) readBack(ctx context.Context, writeID string, startedAt time.Time, cause error) error {
	obj, err := l.cfg.Store.Get(ctx, objectstore.KindLease, l.cfg.Name)
	if err != nil {
		return errors.Wrapf(cause, "write lease %s", l.cfg.Name)
	}
	l.observeUncertain(obj, writeID, startedAt)
	return nil
}

// release frees the lease if this candidate holds it, so that another host
// need not wait for it to expire. The candidate no longer acts as the holder, even if
// the store does not answer.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	l.view.validFrom = time.Time{}
	current := l.view
	l.mu.Unlock()
	if !current.heldBy(l.self) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	raw, err := json.Marshal(Value{Term: current.value.Term, Era: current.value.Era})
	if err != nil {
		return
	}
	obj, err := l.put(ctx, current, uuid.NewString(), raw)
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) { // an earlier release whose response was lost, or another holder
		obj, err = conflict.Current, nil
	}
	if err != nil {
		logrus.WithError(err).WithField("lease", l.cfg.Name).Warn("failed to release the lease; it expires by itself")
		return
	}
	l.observe(obj, time.Time{})
	logrus.WithField("lease", l.cfg.Name).Info("lease released")
}

// leaseState is the entry of a lease in the state dump.
type leaseState struct {
	Name             string `json:"name"`
	Held             bool   `json:"held"`
	Holder           string `json:"holder"`
	Term             int64  `json:"term"`
	Version          int64  `json:"version"`
	VersionAgeMillis int64  `json:"versionAgeMillis"`
}

// DumpState returns the lease as last read, for the state dump.
func (l *Lease) DumpState() any {
	status := l.Status()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := leaseState{Name: l.cfg.Name, Held: status.Held, Holder: status.Holder, Term: status.Term}
	if l.view.exists {
		state.Version = int64(l.view.object.Version)
		state.VersionAgeMillis = l.cfg.Now().Sub(l.view.unchangedSince).Milliseconds()
	}
	return state
}

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
	DefaultDuration = 10 * time.Second
	DefaultRenewal  = 3 * time.Second
)

// releaseTimeout limits the release at shutdown.
const releaseTimeout = 2 * time.Second

// Config sets up a Lease.
type Config struct {
	Store objectstore.Store
	// Name is the lease's name.
	Name string
	// Host and Incarnation identify the candidate.
	Host        string
	Incarnation string
	// Duration is how long a lease lasts without renewal. Zero means
	// DefaultDuration.
	Duration time.Duration
	// Renewal is the time between two renewals or reads. Zero means
	// DefaultRenewal.
	Renewal time.Duration
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

// Holding tells whether this candidate holds the lease.
type Holding struct {
	Held bool
	// Term is that of the stored lease; zero where none was read.
	Term int64
	// Holder is the host that was last read to hold it.
	Holder string
	// Version is that of the stored lease as last read. It grows with each
	// change of holder and each renewal.
	Version objectstore.Version
	// Until is up to when the lease is held; zero where it is not.
	Until time.Time
	// Incarnation is the process that was last read to hold it.
	Incarnation string
	// ForeignUntil is up to when another holder may have taken itself for the
	// holder. It is zero where this candidate has held the lease all along.
	ForeignUntil time.Time
}

// Lease is a candidate for a lease. The zero value is not usable; call New.
type Lease struct {
	cfg  Config
	self Value

	mu      sync.Mutex
	view    view
	minTerm int64
	changed chan struct{}
	// foreignUntil is Holding.ForeignUntil.
	foreignUntil time.Time
	// heard is when a peer last told of the lease as it stands.
	heard time.Time
}

// New returns a candidate. Run its Serve to compete.
func New(cfg Config) *Lease {
	if cfg.Duration <= 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.Renewal <= 0 {
		cfg.Renewal = DefaultRenewal
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Lease{
		cfg:     cfg,
		self:    Value{Holder: cfg.Host, Incarnation: cfg.Incarnation},
		changed: make(chan struct{}),
	}
}

// Holding returns the candidate's standing now.
func (l *Lease) Holding() Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	holding := Holding{
		Held:    l.view.held(l.self, l.cfg.Now(), l.cfg.Duration),
		Term:    l.view.value.Term,
		Holder:  l.view.value.Holder,
		Version: l.view.object.Version, Incarnation: l.view.value.Incarnation,
	}
	if holding.Held {
		holding.Until = l.view.validFrom.Add(l.cfg.Duration)
		holding.ForeignUntil = l.foreignUntil
	}
	return holding
}

// RaiseTerm makes the candidate's next write of the lease use at least the term
// given. It serves holders whose guarded objects were written under a higher
// term than the lease has, as after the lease was deleted.
func (l *Lease) RaiseTerm(term int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minTerm = max(l.minTerm, term)
}

// Changed returns a channel that is closed when another holder is read.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Serve implements suture.Service. It releases the lease when ctx ends.
func (l *Lease) Serve(ctx context.Context) error {
	ticker := time.NewTicker(l.cfg.Renewal)
	defer ticker.Stop()
	for {
		if err := l.Step(ctx); err != nil && ctx.Err() == nil {
			logrus.WithError(err).WithField("lease", l.cfg.Name).Warn("lease not renewed")
		}
		select {
		case <-ctx.Done():
			l.release()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Step reads the lease, and takes or renews it where that is due.
func (l *Lease) Step(ctx context.Context) error {
	if !l.mineByView() && !l.recentlyHeard() {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	begun := l.cfg.Now()
	l.mu.Lock()
	current, minTerm := l.view, l.minTerm
	l.mu.Unlock()
	switch current.next(l.self, begun, l.cfg.Duration) {
	case actionRenew:
		return l.write(ctx, current, max(current.value.Term, minTerm), begun)
	case actionTake:
		l.noteForeign(current, begun)
		return l.write(ctx, current, max(current.value.Term+1, minTerm), begun)
	default:
		return nil
	}
}

// Hear takes word of a peer that holds the lease, which saves reading it. A
// takeover depends on the version that was heard, so that wrong word only
// delays it.
func (l *Lease) Hear(value Value, version objectstore.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	if version < l.view.object.Version {
		return
	}
	l.heard = now
	if version == l.view.object.Version {
		return
	}
	l.view = view{
		object: objectstore.Object{Kind: objectstore.KindLease, Name: l.cfg.Name, Version: version},
		value:  value, exists: true, since: now,
	}
	l.notify()
}

// recentlyHeard reports whether the view was told by a peer and not yet long
// enough ago for the lease to have lapsed unchanged for two durations.
func (l *Lease) recentlyHeard() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.heard.IsZero() && l.cfg.Now().Sub(l.heard) < 2*l.cfg.Duration
}

// notify must be called with the mutex held.
func (l *Lease) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Lease) mineByView() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.mine(l.self)
}

func (l *Lease) read(ctx context.Context) error {
	obj, err := l.cfg.Store.Get(ctx, objectstore.KindLease, l.cfg.Name)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read lease %s", l.cfg.Name)
	}
	return l.observe(obj, time.Time{})
}

// observe takes in an object; begun is set where it is this candidate's own
// write.
func (l *Lease) observe(obj objectstore.Object, begun time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.view.value
	if err := l.view.observe(obj, l.cfg.Now()); err != nil {
		return err
	}
	if !begun.IsZero() {
		l.view.validFrom = begun
	}
	if !l.view.mine(l.self) {
		l.view.validFrom = time.Time{}
	}
	if l.view.value.Holder != before.Holder || l.view.value.Incarnation != before.Incarnation {
		l.notify()
	}
	return nil
}

// noteForeign notes until when the holder before may have acted. One that
// released the lease acted until then at most; a lease that never existed had
// no holder.
func (l *Lease) noteForeign(current view, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !current.exists && current.value.Term == 0:
		l.foreignUntil = time.Time{}
	case current.value.Holder == "":
		l.foreignUntil = now
	default:
		l.foreignUntil = current.since.Add(l.cfg.Duration)
	}
}

func (l *Lease) write(ctx context.Context, current view, term int64, begun time.Time) error {
	value := l.self
	value.Term = term
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	writeID := uuid.NewString()
	obj, err := l.put(ctx, current, writeID, raw)
	var conflict *objectstore.ConflictError
	var unavailable *objectstore.UnavailableError
	var missing *objectstore.NotFoundError
	switch {
	case errors.As(err, &missing):
		l.forget()
		return nil
	case err == nil:
		return l.observe(obj, begun)
	case errors.As(err, &conflict):
		return l.observeForeign(conflict.Current, writeID, begun)
	case errors.As(err, &unavailable):
		return l.readBack(ctx, writeID, begun, err)
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

// forget notes that the object is gone, and keeps its term.
func (l *Lease) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = view{value: Value{Term: l.view.value.Term}}
}

// observeForeign takes in an object that may yet be this candidate's own
// write, repeated by the transport.
func (l *Lease) observeForeign(obj objectstore.Object, writeID string, begun time.Time) error {
	if obj.WriteID != writeID {
		begun = time.Time{}
	}
	return l.observe(obj, begun)
}

// readBack settles a write whose answer was lost.
func (l *Lease) readBack(ctx context.Context, writeID string, begun time.Time, cause error) error {
	obj, err := l.cfg.Store.Get(ctx, objectstore.KindLease, l.cfg.Name)
	if err != nil {
		return errors.Wrapf(cause, "write lease %s", l.cfg.Name)
	}
	return l.observeForeign(obj, writeID, begun)
}

// release gives the lease up, so that another host need not wait for it.
func (l *Lease) release() {
	l.mu.Lock()
	current := l.view
	l.mu.Unlock()
	if !current.mine(l.self) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	raw, err := json.Marshal(Value{Term: current.value.Term})
	if err != nil {
		return
	}
	_, err = l.put(ctx, current, uuid.NewString(), raw)
	if err != nil {
		logrus.WithError(err).WithField("lease", l.cfg.Name).Warn("lease not released; it lapses by itself")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = view{}
}

// leaseState is the lease's part of the state dump.
type leaseState struct {
	Name             string `json:"name"`
	Held             bool   `json:"held"`
	Holder           string `json:"holder"`
	Term             int64  `json:"term"`
	Version          int64  `json:"version"`
	VersionAgeMillis int64  `json:"versionAgeMillis"`
}

// DumpState returns the lease as last read.
func (l *Lease) DumpState() any {
	holding := l.Holding()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := leaseState{Name: l.cfg.Name, Held: holding.Held, Holder: holding.Holder, Term: holding.Term}
	if l.view.exists {
		state.Version = int64(l.view.object.Version)
		state.VersionAgeMillis = l.cfg.Now().Sub(l.view.since).Milliseconds()
	}
	return state
}

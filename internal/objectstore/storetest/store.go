// Package storetest provides an objectstore.Store with fault injection, for tests.
package storetest

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Fault is the way in which a call fails.
type Fault int

// The faults of a call.
const (
	// None makes the call without a fault.
	None Fault = iota
	// NotSent fails the call before anything is sent.
	NotSent
	// RequestLost fails the call with an unknown outcome; it has no effect.
	RequestLost
	// ResponseLost fails the call with an unknown outcome; it takes effect.
	ResponseLost
	// Delayed fails the call with an unknown outcome; a write takes effect when
	// Release is called.
	Delayed
)

// Op names a method of objectstore.Store.
type Op string

// The methods of objectstore.Store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// IsWrite reports whether the method changes the store.
func (op Op) IsWrite() bool { return op == OpCreate || op == OpUpdate || op == OpDelete }

// Store wraps another store and injects faults.
type Store struct {
	inner objectstore.Store

	mu      sync.Mutex
	fault   func(op Op, kind objectstore.Kind, name string) Fault
	delayed []func()
	counts  map[Op]int
}

var _ objectstore.Store = (*Store)(nil)

// New returns a store without faults.
func New(inner objectstore.Store) *Store {
	return &Store{inner: inner, counts: make(map[Op]int)}
}

// SetFault sets the function that returns the fault of each call. Nil means no
// faults.
func (s *Store) SetFault(fault func(op Op, kind objectstore.Kind, name string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Release makes the delayed writes take effect, in the order of their calls.
func (s *Store) Release() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, call := range delayed {
		call()
	}
}

// Count returns the number of calls of a method.
func (s *Store) Count(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op]
}

// Writes returns the number of calls of Create, Update and Delete.
func (s *Store) Writes() int { return s.Count(OpCreate) + s.Count(OpUpdate) + s.Count(OpDelete) }

// do counts a call and makes it, or injects its fault.
func (s *Store) do(op Op, kind objectstore.Kind, name string, call func() error) error {
	s.mu.Lock()
	s.counts[op]++
	fault := None
	if s.fault != nil {
		fault = s.fault(op, kind, name)
	}
	if fault == Delayed && op.IsWrite() {
		s.delayed = append(s.delayed, func() { _ = call() })
	}
	s.mu.Unlock()
	switch fault {
	case None:
		return call()
	case NotSent:
		return &objectstore.UnavailableError{Outcome: objectstore.OutcomeNotSent, Cause: errors.New("injected fault: not sent")}
	case ResponseLost:
		_ = call()
	}
	return &objectstore.UnavailableError{Outcome: objectstore.OutcomeUnknown, Cause: errors.New("injected fault: no response")}
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, kind objectstore.Kind, name string) (obj objectstore.Object, err error) {
	err = s.do(OpGet, kind, name, func() error { obj, err = s.inner.Get(ctx, kind, name); return err })
	return obj, err
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, kind objectstore.Kind, prefix string) (listing objectstore.Listing, err error) {
	err = s.do(OpList, kind, prefix, func() error { listing, err = s.inner.List(ctx, kind, prefix); return err })
	return listing, err
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, kind objectstore.Kind, name, writeID string, value json.RawMessage) (obj objectstore.Object, err error) {
	err = s.do(OpCreate, kind, name, func() error {
		var callErr error
		obj, callErr = s.inner.Create(ctx, kind, name, writeID, value)
		return callErr
	})
	return obj, err
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, kind objectstore.Kind, name string, version objectstore.Version, writeID string, value json.RawMessage) (obj objectstore.Object, err error) {
	err = s.do(OpUpdate, kind, name, func() error {
		var callErr error
		obj, callErr = s.inner.Update(ctx, kind, name, version, writeID, value)
		return callErr
	})
	return obj, err
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, kind objectstore.Kind, name string, version objectstore.Version) error {
	return s.do(OpDelete, kind, name, func() error { return s.inner.Delete(ctx, kind, name, version) })
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (watch objectstore.Watch, err error) {
	err = s.do(OpWatch, kind, "", func() error { watch, err = s.inner.Watch(ctx, kind, after); return err })
	return watch, err
}

// Package control gives each stand-in its control address: fault switches
// that tests set through POST /control, and the journal and counts that they
// read through GET /control.
package control

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Path is the path of the control resource.
const Path = "/control"

// Millis is a duration in JSON, in milliseconds.
type Millis int64

// Duration returns the duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Switches holds a stand-in's fault switches. The zero value is not usable;
// call NewSwitches.
type Switches[F any] struct {
	mu      sync.Mutex
	faults  F
	changed chan struct{}
}

// NewSwitches returns switches with the faults given.
func NewSwitches[F any](initial F) *Switches[F] {
	return &Switches[F]{faults: initial, changed: make(chan struct{})}
}

// Get returns the present faults.
func (s *Switches[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Changed returns a channel that is closed at the next change.
func (s *Switches[F]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Update changes the faults.
func (s *Switches[F]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Take uses up one of a counted fault and reports whether there was one.
func (s *Switches[F]) Take(counter func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := counter(&s.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// merge decodes a JSON document over the present faults, so that fields that
// are absent keep their values.
func (s *Switches[F]) merge(decode func(*F) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if err := decode(&faults); err != nil {
		return err
	}
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Mount serves the switches and the state on e. The applied function, which
// may be nil, is called after each POST.
func Mount[F, S any](e *echo.Echo, switches *Switches[F], state func() S, applied func(F)) {
	e.GET(Path, func(c echo.Context) error {
		return c.JSON(http.StatusOK, state())
	})
	e.POST(Path, func(c echo.Context) error {
		err := switches.merge(func(faults *F) error {
			decoder := json.NewDecoder(c.Request().Body)
			decoder.DisallowUnknownFields()
			return decoder.Decode(faults)
		})
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		if applied != nil {
			applied(switches.Get())
		}
		return c.JSON(http.StatusOK, state())
	})
}

// Abort ends the connection of the running handler without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}

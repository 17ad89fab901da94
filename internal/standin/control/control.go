// Package control implements the control resource of the stand-ins: tests set
// fault switches through POST /control and read the request journal and the
// counters through GET /control.
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

// Millis is a duration that is encoded in JSON as a number of milliseconds.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Switches holds a stand-in's fault switches; F is the struct that lists them.
// It is safe for concurrent use. The zero value is not usable; call
// NewSwitches.
type Switches[F any] struct {
	mu      sync.Mutex
	faults  F
	changed chan struct{}
}

// NewSwitches returns Switches that hold the initial faults.
func NewSwitches[F any](initial F) *Switches[F] {
	return &Switches[F]{faults: initial, changed: make(chan struct{})}
}

// Get returns a copy of the current faults.
func (s *Switches[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Changed returns a channel that is closed by the next Update or POST request.
func (s *Switches[F]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Update calls change on the faults and closes the channel from Changed.
func (s *Switches[F]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Take decrements the fault counter that counter selects and reports whether it
// was above zero. It does not close the channel from Changed.
func (s *Switches[F]) Take(counter func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := counter(&s.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// merge decodes a JSON document into a copy of the current faults, so that
// fields absent from the document keep their values, and stores the copy unless
// decoding fails.
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

// Mount registers GET and POST handlers for Path on e. GET responds with
// state(). POST merges its JSON body into the faults, calls onChange with the
// result unless onChange is nil, and responds with state().
func Mount[F, S any](e *echo.Echo, switches *Switches[F], state func() S, onChange func(F)) {
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
		if onChange != nil {
			onChange(switches.Get())
		}
		return c.JSON(http.StatusOK, state())
	})
}

// Abort panics with http.ErrAbortHandler, so that the HTTP server closes the
// connection of the running handler and sends no further part of the response.
func Abort() {
	panic(http.ErrAbortHandler)
}

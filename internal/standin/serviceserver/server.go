// Package serviceserver implements the stand-in of a plain service, such as a
// certificate registry or a deposit ledger. It is not idempotent: each run takes
// the next sequence number, so that tests detect a request that ran twice.
package serviceserver

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
)

// ReportPath is the path of the load report.
const ReportPath = "/service/report"

// HealthPath is the path of the health check.
const HealthPath = "/healthz"

// HeaderRequest is the header with the request identifier, which is the same in
// all attempts of a request.
const HeaderRequest = "X-Request-Id"

// Options configures a Server.
type Options struct {
	// Name is the service name that the responses repeat.
	Name string
	// Latency is the duration of a run.
	Latency time.Duration
	// NoReport disables the load report.
	NoReport bool
	// Exit is called to end the process when the die switch is set. If it is
	// nil, the switch has no effect.
	Exit func(code int)
}

// Faults holds the fault switches. The zero value is normal operation. A numeric
// switch is the number of following calls that it applies to, unless its comment
// says otherwise.
type Faults struct {
	// Leaving makes the load reports announce that the service is draining.
	Leaving bool `json:"leaving"`
	// RunThenClose is the number of calls that run, but whose connection is
	// closed without a response.
	RunThenClose int `json:"runThenClose"`
	// CloseBeforeRun is the number of calls whose connection is closed before
	// they run.
	CloseBeforeRun int `json:"closeBeforeRun"`
	// Late is the number of calls whose response is delayed by LateMillis after
	// the run.
	Late       int            `json:"late"`
	LateMillis control.Millis `json:"lateMillis"`
	// Silent is the number of calls that run, but whose connection stays open
	// without a response.
	Silent int `json:"silent"`
	// Crossed is the number of responses that carry the identifiers of another
	// attempt and request.
	Crossed int `json:"crossed"`
	// Errors is the number of calls that fail immediately with status 500,
	// without a run.
	Errors int `json:"errors"`
	// Die ends the process immediately.
	Die bool `json:"die"`
}

// State is the response to GET /control.
type State struct {
	Faults  Faults          `json:"faults"`
	Journal []control.Entry `json:"journal"`
	// Runs is the number of calls that were run.
	Runs int64 `json:"runs"`
	// RunsByRequest and RunsByAttempt count the runs by request identifier and
	// by attempt identifier.
	RunsByRequest map[string]int `json:"runsByRequest"`
	RunsByAttempt map[string]int `json:"runsByAttempt"`
}

// Response is the body of the response to a call.
type Response struct {
	Service string `json:"service"`
	// Number is the sequence number of the run, from 1.
	Number int64 `json:"number"`
	// Request is the request identifier: the "request" field of the request's
	// body or, if that is empty, the X-Request-Id header.
	Request string `json:"request"`
}

// Server is the service stand-in. It implements http.Handler.
type Server struct {
	echo        *echo.Echo
	options     Options
	incarnation string
	switches    *control.Switches[Faults]
	journal     control.Journal
	runs        atomic.Int64
	running     atomic.Int64
	reports     atomic.Int64
}

// New returns a Server that has not run any call.
func New(options Options) *Server {
	s := &Server{
		echo:        echo.New(),
		options:     options,
		incarnation: uuid.NewString(),
		switches:    control.NewSwitches(Faults{}),
	}
	control.Mount(s.echo, s.switches, s.State, s.applyFaults)
	s.echo.GET(HealthPath, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	if !options.NoReport {
		s.echo.GET(ReportPath, s.report)
	}
	s.echo.Any("/*", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Switches returns the fault switches, for tests in the same process.
func (s *Server) Switches() *control.Switches[Faults] { return s.switches }

// State returns the fault switches, the journal and the run counts.
func (s *Server) State() State {
	state := State{
		Faults:        s.switches.Get(),
		Journal:       s.journal.Entries(),
		Runs:          s.runs.Load(),
		RunsByRequest: make(map[string]int),
		RunsByAttempt: make(map[string]int),
	}
	for _, entry := range state.Journal {
		if entry.Ran() {
			state.RunsByRequest[entry.Request]++
			state.RunsByAttempt[entry.Attempt]++
		}
	}
	return state
}

func (s *Server) applyFaults(faults Faults) {
	if faults.Die && s.options.Exit != nil {
		s.options.Exit(1)
	}
}

func (s *Server) report(c echo.Context) error {
	return c.JSON(http.StatusOK, engineapi.Report{
		Incarnation: s.incarnation,
		Sequence:    s.reports.Add(1),
		Draining:    s.switches.Get().Leaving,
		Running:     int(s.running.Load()),
	})
}

func (s *Server) call(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	entry := newEntry(c.Request(), body)
	index := s.journal.Add(entry)
	if s.switches.Take(func(f *Faults) *int { return &f.CloseBeforeRun }) {
		control.Abort()
	}
	if s.switches.Take(func(f *Faults) *int { return &f.Errors }) {
		c.Response().Header().Set(engineapi.HeaderAttempt, entry.Attempt)
		return echo.NewHTTPError(http.StatusInternalServerError, "the service failed before it ran")
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	return s.run(c, index, entry)
}

// run takes the sequence number first, so that a call counts as run whatever
// fault follows.
func (s *Server) run(c echo.Context, index int, entry control.Entry) error {
	response := Response{Service: s.options.Name, Number: s.runs.Add(1), Request: entry.Request}
	s.journal.Set(index, func(e *control.Entry) { e.Outcome = control.OutcomeRunning })
	outcome := s.awaitOutcome(c.Request())
	s.journal.Set(index, func(e *control.Entry) { e.Outcome = outcome })
	switch outcome {
	case control.OutcomeSilent:
		<-c.Request().Context().Done()
		control.Abort()
	case control.OutcomeCut:
		control.Abort()
	}
	attempt := entry.Attempt
	if s.switches.Take(func(f *Faults) *int { return &f.Crossed }) {
		attempt, response.Request = "crossed-"+attempt, "crossed"
	}
	c.Response().Header().Set(engineapi.HeaderAttempt, attempt)
	return c.JSON(http.StatusOK, response)
}

// awaitOutcome waits for the duration of the run, including an injected delay,
// and returns the outcome. The run continues if the caller disconnects.
func (s *Server) awaitOutcome(r *http.Request) control.Outcome {
	wait := s.options.Latency
	if s.switches.Take(func(f *Faults) *int { return &f.Late }) {
		wait += s.switches.Get().LateMillis.Duration()
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	if s.switches.Take(func(f *Faults) *int { return &f.Silent }) {
		return control.OutcomeSilent
	}
	if s.switches.Take(func(f *Faults) *int { return &f.RunThenClose }) {
		return control.OutcomeCut
	}
	if r.Context().Err() != nil {
		return control.OutcomeCancelled
	}
	return control.OutcomeFinished
}

func newEntry(r *http.Request, body []byte) control.Entry {
	var content struct {
		Request string `json:"request"`
	}
	if json.Unmarshal(body, &content) != nil || content.Request == "" {
		content.Request = r.Header.Get(HeaderRequest)
	}
	entry := control.NewEntry(r, body)
	entry.Request = content.Request
	return entry
}

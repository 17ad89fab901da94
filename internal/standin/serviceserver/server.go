// Package serviceserver is the stand-in of a plain service, such as a
// certificate registry or a deposit ledger: each run takes the next number,
// so that a second run of one request shows.
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

// HeaderRequest identifies a request over all its attempts.
const HeaderRequest = "X-Request-Id"

// Options configures a service.
type Options struct {
	// Name is repeated in the answers.
	Name string
	// Latency is the time of a run.
	Latency time.Duration
	// NoReport switches the load report off.
	NoReport bool
	// Exit ends the process for the die switch. Nil means that the switch has
	// no effect.
	Exit func(code int)
}

// Faults are the fault switches. The zero value is normal operation. Counted
// faults apply to that number of coming calls.
type Faults struct {
	// Leaving is shown in the reports.
	Leaving bool `json:"leaving"`
	// RunThenClose is the number of calls that run, but whose connection is
	// closed without an answer.
	RunThenClose int `json:"runThenClose"`
	// CloseBeforeRun is the number of calls whose connection is closed before
	// they run.
	CloseBeforeRun int `json:"closeBeforeRun"`
	// Late is the number of calls whose answer LateMillis delays after the run.
	Late       int            `json:"late"`
	LateMillis control.Millis `json:"lateMillis"`
	// Silent is the number of calls that run, but whose connection stays open
	// without an answer.
	Silent int `json:"silent"`
	// Crossed is the number of answers that belong to another attempt.
	Crossed int `json:"crossed"`
	// Errors is the number of calls that get a fast 500 and do not run.
	Errors int `json:"errors"`
	// Die ends the process at once.
	Die bool `json:"die"`
}

// State is the answer to GET /control.
type State struct {
	Faults  Faults          `json:"faults"`
	Journal []control.Entry `json:"journal"`
	// Runs is the number of calls that had their effect.
	Runs int64 `json:"runs"`
	// RunsByRequest and RunsByAttempt count the runs by the request and attempt
	// identifiers that came with them.
	RunsByRequest map[string]int `json:"runsByRequest"`
	RunsByAttempt map[string]int `json:"runsByAttempt"`
}

// Answer is the answer to a call.
type Answer struct {
	Service string `json:"service"`
	// Number is that of the run, from 1.
	Number int64 `json:"number"`
	// Request is the body's "request" field, or else X-Request-Id.
	Request string `json:"request"`
}

// Server is the stand-in. It is an http.Handler.
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

// New returns a service.
func New(options Options) *Server {
	s := &Server{
		echo:        echo.New(),
		options:     options,
		incarnation: uuid.NewString(),
		switches:    control.NewSwitches(Faults{}),
	}
	control.Mount(s.echo, s.switches, s.State, s.applied)
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

// State returns the journal and counts.
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

func (s *Server) applied(faults Faults) {
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
	entry := callEntry(c.Request(), body)
	number := s.journal.Add(entry)
	if s.switches.Take(func(f *Faults) *int { return &f.CloseBeforeRun }) {
		control.Abort()
	}
	if s.switches.Take(func(f *Faults) *int { return &f.Errors }) {
		c.Response().Header().Set(engineapi.HeaderAttempt, entry.Attempt)
		return echo.NewHTTPError(http.StatusInternalServerError, "the service failed before it ran")
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	return s.run(c, number, entry)
}

// run has the effect first, so that every fault after it leaves a run behind.
func (s *Server) run(c echo.Context, number int, entry control.Entry) error {
	answer := Answer{Service: s.options.Name, Number: s.runs.Add(1), Request: entry.Request}
	s.journal.Set(number, func(e *control.Entry) { e.Outcome = control.OutcomeRunning })
	outcome := s.fate(c.Request())
	s.journal.Set(number, func(e *control.Entry) { e.Outcome = outcome })
	switch outcome {
	case control.OutcomeSilent:
		<-c.Request().Context().Done()
		control.Abort()
	case control.OutcomeCut:
		control.Abort()
	}
	attempt := entry.Attempt
	if s.switches.Take(func(f *Faults) *int { return &f.Crossed }) {
		attempt, answer.Request = "crossed-"+attempt, "crossed"
	}
	c.Response().Header().Set(engineapi.HeaderAttempt, attempt)
	return c.JSON(http.StatusOK, answer)
}

// fate waits as long as the run and its faults take and returns how it ends.
// A run goes on where its caller has left.
func (s *Server) fate(r *http.Request) control.Outcome {
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

func callEntry(r *http.Request, body []byte) control.Entry {
	var named struct {
		Request string `json:"request"`
	}
	if json.Unmarshal(body, &named) != nil || named.Request == "" {
		named.Request = r.Header.Get(HeaderRequest)
	}
	entry := control.NewEntry(r, body)
	entry.Request = named.Request
	return entry
}

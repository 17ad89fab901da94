// Package engineserver is the stand-in of a model engine: OpenAI-style
// completions with deterministic text, limited memory, orders, load reports
// with a lag, cache events with gaps, and fault switches.
package engineserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
)

// Options configures an engine.
type Options struct {
	// MemoryBytes is the accelerator memory for models and adapters.
	MemoryBytes int64
	// Preloaded are the models that the engine holds from its start.
	Preloaded []engineapi.HeldModel
	// PreloadedAdapters are the adapters that it holds from its start.
	PreloadedAdapters []engineapi.HeldAdapter
	// FirstToken is the time before the first token.
	FirstToken time.Duration
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// MaxConcurrent is the number of requests that run at once; others queue
	// by priority. Zero means no limit.
	MaxConcurrent int
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// ChecksIncarnation refuses orders for another incarnation.
	ChecksIncarnation bool
	// RefuseOvercommit refuses loads that exceed the memory.
	RefuseOvercommit bool
	// OrderDelay is the time before an order is looked at.
	OrderDelay time.Duration
	// WeightsURL is the platform's base URL. Empty means that loads take
	// LoadTime.
	WeightsURL string
	// WeightsToken is the bearer token for WeightsURL.
	WeightsToken string
	// LoadTime is the time of a load without a weight store.
	LoadTime time.Duration
	// AdapterLoadTime is the time of an adapter load without a weight store.
	AdapterLoadTime time.Duration
	// UnloadTime is the time of an unload after its last request ended.
	UnloadTime time.Duration
	// ReportLag is the longest age of a report's and a cache event's state.
	ReportLag time.Duration
	// EventGapEvery drops each cache event whose number it divides. Zero drops
	// none.
	EventGapEvery int64
	// RefuseResume answers 409 to every resume.
	RefuseResume bool
	// ResumesAny resumes generations that another engine started.
	ResumesAny bool
	// Exit ends the process for the die switch. Nil means that the switch has
	// no effect.
	Exit func(code int)
}

// Faults are the fault switches. The zero value is normal operation. Counted
// faults apply to that number of coming requests or orders.
type Faults struct {
	// Leaving is shown in the reports.
	Leaving bool `json:"leaving"`
	// Late is the number of answers that LateMillis delays.
	Late       int            `json:"late"`
	LateMillis control.Millis `json:"lateMillis"`
	// Crossed is the number of answers that belong to another attempt.
	Crossed int `json:"crossed"`
	// Cut is the number of answers that are cut after CutAfter events. A plain
	// answer is cut within its body.
	Cut      int `json:"cut"`
	CutAfter int `json:"cutAfter"`
	// Silent is the number of answers that stop after SilentAfter events,
	// while their connection stays open.
	Silent      int `json:"silent"`
	SilentAfter int `json:"silentAfter"`
	// Doubled is the number of streams that send each event twice.
	Doubled int `json:"doubled"`
	// Errors is the number of requests that get a fast 500.
	Errors int `json:"errors"`
	// CloseBeforeRun is the number of requests whose connection is closed
	// before they run.
	CloseBeforeRun int `json:"closeBeforeRun"`
	// DelayOrders is the number of orders that arrive DelayOrdersMillis late,
	// also where the sender has given up.
	DelayOrders       int            `json:"delayOrders"`
	DelayOrdersMillis control.Millis `json:"delayOrdersMillis"`
	// LoseOrders is the number of orders that never arrive.
	LoseOrders int `json:"loseOrders"`
	// LoseOrderAnswers is the number of orders that are obeyed, but whose
	// connection is closed without an answer.
	LoseOrderAnswers int `json:"loseOrderAnswers"`
	// DuplicateOrders is the number of orders that arrive a second time
	// DelayOrdersMillis later.
	DuplicateOrders int `json:"duplicateOrders"`
	// SilentReports keeps the report connections open without an answer.
	SilentReports bool `json:"silentReports"`
	// Die ends the process at once.
	Die bool `json:"die"`
}

// State is the answer to GET /control.
type State struct {
	Faults  Faults           `json:"faults"`
	Journal []control.Entry  `json:"journal"`
	Memory  MemoryAccount    `json:"memory"`
	Report  engineapi.Report `json:"report"`
	Orders  []JournaledOrder `json:"orders"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	echo        *echo.Echo
	options     Options
	incarnation string
	switches    *control.Switches[Faults]
	journal     control.Journal
	memory      *memory
	orders      *orders
	slots       *slots
	runs        *runs
	cache       *cache
	reports     *reports
}

// New returns an engine.
func New(options Options) *Server {
	incarnation := uuid.NewString()
	mem := newMemory(options)
	s := &Server{
		echo:        echo.New(),
		options:     options,
		incarnation: incarnation,
		switches:    control.NewSwitches(Faults{}),
		memory:      mem,
		slots:       newSlots(options.MaxConcurrent),
		runs:        newRuns(),
		cache:       newCache(incarnation, options),
	}
	s.orders = newOrders(options, incarnation, mem)
	s.reports = &reports{server: s}
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Switches returns the fault switches, for tests in the same process.
func (s *Server) Switches() *control.Switches[Faults] { return s.switches }

// State returns the journal and accounts.
func (s *Server) State() State {
	return State{
		Faults:  s.switches.Get(),
		Journal: s.journal.Entries(),
		Memory:  s.memory.account(),
		Report:  s.reports.take(),
		Orders:  s.orders.journaled(),
	}
}

func (s *Server) routes() {
	control.Mount(s.echo, s.switches, s.State, s.applied)
	s.echo.POST("/v1/completions", s.complete)
	s.echo.POST("/v1/chat/completions", s.complete)
	s.echo.POST("/engine/cancel", s.cancel)
	s.echo.GET("/engine/report", s.report)
	s.echo.POST("/engine/orders", s.order)
	s.echo.GET("/engine/events", s.cacheEvents)
}

func (s *Server) applied(faults Faults) {
	if faults.Die && s.options.Exit != nil {
		s.options.Exit(1)
	}
}

func (s *Server) cancel(c echo.Context) error {
	var cancel engineapi.CancelRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&cancel); err != nil {
		return err
	}
	s.runs.cancel(cancel.Attempt)
	return c.NoContent(http.StatusNoContent)
}

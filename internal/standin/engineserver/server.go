// Package engineserver implements the stand-in of a model engine: OpenAI-style
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

// Options configures a Server.
type Options struct {
	// MemoryBytes is the accelerator memory for models and adapters.
	MemoryBytes int64
	// Preloaded lists the models that are loaded at the start.
	Preloaded []engineapi.HeldModel
	// PreloadedAdapters lists the adapters that are loaded at the start.
	PreloadedAdapters []engineapi.HeldAdapter
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// MaxConcurrent is the maximum number of concurrent requests; others queue
	// by priority. Zero means no limit.
	MaxConcurrent int
	// ChecksFencing makes the engine refuse orders with a fencing token below
	// the highest one seen.
	ChecksFencing bool
	// ChecksIncarnation makes the engine refuse orders for another incarnation.
	ChecksIncarnation bool
	// RefuseOvercommit makes the engine refuse loads that exceed the memory.
	RefuseOvercommit bool
	// OrderDelay is the time between the receipt of an order and its start.
	OrderDelay time.Duration
	// WeightsURL is the base URL of the platform, which serves the weight store.
	// Empty means that loads take LoadTime or AdapterLoadTime.
	WeightsURL string
	// WeightsToken is the bearer token for WeightsURL.
	WeightsToken string
	// LoadTime is the duration of a model load without a weight store.
	LoadTime time.Duration
	// AdapterLoadTime is the duration of an adapter load without a weight store.
	AdapterLoadTime time.Duration
	// UnloadTime is the duration of an unload, from the end of the last request
	// that uses the item.
	UnloadTime time.Duration
	// ReportLag is the maximum age of a load report, and the delay of cache
	// events.
	ReportLag time.Duration
	// EventGapEvery drops each cache event whose sequence number is a multiple
	// of it. Zero drops none.
	EventGapEvery int64
	// RefuseResume makes the engine respond with status 409 to every resume.
	RefuseResume bool
	// IgnoresResume makes the engine start the generation anew at every resume.
	IgnoresResume bool
	// ResumesAny makes the engine resume generations that another engine started.
	ResumesAny bool
	// Exit is called to end the process when the die switch is set. If it is
	// nil, the switch has no effect.
	Exit func(code int)
}

// Faults holds the fault switches. The zero value is normal operation. A switch
// that is a count applies to that number of following requests or orders.
type Faults struct {
	// Leaving makes the load reports announce that the engine is draining.
	Leaving bool `json:"leaving"`
	// Late is the number of responses that are delayed by LateMillis.
	Late       int            `json:"late"`
	LateMillis control.Millis `json:"lateMillis"`
	// Crossed is the number of responses with the identifier of another attempt
	// and the text of another prompt.
	Crossed int `json:"crossed"`
	// Cut is the number of responses whose connection is closed after CutAfter
	// events. A response that is not streamed is cut within its body.
	Cut      int `json:"cut"`
	CutAfter int `json:"cutAfter"`
	// Silent is the number of responses that stall after SilentAfter events,
	// while their connection stays open.
	Silent      int `json:"silent"`
	SilentAfter int `json:"silentAfter"`
	// Doubled is the number of streams that send each event twice.
	Doubled int `json:"doubled"`
	// Errors is the number of requests that fail immediately with status 500.
	Errors int `json:"errors"`
	// CloseBeforeRun is the number of requests whose connection is closed
	// before they run.
	CloseBeforeRun int `json:"closeBeforeRun"`
	// DelayOrders is the number of orders that take effect DelayOrdersMillis
	// late, even if the sender has timed out.
	DelayOrders       int            `json:"delayOrders"`
	DelayOrdersMillis control.Millis `json:"delayOrdersMillis"`
	// LoseOrders is the number of orders that are lost before the engine
	// receives them.
	LoseOrders int `json:"loseOrders"`
	// LoseOrderAnswers is the number of orders that are executed, but whose
	// connection is closed without a response.
	LoseOrderAnswers int `json:"loseOrderAnswers"`
	// DuplicateOrders is the number of orders that are received a second time,
	// DelayOrdersMillis later.
	DuplicateOrders int `json:"duplicateOrders"`
	// SilentReports keeps the connections of report requests open without a
	// response.
	SilentReports bool `json:"silentReports"`
	// Die ends the process immediately.
	Die bool `json:"die"`
}

// State is the response to GET /control.
type State struct {
	Faults  Faults           `json:"faults"`
	Journal []control.Entry  `json:"journal"`
	Memory  MemoryUsage      `json:"memory"`
	Report  engineapi.Report `json:"report"`
	Orders  []JournaledOrder `json:"orders"`
}

// Server is the engine stand-in. It implements http.Handler.
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
	reports     *reportCache
}

// New returns a Server with a new incarnation that holds the preloaded models
// and adapters.
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
	s.reports = &reportCache{server: s}
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Switches returns the fault switches, for tests in the same process.
func (s *Server) Switches() *control.Switches[Faults] { return s.switches }

// State returns the fault switches, the journals, the memory usage and a report
// of the current state.
func (s *Server) State() State {
	return State{
		Faults:  s.switches.Get(),
		Journal: s.journal.Entries(),
		Memory:  s.memory.usage(),
		Report:  s.reports.collect(),
		Orders:  s.orders.journalEntries(),
	}
}

func (s *Server) routes() {
	control.Mount(s.echo, s.switches, s.State, s.applyFaults)
	s.echo.POST("/v1/completions", s.complete)
	s.echo.POST("/v1/chat/completions", s.complete)
	s.echo.POST("/engine/cancel", s.cancel)
	s.echo.GET("/engine/report", s.report)
	s.echo.POST("/engine/orders", s.order)
	s.echo.GET("/engine/events", s.cacheEvents)
}

func (s *Server) applyFaults(faults Faults) {
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

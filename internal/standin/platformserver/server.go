// Package platformserver implements the stand-in of the platform: the object API
// over HTTP, a host list whose changes show after a lag, and the weight store,
// all with fault switches.
package platformserver

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

const (
	// bookmarkInterval is the time between two bookmark events of a watch.
	bookmarkInterval = 500 * time.Millisecond
	// maxValueBytes is the maximum size of an object's value.
	maxValueBytes = 1 << 20
	// retryAfterSeconds is the Retry-After header of responses with status 503
	// and 429.
	retryAfterSeconds = "1"
)

// Options configures a Server.
type Options struct {
	// Token is the bearer token that callers must present. Empty disables
	// authentication.
	Token string
	// HostListLag is the delay after which readers see a change of the host
	// list.
	HostListLag time.Duration
	// Weights configures the weight store.
	Weights WeightOptions
}

// Faults holds the fault switches. The zero value is normal operation.
type Faults struct {
	// Down closes every connection without a response and ends the running
	// watches.
	Down bool `json:"down"`
	// Unavailable makes every call fail with status 503 and the header
	// X-Not-Applied.
	Unavailable bool `json:"unavailable"`
	// SlowMillis is the delay of every call.
	SlowMillis control.Millis `json:"slowMillis"`
	// LoseAnswers is the number of following writes that take effect, but whose
	// connection is closed without a response.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAnswersKind restricts LoseAnswers to one kind of object. Empty means
	// all kinds.
	LoseAnswersKind objectstore.Kind `json:"loseAnswersKind"`
	// StaleWatches makes watches withhold all events but bookmarks, which repeat
	// the version of the last event that was sent. The withheld events are sent
	// once the switch is off.
	StaleWatches bool `json:"staleWatches"`
	// SilentWatches makes running and new watches drop all events while their
	// connections stay open. This is permanent for these watches; once the
	// switch is off, new watches work again.
	SilentWatches bool `json:"silentWatches"`
	// CutWatches ends the running watches whenever its value changes.
	CutWatches int `json:"cutWatches"`
	// Hosts replaces the host list, unless it is null.
	Hosts []objectstore.ListedHost `json:"hosts"`
}

// State is the response to GET /control.
type State struct {
	Faults Faults `json:"faults"`
	// Calls holds the totals over all kinds of objects.
	Calls Calls `json:"calls"`
	// CallsByKind counts the calls for the host list and the weight store under
	// the kinds "hosts" and "weights".
	CallsByKind map[objectstore.Kind]Calls `json:"callsByKind"`
	// WaitingWatches is the number of open watches.
	WaitingWatches int `json:"waitingWatches"`
	// Version is the version of the most recent write.
	Version      objectstore.Version `json:"version"`
	UptimeMillis int64               `json:"uptimeMillis"`
}

// Server is the platform stand-in. It implements http.Handler.
type Server struct {
	echo     *echo.Echo
	options  Options
	store    *memstore.Store
	switches *control.Switches[Faults]
	weights  *weightStore
	hosts    *hostList
	started  time.Time
	// silencings is the number of control requests that left SilentWatches on.
	silencings atomic.Int64

	mu            sync.Mutex
	counts        map[objectstore.Kind]*Calls
	activeWatches int
}

// New returns a Server with an empty store. It sends bookmarks to the watches
// until ctx ends.
func New(ctx context.Context, options Options) *Server {
	s := &Server{
		echo:     echo.New(),
		options:  options,
		store:    memstore.New(),
		switches: control.NewSwitches(Faults{}),
		weights:  newWeightStore(options.Weights),
		hosts:    &hostList{lag: options.HostListLag},
		started:  time.Now(),
		counts:   make(map[objectstore.Kind]*Calls),
	}
	s.routes()
	go s.sendBookmarks(ctx)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Store returns the object store, for tests in the same process.
func (s *Server) Store() *memstore.Store { return s.store }

// Switches returns the fault switches, for tests in the same process.
func (s *Server) Switches() *control.Switches[Faults] { return s.switches }

func (s *Server) routes() {
	control.Mount(s.echo, s.switches, s.State, s.applyFaults)
	api := s.echo.Group("/v1", s.injectFaults, s.authenticate)
	api.GET("/objects/:kind", s.list)
	api.GET("/objects/:kind/*", s.get)
	api.PUT("/objects/:kind/*", s.put)
	api.DELETE("/objects/:kind/*", s.remove)
	api.GET("/watch/:kind", s.watch)
	api.GET("/hosts", s.listHosts)
	api.GET("/weights/:name", s.loadWeights)
}

func (s *Server) applyFaults(faults Faults) {
	if faults.Hosts != nil {
		s.hosts.set(time.Now(), faults.Hosts)
	}
	if faults.SilentWatches {
		s.silencings.Add(1)
	}
}

func (s *Server) sendBookmarks(ctx context.Context) {
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.store.Bookmark()
		}
	}
}

// injectFaults is the middleware for the faults that affect all calls: SlowMillis,
// Down and Unavailable.
func (s *Server) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		faults := s.switches.Get()
		if faults.SlowMillis > 0 {
			if err := sleep(c.Request().Context(), faults.SlowMillis.Duration()); err != nil {
				return err
			}
		}
		faults = s.switches.Get()
		if faults.Down {
			control.Abort()
		}
		if faults.Unavailable {
			c.Response().Header().Set("X-Not-Applied", "true")
			return unavailable(c, http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.options.Token != "" && c.Request().Header.Get("Authorization") != "Bearer "+s.options.Token {
			return echo.NewHTTPError(http.StatusUnauthorized, "send the platform's bearer token")
		}
		return next(c)
	}
}

func (s *Server) listHosts(c echo.Context) error {
	s.count("hosts", func(calls *Calls) { calls.HostList++ })
	return c.JSON(http.StatusOK, hostsResponse{Hosts: s.hosts.visible(time.Now())})
}

func unavailable(c echo.Context, status int) error {
	c.Response().Header().Set("Retry-After", retryAfterSeconds)
	return c.NoContent(status)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Package platformserver is the platform's stand-in: the object API over HTTP,
// the lagging host list and the weight store, with fault switches.
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
	// bookmarkInterval is the time between two bookmarks of a watch.
	bookmarkInterval = 500 * time.Millisecond
	// maxValueBytes is the largest value that an object may have.
	maxValueBytes = 1 << 20
	// retryAfterSeconds is the advice that goes with a 503 or 429.
	retryAfterSeconds = "1"
)

// Options configures the stand-in.
type Options struct {
	// Token is the bearer token that callers must present. Empty accepts all.
	Token string
	// HostListLag is how late readers see a change of the host list.
	HostListLag time.Duration
	Weights     WeightOptions
}

// Faults are the fault switches. The zero value is normal operation.
type Faults struct {
	// Down closes every connection without an answer.
	Down bool `json:"down"`
	// Unavailable answers every call with 503 and X-Not-Applied.
	Unavailable bool `json:"unavailable"`
	// SlowMillis delays every call.
	SlowMillis control.Millis `json:"slowMillis"`
	// LoseAnswers is the number of coming writes that take effect, but whose
	// connection is closed without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAnswersKind restricts LoseAnswers to a kind of object. Empty means
	// any.
	LoseAnswersKind objectstore.Kind `json:"loseAnswersKind"`
	// StaleWatches withholds events, while bookmarks of the last version that
	// was delivered go on.
	StaleWatches bool `json:"staleWatches"`
	// SilentWatches makes running and new watches go silent. A watch that went
	// silent stays so; new ones work again once the switch is off.
	SilentWatches bool `json:"silentWatches"`
	// CutWatches ends the running watches each time it changes.
	CutWatches int `json:"cutWatches"`
	// Hosts, where not null, replaces the host list.
	Hosts []objectstore.ListedHost `json:"hosts"`
}

// State is the answer to GET /control.
type State struct {
	Faults         Faults                     `json:"faults"`
	Calls          Calls                      `json:"calls"`
	CallsByKind    map[objectstore.Kind]Calls `json:"callsByKind"`
	WaitingWatches int                        `json:"waitingWatches"`
	Version        objectstore.Version        `json:"version"`
	UptimeMillis   int64                      `json:"uptimeMillis"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	echo     *echo.Echo
	options  Options
	store    *memstore.Store
	switches *control.Switches[Faults]
	weights  *weightStore
	hosts    *hostList
	started  time.Time
	// silencings counts how often watches were silenced.
	silencings atomic.Int64

	mu       sync.Mutex
	counts   map[objectstore.Kind]*Calls
	watching int
}

// New returns a stand-in with an empty store. Its bookmarks end with ctx.
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
	go s.bookmarks(ctx)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Store returns the objects, for tests in the same process.
func (s *Server) Store() *memstore.Store { return s.store }

// Switches returns the fault switches, for tests in the same process.
func (s *Server) Switches() *control.Switches[Faults] { return s.switches }

func (s *Server) routes() {
	control.Mount(s.echo, s.switches, s.State, s.applied)
	api := s.echo.Group("/v1", s.faulty, s.authenticated)
	api.GET("/objects/:kind", s.list)
	api.GET("/objects/:kind/*", s.get)
	api.PUT("/objects/:kind/*", s.put)
	api.DELETE("/objects/:kind/*", s.remove)
	api.GET("/watch/:kind", s.watch)
	api.GET("/hosts", s.listHosts)
	api.GET("/weights/:name", s.load)
}

func (s *Server) applied(faults Faults) {
	if faults.Hosts != nil {
		s.hosts.set(time.Now(), faults.Hosts)
	}
	if faults.SilentWatches {
		s.silencings.Add(1)
	}
}

func (s *Server) bookmarks(ctx context.Context) {
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

// faulty applies the faults that concern every call.
func (s *Server) faulty(next echo.HandlerFunc) echo.HandlerFunc {
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

func (s *Server) authenticated(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.options.Token != "" && c.Request().Header.Get("Authorization") != "Bearer "+s.options.Token {
			return echo.NewHTTPError(http.StatusUnauthorized, "send the platform's bearer token")
		}
		return next(c)
	}
}

func (s *Server) listHosts(c echo.Context) error {
	s.count("hosts", func(calls *Calls) { calls.HostList++ })
	return c.JSON(http.StatusOK, hostsAnswer{Hosts: s.hosts.visible(time.Now())})
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

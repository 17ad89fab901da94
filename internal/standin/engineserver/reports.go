package engineserver

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// reportCache serves the same load report until it is ReportLag old and then
// collects a new one.
type reportCache struct {
	server *Server

	mu       sync.Mutex
	sequence int64
	last     engineapi.Report
	takenAt  time.Time
}

func (s *Server) report(c echo.Context) error {
	if s.switches.Get().SilentReports {
		<-c.Request().Context().Done()
		return nil
	}
	return c.JSON(http.StatusOK, s.reports.current())
}

func (r *reportCache) current() engineapi.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := time.Since(r.takenAt)
	if age >= r.server.options.ReportLag {
		r.last, r.takenAt, age = r.collect(), time.Now(), 0
		r.sequence++
	}
	report := r.last
	report.Sequence = r.sequence
	report.AgeMillis = age.Milliseconds()
	return report
}

// collect returns a report of the current state.
func (r *reportCache) collect() engineapi.Report {
	s := r.server
	// Read the settled orders first, so that the models and adapters in the report
	// reflect at least these orders.
	settled, role := s.orders.settledOrders()
	models, adapters, used := s.memory.snapshot()
	running, queued := s.runs.count(), s.slots.queued()
	return engineapi.Report{
		Incarnation:     s.incarnation,
		Draining:        s.switches.Get().Leaving,
		MemoryBytes:     s.options.MemoryBytes,
		UsedBytes:       used,
		Models:          models,
		Adapters:        adapters,
		Running:         running - queued,
		Queued:          queued,
		TokensPerSecond: s.tokensPerSecond(running - queued),
		Settled:         settled,
		Role:            role,
	}
}

func (s *Server) tokensPerSecond(running int) float64 {
	if s.options.TokenInterval == 0 {
		return 0
	}
	return float64(running) * float64(time.Second) / float64(s.options.TokenInterval)
}

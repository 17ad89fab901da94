package engineserver

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// reports gives states that are up to ReportLag old.
type reports struct {
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
	return c.JSON(http.StatusOK, s.reports.lagging())
}

func (r *reports) lagging() engineapi.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := time.Since(r.takenAt)
	if age >= r.server.options.ReportLag {
		r.last, r.takenAt, age = r.take(), time.Now(), 0
		r.sequence++
	}
	report := r.last
	report.Sequence = r.sequence
	report.AgeMillis = age.Milliseconds()
	return report
}

// take returns the state of now.
func (r *reports) take() engineapi.Report {
	s := r.server
	// The settled orders come first, so that the items below are no older.
	settled, role := s.orders.settledOrders()
	models, adapters, used := s.memory.held()
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

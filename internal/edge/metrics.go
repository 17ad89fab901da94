package edge

import (
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler returns the handler that serves the metrics, the state dump and
// profiles.
func (h *host) metricsHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(h.registry(), promhttp.HandlerOpts{})))
	e.GET("/debug/state", func(c echo.Context) error {
		state := map[string]any{
			"endpoints": h.endpoints.DumpState(),
			"peers":     h.exchange.DumpState(),
			"crashes":   h.quarantine.DumpState(),
			"quota":     h.quota.DumpState(),
			"lease":     h.lease.DumpState(),
			"orders":    h.orders.DumpState(),
			"paths":     h.paths.DumpState(),
			"software":  h.origins.DumpState(),
			"stop":      h.stop.DumpState(),
			"requests":  h.forwarder.DumpState(),
		}
		if h.evacuation != nil {
			state["evacuation"] = h.evacuation.DumpState()
		}
		return c.JSON(http.StatusOK, state)
	})
	// The profiles of net/http/pprof; see OPERATIONS.md.
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/:name", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	return e
}

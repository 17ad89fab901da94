package edge

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler returns the handler that serves the metrics and the state dump.
func (h *host) metricsHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(h.registry(), promhttp.HandlerOpts{})))
	e.GET("/debug/state", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]any{
			"endpoints": h.endpoints.DumpState(),
			"peers":     h.exchange.DumpState(),
			"quota":     h.quota.DumpState(),
			"lease":     h.lease.DumpState(),
			"orders":    h.orders.DumpState(),
		})
	})
	return e
}

package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// stateDumper is a component that has a section in the state dump.
type stateDumper interface {
	// DumpState returns the current state as a value that can be marshaled to
	// JSON.
	DumpState() any
}

// dumpSection is a named section of the state dump.
type dumpSection struct {
	name   string
	dumper stateDumper
}

// stateDump collects the state of all components of the daemon.
type stateDump struct {
	sections []dumpSection
}

// StateJSON returns the dump as a JSON object with one member per section.
func (d *stateDump) StateJSON() (string, error) {
	document := make(map[string]any, len(d.sections))
	for _, section := range d.sections {
		document[section.name] = section.dumper.DumpState()
	}
	data, err := json.Marshal(document)
	return string(data), err
}

// dumpFunc adapts a function to stateDumper.
type dumpFunc func() any

// DumpState implements stateDumper.
func (f dumpFunc) DumpState() any { return f() }

// newDebugHandler returns the handler for health, readiness, metrics and the
// state dump.
func newDebugHandler(ready *readiness, registry *prometheus.Registry, dump *stateDump) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		state := ready.state()
		if !state.Ready {
			return c.JSON(http.StatusServiceUnavailable, state)
		}
		return c.JSON(http.StatusOK, state)
	})
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	e.GET("/debug/state", func(c echo.Context) error {
		document, err := dump.StateJSON()
		if err != nil {
			return c.String(http.StatusInternalServerError, err.Error())
		}
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(document))
	})
	return e
}

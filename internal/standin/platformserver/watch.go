package platformserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

func (s *Server) watch(c echo.Context) error {
	kind := objectstore.Kind(c.Param("kind"))
	s.count(kind, func(calls *Calls) { calls.Watch++ })
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after is not a version")
	}
	w, err := s.store.Watch(c.Request().Context(), kind, objectstore.Version(after))
	if err != nil {
		return respondError(c, err)
	}
	defer w.Stop()
	s.addActiveWatches(1)
	defer s.addActiveWatches(-1)
	return s.newStream(c.Response(), objectstore.Version(after)).run(c, w)
}

func (s *Server) newStream(response *echo.Response, after objectstore.Version) *watchStream {
	return &watchStream{server: s, response: response, delivered: after, silencings: s.silencings.Load()}
}

// watchStream writes the events of one watch to its response and applies the
// watch faults.
type watchStream struct {
	server    *Server
	response  *echo.Response
	delivered objectstore.Version
	withheld  []objectstore.Event
	silent    bool
	// silencings is the value of Server.silencings at the start of the watch.
	silencings int64
}

// isSilent reports whether SilentWatches is set or was set at any time since the
// watch started. It also compares the counts, because the goroutine of the watch
// may not have been scheduled between two changes of the switch.
func (w *watchStream) isSilent(faults Faults) bool {
	return w.silent || faults.SilentWatches || w.server.silencings.Load() != w.silencings
}

func (w *watchStream) run(c echo.Context, source objectstore.Watch) error {
	w.response.Header().Set("Content-Type", "application/x-ndjson")
	w.response.WriteHeader(http.StatusOK)
	w.response.Flush()
	initialCuts := w.server.switches.Get().CutWatches
	for {
		changed := w.server.switches.Changed()
		faults := w.server.switches.Get()
		if faults.CutWatches != initialCuts || faults.Down {
			return nil
		}
		w.silent = w.isSilent(faults)
		if err := w.flushWithheld(faults); err != nil {
			return err
		}
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-changed:
		case event, ok := <-source.Events():
			if !ok {
				return nil
			}
			if err := w.handle(faults, event); err != nil {
				return err
			}
		}
	}
}

// flushWithheld sends the withheld events once StaleWatches is off. A silent
// watch sends none.
func (w *watchStream) flushWithheld(faults Faults) error {
	if faults.StaleWatches || w.silent {
		return nil
	}
	for _, event := range w.withheld {
		if err := w.send(event); err != nil {
			return err
		}
	}
	w.withheld = nil
	return nil
}

func (w *watchStream) handle(faults Faults, event objectstore.Event) error {
	if w.silent {
		return nil
	}
	if !faults.StaleWatches {
		return w.send(event)
	}
	if event.Type != objectstore.EventBookmark {
		w.withheld = append(w.withheld, event)
		return nil
	}
	event.Version = w.delivered
	return w.send(event)
}

func (w *watchStream) send(event objectstore.Event) error {
	if err := json.NewEncoder(w.response).Encode(event); err != nil {
		return err
	}
	w.response.Flush()
	w.delivered = event.Version
	return nil
}

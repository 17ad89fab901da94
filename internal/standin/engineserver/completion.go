package engineserver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
)

// complete handles completion and chat completion requests.
func (s *Server) complete(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	journalIndex := s.journal.Add(control.NewEntry(c.Request(), body))
	if s.switches.Take(func(f *Faults) *int { return &f.CloseBeforeRun }) {
		control.Abort()
	}
	if s.switches.Take(func(f *Faults) *int { return &f.Errors }) {
		return respondError(c, http.StatusInternalServerError, "internal_error", "the engine failed")
	}
	req, err := parseRequest(body)
	if err != nil {
		return respondError(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	release, generation, ok := s.memory.acquire(req.Model, req.Version)
	if !ok {
		return respondError(c, http.StatusNotFound, "model_not_found", "load the model first")
	}
	defer release()
	generation.Prompt, generation.Tokens = req.prompt(), req.tokens()
	current := &run{
		attempt:      c.Request().Header.Get(engineapi.HeaderAttempt),
		generation:   generation,
		chat:         strings.HasSuffix(c.Path(), "/chat/completions"),
		journalIndex: journalIndex,
	}
	if !s.resume(c, current) {
		return respondError(c, http.StatusConflict, "cannot_resume", "start the generation anew")
	}
	return s.execute(c, req, current)
}

func respondError(c echo.Context, status int, code, text string) error {
	c.Response().Header().Set(engineapi.HeaderAttempt, c.Request().Header.Get(engineapi.HeaderAttempt))
	return c.JSON(status, errorResponse{Error: errorDetail{Message: text, Type: code, Code: code}})
}

// resume sets the first event of the response as the resume header requests and
// reports whether the response can start there. Without the header, the response
// starts at the first event.
func (s *Server) resume(c echo.Context, current *run) bool {
	header := c.Request().Header.Get(engineapi.HeaderResume)
	if header == "" || s.options.IgnoresResume {
		return true
	}
	separator := strings.LastIndex(header, "/")
	if separator < 0 || s.options.RefuseResume {
		return false
	}
	offset, err := strconv.Atoi(header[separator+1:])
	if err != nil || offset < 0 || offset > current.generation.Tokens+1 {
		return false
	}
	current.first = offset
	return s.options.ResumesAny || s.runs.resumable(header[:separator], current.generation)
}

func (s *Server) execute(c echo.Context, req *request, current *run) error {
	ctx, finish := s.runs.start(c.Request().Context(), current)
	defer finish()
	if err := s.slots.acquire(ctx, c.Request().Header.Get(engineapi.HeaderPriority) == "batch"); err != nil {
		return err
	}
	defer s.slots.release()
	s.journal.Set(current.journalIndex, func(e *control.Entry) {
		e.Outcome = control.OutcomeRunning
		e.Model, e.Adapter = current.generation.Model, current.generation.Adapter
	})
	s.cache.touch(current.generation)
	outcome := s.respond(ctx, c, req, current)
	s.journal.Set(current.journalIndex, func(e *control.Entry) { e.Outcome = outcome })
	if outcome != control.OutcomeFinished {
		control.Abort()
	}
	return nil
}

func (s *Server) respond(ctx context.Context, c echo.Context, req *request, current *run) control.Outcome {
	faults := s.takeResponseFaults()
	if faults.delay > 0 && sleep(ctx, faults.delay) != nil {
		return control.OutcomeCancelled
	}
	sent := *current
	if faults.crossed {
		sent.attempt = "crossed-" + current.attempt
		sent.generation.Prompt += " of another caller"
	}
	c.Response().Header().Set(engineapi.HeaderAttempt, sent.attempt)
	w := &completionWriter{server: s, response: c.Response(), run: &sent, faults: faults}
	if req.Stream {
		return w.writeStream(ctx)
	}
	return w.writeJSON(ctx)
}

// responseFaults holds the faults to inject into one response.
type responseFaults struct {
	delay      time.Duration
	crossed    bool
	duplicated bool
	// cutAfter and silentAfter are the numbers of events after which the response
	// is cut or stalls, or -1 for no fault.
	cutAfter    int
	silentAfter int
}

func (s *Server) takeResponseFaults() responseFaults {
	f := responseFaults{cutAfter: -1, silentAfter: -1}
	faults := s.switches.Get()
	if s.switches.Take(func(f *Faults) *int { return &f.Late }) {
		f.delay = faults.LateMillis.Duration()
	}
	f.crossed = s.switches.Take(func(f *Faults) *int { return &f.Crossed })
	f.duplicated = s.switches.Take(func(f *Faults) *int { return &f.Doubled })
	if s.switches.Take(func(f *Faults) *int { return &f.Cut }) {
		f.cutAfter = faults.CutAfter
	}
	if s.switches.Take(func(f *Faults) *int { return &f.Silent }) {
		f.silentAfter = faults.SilentAfter
	}
	return f
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

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

// complete answers a completion.
func (s *Server) complete(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	entry := s.journal.Add(control.NewEntry(c.Request(), body))
	if s.switches.Take(func(f *Faults) *int { return &f.CloseBeforeRun }) {
		control.Abort()
	}
	if s.switches.Take(func(f *Faults) *int { return &f.Errors }) {
		return refuse(c, http.StatusInternalServerError, "internal_error", "the engine failed")
	}
	req, err := parseRequest(body)
	if err != nil {
		return refuse(c, http.StatusBadRequest, "invalid_request", err.Error())
	}
	release, generation, ok := s.memory.use(req.Model, req.Version)
	if !ok {
		return refuse(c, http.StatusNotFound, "model_not_found", "load the model first")
	}
	defer release()
	generation.Prompt, generation.Tokens = req.prompt(), req.tokens()
	one := &run{
		attempt:    c.Request().Header.Get(engineapi.HeaderAttempt),
		generation: generation,
		chat:       strings.HasSuffix(c.Path(), "/chat/completions"),
		entry:      entry,
	}
	if !s.resume(c, one) {
		return refuse(c, http.StatusConflict, "cannot_resume", "start the generation anew")
	}
	return s.carryOut(c, req, one)
}

func refuse(c echo.Context, status int, code, text string) error {
	c.Response().Header().Set(engineapi.HeaderAttempt, c.Request().Header.Get(engineapi.HeaderAttempt))
	return c.JSON(status, errorAnswer{Error: errorDetail{Message: text, Type: code, Code: code}})
}

// resume sets where the answer starts and reports whether that is possible.
func (s *Server) resume(c echo.Context, one *run) bool {
	header := c.Request().Header.Get(engineapi.HeaderResume)
	if header == "" {
		return true
	}
	separator := strings.LastIndex(header, "/")
	if separator < 0 || s.options.RefuseResume {
		return false
	}
	offset, err := strconv.Atoi(header[separator+1:])
	if err != nil || offset < 0 || offset > one.generation.Tokens+1 {
		return false
	}
	one.first = offset
	return s.options.ResumesAny || s.runs.resumable(header[:separator], one.generation)
}

func (s *Server) carryOut(c echo.Context, req *request, one *run) error {
	ctx, end := s.runs.start(c.Request().Context(), one)
	defer end()
	if err := s.slots.acquire(ctx, c.Request().Header.Get(engineapi.HeaderPriority) == "batch"); err != nil {
		return err
	}
	defer s.slots.release()
	s.journal.Set(one.entry, func(e *control.Entry) {
		e.Outcome = control.OutcomeRunning
		e.Model, e.Adapter = one.generation.Model, one.generation.Adapter
	})
	s.cache.touch(one.generation)
	outcome := s.answer(ctx, c, req, one)
	s.journal.Set(one.entry, func(e *control.Entry) { e.Outcome = outcome })
	if outcome != control.OutcomeFinished {
		control.Abort()
	}
	return nil
}

func (s *Server) answer(ctx context.Context, c echo.Context, req *request, one *run) control.Outcome {
	fate := s.drawFate()
	if fate.late > 0 && sleep(ctx, fate.late) != nil {
		return control.OutcomeCancelled
	}
	sent := *one
	if fate.crossed {
		sent.attempt = "crossed-" + one.attempt
		sent.generation.Prompt += " of another caller"
	}
	c.Response().Header().Set(engineapi.HeaderAttempt, sent.attempt)
	w := &eventWriter{server: s, response: c.Response(), run: &sent, fate: fate}
	if req.Stream {
		return w.stream(ctx)
	}
	return w.plain(ctx)
}

// fate is what the fault switches make of one answer.
type fate struct {
	late    time.Duration
	crossed bool
	doubled bool
	// cutAfter and silentAfter are numbers of events, or -1.
	cutAfter    int
	silentAfter int
}

func (s *Server) drawFate() fate {
	f := fate{cutAfter: -1, silentAfter: -1}
	faults := s.switches.Get()
	if s.switches.Take(func(f *Faults) *int { return &f.Late }) {
		f.late = faults.LateMillis.Duration()
	}
	f.crossed = s.switches.Take(func(f *Faults) *int { return &f.Crossed })
	f.doubled = s.switches.Take(func(f *Faults) *int { return &f.Doubled })
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

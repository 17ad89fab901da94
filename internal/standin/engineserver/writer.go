package engineserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/standin/control"
)

// eventWriter writes one answer and applies its fate.
type eventWriter struct {
	server   *Server
	response *echo.Response
	run      *run
	fate     fate
	sent     int
}

// plain waits for all tokens and writes one JSON document.
func (w *eventWriter) plain(ctx context.Context) control.Outcome {
	generated := w.server.options.FirstToken + time.Duration(w.run.generation.Tokens-1)*w.server.options.TokenInterval
	if sleep(ctx, generated) != nil {
		return control.OutcomeCancelled
	}
	body, err := json.Marshal(w.run.plain())
	if err != nil {
		return control.OutcomeCut
	}
	w.response.Header().Set("Content-Type", "application/json")
	w.response.WriteHeader(http.StatusOK)
	if w.fate.cutAfter >= 0 || w.fate.silentAfter >= 0 {
		body = body[:len(body)/2]
	}
	_, _ = w.response.Write(body)
	w.response.Flush()
	return w.end(ctx)
}

// stream writes the events one by one.
func (w *eventWriter) stream(ctx context.Context) control.Outcome {
	w.response.Header().Set("Content-Type", "text/event-stream")
	w.response.WriteHeader(http.StatusOK)
	w.response.Flush()
	pause := w.server.options.FirstToken
	for offset := w.run.first; offset <= w.run.generation.Tokens+1; offset++ {
		if w.sent == w.fate.cutAfter || w.sent == w.fate.silentAfter {
			return w.end(ctx)
		}
		if offset < w.run.generation.Tokens && sleep(ctx, pause) != nil {
			return control.OutcomeCancelled
		}
		pause = w.server.options.TokenInterval
		if err := w.event(offset); err != nil {
			return control.OutcomeCancelled
		}
	}
	w.fate.cutAfter, w.fate.silentAfter = -1, -1
	return w.end(ctx)
}

// end returns the outcome, for a silent answer after its caller has left.
func (w *eventWriter) end(ctx context.Context) control.Outcome {
	switch {
	case w.fate.silentAfter >= 0:
		w.server.journal.Set(w.run.entry, func(e *control.Entry) { e.Outcome = control.OutcomeSilent })
		<-ctx.Done()
		return control.OutcomeSilent
	case w.fate.cutAfter >= 0:
		return control.OutcomeCut
	default:
		return control.OutcomeFinished
	}
}

func (w *eventWriter) event(offset int) error {
	data := []byte(engineapi.DoneMarker)
	if offset <= w.run.generation.Tokens {
		var err error
		if data, err = json.Marshal(w.run.chunk(offset)); err != nil {
			return err
		}
	}
	copies := 1
	if w.fate.doubled {
		copies = 2
	}
	for range copies {
		if _, err := fmt.Fprintf(w.response, "id: %s/%d\ndata: %s\n\n", w.run.attempt, offset, data); err != nil {
			return err
		}
	}
	w.response.Flush()
	w.sent++
	w.server.journal.Set(w.run.entry, func(e *control.Entry) { e.Events++ })
	return nil
}

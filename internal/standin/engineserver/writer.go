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

// completionWriter writes the response to a completion request and injects its
// faults.
type completionWriter struct {
	server   *Server
	response *echo.Response
	run      *run
	faults   responseFaults
	sent     int
}

// writeJSON waits for the duration of the generation and writes the response as
// one JSON document.
func (w *completionWriter) writeJSON(ctx context.Context) control.Outcome {
	duration := w.server.options.FirstToken + time.Duration(w.run.generation.Tokens-1)*w.server.options.TokenInterval
	if sleep(ctx, duration) != nil {
		return control.OutcomeCancelled
	}
	body, err := json.Marshal(w.run.fullResponse())
	if err != nil {
		return control.OutcomeCut
	}
	w.response.Header().Set("Content-Type", "application/json")
	w.response.WriteHeader(http.StatusOK)
	if w.faults.cutAfter >= 0 || w.faults.silentAfter >= 0 {
		body = body[:len(body)/2]
	}
	_, _ = w.response.Write(body)
	w.response.Flush()
	return w.finish(ctx)
}

// writeStream writes the response as server-sent events: one for each token, one
// with the usage and the final marker.
func (w *completionWriter) writeStream(ctx context.Context) control.Outcome {
	w.response.Header().Set("Content-Type", "text/event-stream")
	w.response.WriteHeader(http.StatusOK)
	w.response.Flush()
	pause := w.server.options.FirstToken
	for offset := w.run.first; offset <= w.run.generation.Tokens+1; offset++ {
		if w.sent == w.faults.cutAfter || w.sent == w.faults.silentAfter {
			return w.finish(ctx)
		}
		if offset < w.run.generation.Tokens && sleep(ctx, pause) != nil {
			return control.OutcomeCancelled
		}
		pause = w.server.options.TokenInterval
		if err := w.writeEvent(offset); err != nil {
			return control.OutcomeCancelled
		}
	}
	w.faults.cutAfter, w.faults.silentAfter = -1, -1
	return w.finish(ctx)
}

// finish returns the outcome of the response. If the response stalls, it first
// waits until the request is cancelled or the caller disconnects.
func (w *completionWriter) finish(ctx context.Context) control.Outcome {
	switch {
	case w.faults.silentAfter >= 0:
		w.server.journal.Set(w.run.journalIndex, func(e *control.Entry) { e.Outcome = control.OutcomeSilent })
		<-ctx.Done()
		return control.OutcomeSilent
	case w.faults.cutAfter >= 0:
		return control.OutcomeCut
	default:
		return control.OutcomeFinished
	}
}

func (w *completionWriter) writeEvent(offset int) error {
	data := []byte(engineapi.DoneMarker)
	if offset <= w.run.generation.Tokens {
		var err error
		if data, err = json.Marshal(w.run.chunk(offset)); err != nil {
			return err
		}
	}
	copies := 1
	if w.faults.duplicated {
		copies = 2
	}
	for range copies {
		if _, err := fmt.Fprintf(w.response, "id: %s/%d\ndata: %s\n\n", w.run.attempt, offset, data); err != nil {
			return err
		}
	}
	w.response.Flush()
	w.sent++
	w.server.journal.Set(w.run.journalIndex, func(e *control.Entry) { e.Events++ })
	return nil
}

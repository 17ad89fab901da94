package objectstore

import (
	"context"
	"time"

	"bilberryslip.example/bilberryslip/internal/retry"
)

// PollFunc makes one call of a polled watch and returns the events after a
// version, the last of them a bookmark up to which there are no others.
type PollFunc func(ctx context.Context, after Version) ([]Event, error)

// NewPolledWatch returns a watch over a series of calls, for sources that hold
// a call until there are events. The pause between two calls gathers events.
func NewPolledWatch(ctx context.Context, after Version, pause time.Duration, poll PollFunc) Watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &polledWatch{events: make(chan Event), cancel: cancel}
	go func() {
		defer close(w.events)
		defer cancel()
		w.err = w.run(ctx, after, pause, poll)
	}()
	return w
}

// polledWatch implements Watch.
type polledWatch struct {
	events chan Event
	cancel context.CancelFunc
	// err is set before events is closed.
	err error
}

// Events implements Watch.
func (w *polledWatch) Events() <-chan Event { return w.events }

// Err implements Watch.
func (w *polledWatch) Err() error { return w.err }

// Stop implements Watch.
func (w *polledWatch) Stop() { w.cancel() }

func (w *polledWatch) run(ctx context.Context, after Version, pause time.Duration, poll PollFunc) error {
	for {
		events, err := poll(ctx, after)
		if err != nil {
			return err
		}
		for _, event := range events {
			select {
			case w.events <- event:
				after = max(after, event.Version)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !retry.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

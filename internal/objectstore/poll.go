package objectstore

import (
	"context"
	"time"

	"bilberryslip.example/bilberryslip/internal/retry"
)

// PollFunc makes one call of a polled watch and returns the events after a
// version. The last of them is a bookmark, up to which the events are complete.
type PollFunc func(ctx context.Context, after Version) ([]Event, error)

// NewPolledWatch returns a Watch over a series of calls of poll, for sources that
// support long polling. The pause between two calls lets events accumulate, so
// that a call returns several at once.
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

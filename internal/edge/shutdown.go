package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/settings"
)

// run serves until a signal or a failure of the supervisor tree ends it.
func (h *host) run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := h.tree.ServeBackground(ctx)
	logrus.WithFields(logrus.Fields{
		"host": h.settings.Host.Name, "zone": h.settings.Host.Zone, "callers": h.settings.Listen.Callers,
		"first_start": h.settings.FirstStart,
	}).Info("serving")
	for {
		select {
		case err := <-ended:
			return errors.Wrap(err, "supervisor tree ended")
		case received := <-signals:
			if received == syscall.SIGHUP {
				h.reload()
				continue
			}
			logrus.WithField("signal", received.String()).Info("stopping")
			h.shutdown(ctx)
			cancel()
			h.awaitEnd(ended)
			logrus.Info("stopped")
			return nil
		}
	}
}

// awaitEnd waits until the components have ended, up to shortly before the grace period
// does.
func (h *host) awaitEnd(ended <-chan error) {
	left, _ := h.stopping.Left(time.Now())
	select {
	case <-ended:
	case <-time.After(max(left, 0) + exitTimeout):
		logrus.Warn("components still running at the end of the grace period")
	}
}

// reload applies those settings that can change at run time: the log level. If
// the file can't be loaded, the old settings stay in effect.
func (h *host) reload() {
	loaded, err := settings.LoadEdge(h.path)
	if err != nil {
		logrus.WithError(err).Error("settings not reloaded; the old ones stay in force")
		return
	}
	h.applyLog(&loaded)
	logrus.WithField("log_level", loaded.Log.Level).Info("settings reloaded")
}

const (
	// balancerDelay is how long new requests still arrive after the host
	// reports not ready: two readiness checks at an interval of one second,
	// and their latency.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is left for the process to
	// exit by itself.
	stopMargin = 400 * time.Millisecond
	// abortTimeout bounds the time in which requests that are aborted at the end of the
	// grace period are answered, and exitTimeout that in which all else ends.
	abortTimeout = 150 * time.Millisecond
	exitTimeout  = 100 * time.Millisecond
)

// shutdown drains the host without interrupting requests: first the readiness
// check fails, then the listener closes, and in-flight requests complete.
func (h *host) shutdown(ctx context.Context) {
	limit := h.settings.Bounds.Grace.Std() - stopMargin
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	now := time.Now()
	h.stopping.Begin(now, now.Add(balancerDelay), now.Add(limit))
	h.draining.Store(true)
	h.callers.Drain()
	h.detours.server.Refuse()
	select {
	case <-ctx.Done():
	case <-time.After(balancerDelay):
	}
	h.callers.StopAccepting(ctx)
	h.detours.server.Stop(ctx)
	if ctx.Err() != nil {
		h.forwarder.Abort()
		h.callers.Close(abortTimeout)
	}
}

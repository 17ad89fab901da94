package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/drain"
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
	var stopped chan struct{}
	for {
		select {
		case err := <-ended:
			return errors.Wrap(err, "supervisor tree ended")
		case <-stopped:
			cancel()
			h.awaitEnd(ended)
			logrus.Info("stopped")
			return nil
		case received := <-signals:
			switch {
			case received == syscall.SIGHUP:
				h.reload()
			case h.stop.Begin(h.stopTiming()):
				logrus.WithField("signal", received.String()).Info("stopping")
				stopped = make(chan struct{})
				go func() {
					defer close(stopped)
					h.stop.Run(ctx, h.work, func(phase drain.Phase) { h.enterPhase(ctx, phase) })
				}()
			default:
				logrus.WithField("signal", received.String()).Info("already stopping; the signal changes nothing")
			}
		}
	}
}

// awaitEnd waits until the components have ended, up to the limit of the shutdown and for
// componentsTimeout at least.
func (h *host) awaitEnd(ended <-chan error) {
	left, _ := h.stop.Remaining()
	select {
	case <-ended:
	case <-time.After(max(left, componentsTimeout)):
		logrus.Warn("components still running at the end of the shutdown")
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

// closeTimeout bounds the end of the callers' server; the phase ends before if need be.
const closeTimeout = 2 * time.Second

// componentsTimeout is the time for the components to end after the limit of the shutdown. It
// is less than the time that is left for the process to exit.
const componentsTimeout = 100 * time.Millisecond

// stopTiming returns the bounds of a shutdown, which were checked when the settings were read.
func (h *host) stopTiming() drain.Timing {
	timing, err := h.settings.Bounds.StopTiming()
	if err != nil {
		logrus.WithError(err).Error("shutdown without time for requests")
	}
	return timing
}

// work returns what this host still has to do before its process may end.
func (h *host) work() drain.Work {
	return drain.Work{
		Requests: h.forwarder.Running(), Arriving: h.callers.Arriving(), Relays: h.detours.server.Relaying(),
		Connections: h.callers.Connections(),
	}
}

// enterPhase does what belongs to the start of a phase of the shutdown. All else asks
// h.stop.
func (h *host) enterPhase(ctx context.Context, phase drain.Phase) {
	switch phase {
	case drain.Draining:
		h.callers.CloseQuiet()
	case drain.Ending:
		h.forwarder.Abort()
	case drain.Closing:
		h.callers.StopListening(ctx)
		go h.callers.Close(closeTimeout)
	case drain.Serving, drain.Announced, drain.Ended:
	}
}

// Package daemon wires a host together: the root of the supervisor tree, its
// listeners and its shutdown.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/settings"
)

// Run runs a host until it is told to leave, and then shuts it down
// gracefully. A second signal ends it at once.
func Run(s *settings.Settings) error {
	if err := setUpLog(s.Log); err != nil {
		return err
	}
	invariant.SetFatal(s.FatalInvariants)
	sockets, err := listen(s.Listen)
	if err != nil {
		return err
	}
	host, err := newHost(s, sockets)
	if err != nil {
		sockets.close()
		return err
	}
	if err := sockets.writeAddressFile(s.Listen.AddressFile); err != nil {
		sockets.close()
		return err
	}
	return host.run()
}

// setUpLog makes logs one line of key=value pairs per event.
func setUpLog(s settings.Log) error {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return errors.Wrap(err, "set log.level in the settings to error, warning, info or debug")
	}
	logrus.SetLevel(level)
	logrus.AddHook(redactHook{})
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return nil
}

// run serves until a signal or an operator makes the host leave.
func (h *host) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := h.tree.ServeBackground(ctx)
	h.logStart()
	select {
	case err := <-ended:
		return errors.Wrap(err, "supervisor tree ended")
	case received := <-signals:
		logrus.WithField("signal", received.String()).Info("leaving")
	case operator := <-h.leaving:
		logrus.WithField("operator", operator).Info("leaving")
	}
	shutdownCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		received := <-signals
		logrus.WithField("signal", received.String()).Warn("second signal; ending at once")
		stop()
	}()
	h.shutdown(shutdownCtx)
	cancel()
	<-ended
	logrus.Info("stopped")
	return nil
}

func (h *host) logStart() {
	logrus.WithFields(logrus.Fields{
		"host":      h.settings.Host.Name,
		"zone":      h.settings.Host.Zone,
		"callers":   h.sockets.callers.Addr().String(),
		"operators": h.sockets.operators.Addr().String(),
		"peers":     h.sockets.peers.Addr().String(),
		"debug":     h.sockets.debug.Addr().String(),
	}).Info("serving")
}

// leaver makes the host leave at the first request.
type leaver struct {
	once    sync.Once
	leaving chan string
}

func newLeaver() *leaver { return &leaver{leaving: make(chan string, 1)} }

// leave asks for a graceful shutdown.
func (l *leaver) leave(operator string) {
	l.once.Do(func() { l.leaving <- operator })
}

// readSecret reads a secret from a file, without the newline at its end.
func readSecret(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrapf(err, "make %s readable", name)
	}
	return strings.TrimSpace(string(data)), nil
}

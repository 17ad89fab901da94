// Package daemon assembles the components of a bilberryslipd host: it builds
// the supervisor tree, opens the listeners and shuts the host down gracefully.
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

// Run runs a host until a signal or an operator requests shutdown, and then
// shuts it down gracefully. A second signal ends the graceful shutdown early;
// requests that still run are then answered as at its limit.
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

// setUpLog configures the log level, the redaction of callers' keys, and the
// format: one line of key=value pairs per event.
func setUpLog(s settings.Log) error {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return errors.Wrap(err, "parse log.level; set it to error, warning, info or debug")
	}
	logrus.SetLevel(level)
	logrus.AddHook(redactHook{})
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return nil
}

// run serves until a signal or an operator requests shutdown, and then drains
// the host and stops the supervisor tree.
func (h *host) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := h.tree.ServeBackground(ctx)
	h.logStart()
	signalled := false
	select {
	case err := <-ended:
		return errors.Wrap(err, "supervisor tree ended")
	case received := <-signals:
		signalled = true
		logrus.WithField("signal", received.String()).Info("leaving")
	case operator := <-h.shutdownRequested:
		logrus.WithField("operator", operator).Info("leaving")
	}
	shutdownCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		if !signalled { // by an operator: what stops the process sends its first signal
			logrus.WithField("signal", (<-signals).String()).Info("already leaving")
		}
		received := <-signals
		logrus.WithField("signal", received.String()).Warn("second signal; ending the graceful shutdown early")
		stop()
	}()
	h.shutdown(shutdownCtx)
	cancel()
	awaitExit(ended)
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

// shutdownTrigger starts the shutdown at the first request by an operator;
// later requests have no effect.
type shutdownTrigger struct {
	once sync.Once
	// shutdownRequested receives the name of the operator.
	shutdownRequested chan string
}

func newShutdownTrigger() *shutdownTrigger {
	return &shutdownTrigger{shutdownRequested: make(chan string, 1)}
}

// requestShutdown requests a graceful shutdown on behalf of an operator. It does
// not wait for it.
func (t *shutdownTrigger) requestShutdown(operator string) {
	t.once.Do(func() { t.shutdownRequested <- operator })
}

// readSecret returns the secret in a file without surrounding white space, or
// "" if no file is named.
func readSecret(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrapf(err, "read the secret file %s; check its permissions", name)
	}
	return strings.TrimSpace(string(data)), nil
}

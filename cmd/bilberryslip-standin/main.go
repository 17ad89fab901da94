// Command bilberryslip-standin stands in for what surrounds the system, for
// the demo, tests and measurements: the platform, a model engine, a plain
// service or callers.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// shutdownTimeout is how long running requests may take after SIGTERM.
const shutdownTimeout = 5 * time.Second

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run the platform: object API, host list, weight store"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"run a model engine"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"run a plain service"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send a load of requests to hosts"`
}

// command is one subcommand.
type command interface {
	listenAt() ListenOptions
	handler(ctx context.Context) (http.Handler, error)
}

// ListenOptions says where a stand-in listens.
type ListenOptions struct {
	Listen      string `arg:"--listen" default:"127.0.0.1:0" placeholder:"ADDRESS" help:"IP address and port; port 0 takes a free one"`
	AddressFile string `arg:"--address-file" placeholder:"FILE" help:"file to write the address to"`
}

func (l ListenOptions) listenAt() ListenOptions { return l }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Load != nil {
		exitOnError(args.Load.run())
		return
	}
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("name a subcommand: platform, engine, service or load")
	}
	exitOnError(run(chosen))
}

func exitOnError(err error) {
	if err != nil {
		logrus.WithError(err).Error("stand-in failed")
		os.Exit(1)
	}
}

func run(chosen command) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	handler, err := chosen.handler(ctx)
	if err != nil {
		return err
	}
	where := chosen.listenAt()
	socket, err := net.Listen("tcp", where.Listen)
	if err != nil {
		return errors.Wrap(err, "choose a free address with -listen")
	}
	if err := announce(socket.Addr().String(), where.AddressFile); err != nil {
		return err
	}
	return serve(ctx, socket, handler)
}

// announce tells the address; the file appears whole or not at all.
func announce(address, file string) error {
	logrus.WithField("address", address).Info("listening")
	if file == "" {
		return nil
	}
	partial := file + ".partial"
	if err := os.WriteFile(partial, []byte(address+"\n"), 0o600); err != nil {
		return errors.Wrap(err, "name a writable file with -address-file")
	}
	return errors.Wrap(os.Rename(partial, file), "name a writable file with -address-file")
}

// serve ends once ctx does. Requests, such as watches, end with ctx after the
// shutdown timeout.
func serve(ctx context.Context, socket net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(socket) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	deadline, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(deadline) != nil {
		_ = server.Close()
	}
	logrus.Info("stopped")
	return nil
}

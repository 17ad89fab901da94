// Command bilberryslip-standin runs stand-ins for the systems around
// Bilberryslip, for the demo, tests and measurements: the users' platform, a
// model engine, a plain service or callers.
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

// shutdownTimeout is how long requests in flight may take after SIGTERM. It also
// bounds the time to read a request header.
const shutdownTimeout = 5 * time.Second

// arguments are the subcommands of the tool.
type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run the platform: object API, host list, weight store"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"run a model engine"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"run a plain service"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send a load of requests to hosts"`
}

// command is a subcommand that serves HTTP.
type command interface {
	listenOptions() ListenOptions
	// handler returns the handler to serve. Background work that it starts ends
	// with ctx.
	handler(ctx context.Context) (http.Handler, error)
}

// ListenOptions are the flags that set the listen address of a stand-in.
type ListenOptions struct {
	Listen      string `arg:"--listen" default:"127.0.0.1:0" placeholder:"ADDRESS" help:"IP address and port; port 0 selects a free one"`
	AddressFile string `arg:"--address-file" placeholder:"FILE" help:"file to write the address to"`
}

func (l ListenOptions) listenOptions() ListenOptions { return l }

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
	options := chosen.listenOptions()
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return errors.Wrap(err, "listen; choose a free address with --listen")
	}
	if err := announce(listener.Addr().String(), options.AddressFile); err != nil {
		return err
	}
	return serve(ctx, listener, handler)
}

// announce logs the address and writes it to the file, if one is named. It
// renames a temporary file, so that a reader never sees a partial one.
func announce(address, file string) error {
	logrus.WithField("address", address).Info("listening")
	if file == "" {
		return nil
	}
	temporary := file + ".partial"
	if err := os.WriteFile(temporary, []byte(address+"\n"), 0o600); err != nil {
		return errors.Wrap(err, "write the address file; name a writable one with --address-file")
	}
	return errors.Wrap(os.Rename(temporary, file), "write the address file; name a writable one with --address-file")
}

// serve serves requests until ctx ends. Requests still in flight, such as
// watches, are closed after the shutdown timeout.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
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

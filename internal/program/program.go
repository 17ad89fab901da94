// Package program implements the main function of the daemons: it parses the
// arguments, loads the settings and sets the exit code.
package program

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"bilberryslip.example/bilberryslip/internal/version"
)

// The exit codes of the daemons.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// arguments are the command-line arguments of a daemon.
type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file in JSON" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`

	// program is the name of the daemon.
	program string
}

// Version implements arg.Versioned.
func (a arguments) Version() string { return a.program + " " + version.String() }

// Main loads the settings file named in the arguments and calls run with its
// path and settings. With --check it only reports whether the settings are
// valid. On an error it exits the process with code 2 for invalid settings, or 1
// if run failed.
func Main[S any](name string, load func(path string) (S, error), run func(path string, settings *S) error) {
	args := arguments{program: name}
	arg.MustParse(&args)
	loaded, err := load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if args.Check {
		fmt.Println("the settings are valid")
		return
	}
	if err := run(args.Settings, &loaded); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

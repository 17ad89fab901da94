// Package program is the start of the daemons: arguments, checked settings and
// exit codes.
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

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file in JSON" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`

	program string
}

// Version implements arg.Versioned.
func (a arguments) Version() string { return a.program + " " + version.String() }

// Main loads the settings named by the arguments and runs a program with them.
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

// Command bilberryslipd is the daemon that runs on every entry host.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"bilberryslip.example/bilberryslip/internal/daemon"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/internal/version"
)

// The exit codes of the daemon.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file in JSON" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "bilberryslipd " + version.String() }

func main() {
	var args arguments
	arg.MustParse(&args)
	loaded, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if args.Check {
		fmt.Println("the settings are valid")
		return
	}
	if err := daemon.Run(&loaded); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

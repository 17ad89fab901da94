// Command bilberryslip-edge is the daemon that forwards routed requests on
// every entry host of the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"bilberryslip.example/bilberryslip/internal/edge"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/internal/version"
	"bilberryslip.example/bilberryslip/platform"
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
func (arguments) Version() string { return "bilberryslip-edge " + version.String() }

func main() {
	var args arguments
	arg.MustParse(&args)
	loaded, err := settings.LoadEdge(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if args.Check {
		fmt.Println("the settings are valid")
		return
	}
	if err := edge.Run(args.Settings, &loaded, platform.NewAdapter(&loaded)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// Package cli implements the operators' command-line tool: one file per verb.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// program is the name in usage texts.
const program = "bilberryslip"

// arguments is the whole command line.
type arguments struct {
	Server    []string      `arg:"-s,--server,separate,env:BILBERRYSLIP_SERVER" help:"operators' URL of a host; more are tried in turn" placeholder:"URL"`
	TokenFile string        `arg:"--token-file,env:BILBERRYSLIP_TOKEN_FILE" help:"file that holds the operator token" placeholder:"FILE"`
	Output    string        `arg:"-o,--output" default:"table" help:"table or json"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"limit on the whole command"`

	Apply     *applyCommand     `arg:"subcommand:apply" help:"create or update objects from a file"`
	Get       *getCommand       `arg:"subcommand:get" help:"show one object"`
	List      *listCommand      `arg:"subcommand:list" help:"list the objects of a kind"`
	Delete    *deleteCommand    `arg:"subcommand:delete" help:"delete one object"`
	Key       *keyCommand       `arg:"subcommand:key" help:"grant or withdraw a key"`
	Drain     *drainCommand     `arg:"subcommand:drain" help:"stop new work to an endpoint or a host"`
	Forget    *forgetCommand    `arg:"subcommand:forget" help:"declare a host dead, so that its shares are freed"`
	Decisions *decisionsCommand `arg:"subcommand:decisions" help:"query the record of decisions"`
	State     *stateCommand     `arg:"subcommand:state" help:"dump the state of a host"`
	Status    *statusCommand    `arg:"subcommand:status" help:"show which revision is in force on which host"`
	Version   *versionCommand   `arg:"subcommand:version" help:"show the version of this tool"`
}

// verb is one subcommand.
type verb interface {
	// run carries the verb out.
	run(ctx context.Context, s *session) error
	// example returns one line that shows the verb's use.
	example() string
}

// session is what a verb works with.
type session struct {
	client *client
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	json   bool
}

// Run parses the command line, carries it out and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: program}, &parsed)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(parser, out)
		return exitOK
	case err != nil:
		return usageError(parser, errOut, err)
	}
	chosen, ok := parser.Subcommand().(verb)
	if !ok {
		return usageError(parser, errOut, errors.New("name a subcommand"))
	}
	if parsed.Output != "table" && parsed.Output != "json" {
		return usageError(parser, errOut, errors.Newf("output %q is not known; write table or json", parsed.Output))
	}
	return execute(&parsed, chosen, &session{in: in, out: out, errOut: errOut, json: parsed.Output == "json"})
}

func execute(parsed *arguments, chosen verb, s *session) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, parsed.Timeout)
	defer cancel()
	client, err := newClient(parsed.Server, parsed.TokenFile)
	if err != nil {
		return reportError(s.errOut, err)
	}
	s.client = client
	if err := chosen.run(ctx, s); err != nil {
		return reportError(s.errOut, err)
	}
	return exitOK
}

func writeHelp(parser *arg.Parser, out io.Writer) {
	names := parser.SubcommandNames()
	if err := parser.WriteHelpForSubcommand(out, names...); err != nil {
		return
	}
	if chosen, ok := parser.Subcommand().(verb); ok {
		fmt.Fprintf(out, "\nExample:\n  %s\n", chosen.example())
		return
	}
	fmt.Fprint(out, exitCodeHelp)
}

func usageError(parser *arg.Parser, errOut io.Writer, err error) int {
	fmt.Fprintf(errOut, "%s: %v\n", program, err)
	_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
	return exitUsage
}

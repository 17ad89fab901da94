// Package cli implements the operators' command-line tool, with one file per
// subcommand.
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

// program is the name of the tool in usage texts and error messages.
const program = "bilberryslip"

// arguments are the global flags and the subcommands.
type arguments struct {
	Server    []string      `arg:"-s,--server,separate,env:BILBERRYSLIP_SERVER" help:"operators' URL of a host; repeat to name hosts that are tried in turn" placeholder:"URL"`
	TokenFile string        `arg:"--token-file,env:BILBERRYSLIP_TOKEN_FILE" help:"file that holds the operator token" placeholder:"FILE"`
	Output    string        `arg:"-o,--output" default:"table" help:"output format: table or json"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"time limit for the whole command"`

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
	Stop      *stopCommand      `arg:"subcommand:stop" help:"show how far the shutdowns of hosts have come, and what runs there"`
	Version   *versionCommand   `arg:"subcommand:version" help:"show the version of this tool"`
}

// command is a subcommand.
type command interface {
	// run executes the subcommand and prints its result.
	run(ctx context.Context, s *session) error
	// example returns a command line that shows the use of the subcommand.
	example() string
}

// session holds the client, the streams and the output format of one run of the
// tool.
type session struct {
	client *client
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	json   bool
}

// Run parses the command line, executes the subcommand and returns the exit
// code. args do not include the program name.
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
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		return usageError(parser, errOut, errors.New("name a subcommand"))
	}
	if parsed.Output != "table" && parsed.Output != "json" {
		return usageError(parser, errOut, errors.Newf("output %q is not known; write table or json", parsed.Output))
	}
	return execute(&parsed, chosen, &session{in: in, out: out, errOut: errOut, json: parsed.Output == "json"})
}

func execute(parsed *arguments, chosen command, s *session) int {
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

// writeHelp prints the help text of the chosen subcommand with an example, or
// the general help text with the exit codes.
func writeHelp(parser *arg.Parser, out io.Writer) {
	names := parser.SubcommandNames()
	if err := parser.WriteHelpForSubcommand(out, names...); err != nil {
		return
	}
	if chosen, ok := parser.Subcommand().(command); ok {
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

// Package cmds implements the command line.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/hint"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/config"
)

// Name is the name of the program.
const Name = "sassafrasvalve"

// The exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1 // failed, or rejected by the fleet
	ExitUsage       = 2 // invalid command line, configuration or settings
	ExitUnknown     = 3 // it is unknown whether the record has been appended
	ExitUnreachable = 4 // no entry could be reached
)

// Streams holds the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Runners holds the functions of the long-running commands, which other packages provide.
// Their context is cancelled at the first SIGINT or SIGTERM.
type Runners struct {
	RunDaemon func(ctx context.Context, s config.Settings) error
	// RunEntry runs an entry on the platform with the settings file at path.
	RunEntry func(ctx context.Context, path string) error
	RunDemo  func(ctx context.Context, out io.Writer) error
}

// Main executes the command line and returns the exit code. args[0] is the name of the program.
func Main(args []string, streams Streams, runners Runners) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot(streams, runners).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	f := failureOf(err)
	if f.message != "" {
		// If standard error is closed, only the exit code reports the failure.
		_, _ = fmt.Fprintf(streams.Err, "%s: %s\n", Name, strings.TrimRight(f.message, "\n"))
	}
	return f.code
}

// failure is an error with an exit code.
type failure struct {
	code    int
	message string
}

// Error returns the message.
func (f *failure) Error() string { return f.message }

// failed returns a failure with an exit code and a formatted message.
func failed(code int, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// failureOf converts any error to a failure with the exit code for its type.
func failureOf(err error) *failure {
	var f *failure
	var unreachable *admin.UnreachableError
	var answer *admin.AnswerError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &unreachable):
		return failed(ExitUnreachable, "%v\ncheck the addresses given with --entry and that the entries run", err)
	case errors.As(err, &answer) && len(answer.Problems) > 0:
		var b strings.Builder
		for _, p := range answer.Problems {
			b.WriteString("\n" + p.Error())
		}
		return failed(ExitUsage, "%v%s", answer, b.String())
	default:
		return failed(ExitFailed, "%v", err)
	}
}

// newRoot returns the root command with all its subcommands.
func newRoot(streams Streams, runners Runners) *cli.Command {
	b := builder{streams: streams}
	root := b.group("", "Run entries and drive the fleet",
		b.daemon(runners), b.entry(runners), b.demo(runners), b.configs(), b.vms(), b.pools(), b.services(),
		b.waves(), b.members(), b.jobs(), b.stored(), b.version())
	root.Name = Name
	root.Flags = []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "operator API of an entry as http://IP:port; may be repeated, tried in turn"},
		&cli.StringFlag{Name: "output", Value: outputText, Usage: "text or json"},
		&cli.DurationFlag{Name: "timeout", Value: admin.DefaultTimeout, Usage: "of one request to one entry, and of --wait"},
		&cli.StringFlag{Name: "writer", Value: "operator", Usage: "operator's name, as shown in histories"},
	}
	root.Reader, root.Writer, root.ErrWriter = streams.In, streams.Out, streams.Err
	root.HideVersion = true
	root.EnableShellCompletion = true
	root.ConfigureShellCompletionCommand = func(c *cli.Command) {
		c.Hidden = false
		c.Usage = "Print the completion script of a shell: bash, zsh, fish or pwsh"
	}
	root.Before = checkGlobals
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // Main prints the error and returns the exit code
	return root
}

// The values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// checkGlobals validates the global flags.
func checkGlobals(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	if o := cmd.String("output"); o != outputText && o != outputJSON {
		return ctx, failed(ExitUsage, "--output %q is not known: use %s or %s", o, outputText, outputJSON)
	}
	if t := cmd.Duration("timeout"); t < time.Millisecond {
		return ctx, failed(ExitUsage, "--timeout %v is too short: use at least 1ms, such as 10s", t)
	}
	return ctx, nil
}

// builder creates commands that write to its streams.
type builder struct {
	streams Streams
}

// group returns a command that only has subcommands and fails if called without one.
func (b builder) group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Commands: commands, HideHelpCommand: true, OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			known := make([]string, 0, len(commands))
			for _, c := range cmd.VisibleCommands() {
				known = append(known, c.Name)
			}
			if word := cmd.Args().First(); word != "" {
				return failed(ExitUsage, "%s has no command %q: %s", cmd.FullName(), word, hint.Suggest(word, known))
			}
			return failed(ExitUsage, "%s needs a command: %s; see %s --help", cmd.FullName(), strings.Join(known, ", "), cmd.FullName())
		},
	}
}

// action executes a command.
type action func(ctx context.Context, s *session) error

// command returns a command without subcommands that takes exactly the positional arguments named in args.
func (b builder) command(name, args, usage string, run action, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Flags: flags, HideHelpCommand: true, OnUsageError: usageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			names := strings.Fields(args)
			if cmd.Args().Len() != len(names) {
				return failed(ExitUsage, "%s takes %q but got %d arguments: see %s --help",
					cmd.FullName(), args, cmd.Args().Len(), cmd.FullName())
			}
			return run(ctx, &session{cmd: cmd, streams: b.streams})
		},
	}
}

// usageError converts an error of the flag parser to a failure with ExitUsage.
func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return failed(ExitUsage, "%v: see %s --help", err, cmd.FullName())
}

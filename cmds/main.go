// Package cmds is the command line.
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
	ExitUsage       = 2 // wrong command line, or invalid configuration or settings
	ExitUnknown     = 3 // the record may or may not have been appended
	ExitUnreachable = 4 // no entry could be reached
)

// Streams are the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Runners are the long-running parts of the program, which other packages provide.
// Their context ends at the first SIGINT or SIGTERM.
type Runners struct {
	RunDaemon func(ctx context.Context, s config.Settings) error
	// RunEntry runs an entry on the platform with the settings file at path.
	RunEntry func(ctx context.Context, path string) error
	RunDemo  func(ctx context.Context, out io.Writer) error
}

// Main runs the command line and returns the exit code. args[0] is the program's name.
func Main(args []string, streams Streams, runners Runners) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot(streams, runners).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	f := failureOf(err)
	if f.message != "" {
		// Nothing can be done if standard error is closed; the exit code tells.
		_, _ = fmt.Fprintf(streams.Err, "%s: %s\n", Name, strings.TrimRight(f.message, "\n"))
	}
	return f.code
}

// failure is an error with the exit code that it leads to.
type failure struct {
	code    int
	message string
}

// Error returns the message.
func (f *failure) Error() string { return f.message }

// failed returns a failure with a formatted message.
func failed(code int, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// failureOf finds the exit code and the message of any error.
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

// newRoot returns the command tree.
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
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // Main prints and sets the code
	return root
}

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// checkGlobals checks the global flags.
func checkGlobals(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	if o := cmd.String("output"); o != outputText && o != outputJSON {
		return ctx, failed(ExitUsage, "--output %q is not known: use %s or %s", o, outputText, outputJSON)
	}
	if t := cmd.Duration("timeout"); t < time.Millisecond {
		return ctx, failed(ExitUsage, "--timeout %v is too short: use at least 1ms, such as 10s", t)
	}
	return ctx, nil
}

// builder makes the commands of the tree.
type builder struct {
	streams Streams
}

// group returns a command that only holds others.
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

// action is what a command does.
type action func(ctx context.Context, s *session) error

// leaf returns a command that takes exactly the positional arguments named in args.
func (b builder) leaf(name, args, usage string, do action, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Flags: flags, HideHelpCommand: true, OnUsageError: usageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			want := strings.Fields(args)
			if cmd.Args().Len() != len(want) {
				return failed(ExitUsage, "%s takes %q but got %d arguments: see %s --help",
					cmd.FullName(), args, cmd.Args().Len(), cmd.FullName())
			}
			return do(ctx, &session{cmd: cmd, streams: b.streams})
		},
	}
}

// usageError turns an error of the flag parser into a failure.
func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return failed(ExitUsage, "%v: see %s --help", err, cmd.FullName())
}

package cmds

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/config"
)

// waitInterval is the time between two questions whether a configuration is in force.
// It is due within 3 s.
const waitInterval = 200 * time.Millisecond

// configs returns the commands on the fleet configuration.
func (b builder) configs() *cli.Command {
	return b.group("config", "Check, compare and apply the fleet configuration",
		b.leaf("check", "DIR", "Report every problem of a configuration folder", configCheck),
		b.leaf("diff", "DIR", "Show what a configuration folder changes in the configuration in force", configDiff),
		b.leaf("apply", "DIR", "Put a configuration folder in force", configApply, writeFlags(
			&cli.IntFlag{Name: "base", Value: -1, DefaultText: "the one in force", Usage: "version that the folder replaces; rejected if another is in force"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until every live entry has it in force"})...),
		b.leaf("settle", "ID", "Find the outcome of a record whose outcome is unknown", configSettle),
		b.leaf("show", "", "Show the version in force on each entry", configShow),
	)
}

// checkResult is the output of config check.
type checkResult struct {
	Problems []config.Problem
	Fleet    *spec.Fleet `json:",omitempty"` // merged from all files, if there are no problems
}

// load reads the configuration folder given as the first argument.
func (s *session) load() (spec.Fleet, error) {
	f, problems := config.LoadFleet(s.arg())
	if len(problems) > 0 {
		return f, failed(ExitUsage, "the configuration is not valid; nothing was sent\n%s", config.Report(problems))
	}
	return f, nil
}

// configCheck reports every problem of a folder.
func configCheck(_ context.Context, s *session) error {
	f, problems := config.LoadFleet(s.arg())
	if s.json() {
		out := checkResult{Problems: append([]config.Problem{}, problems...)}
		if len(problems) == 0 {
			out.Fleet = &f
		}
		if err := s.print(out, nil); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return failed(ExitUsage, "the configuration is not valid\n%s", config.Report(problems))
	}
	if !s.json() {
		return s.write("ok: " + sizes(f) + "\n")
	}
	return nil
}

// diffResult is the output of config diff.
type diffResult struct {
	Version int // in force, to be given as --base
	Offset  int64
	Changes []spec.Change
}

// configDiff shows what a folder would change.
func configDiff(ctx context.Context, s *session) error {
	f, err := s.load()
	if err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	status, err := c.Config(ctx)
	if err != nil {
		return err
	}
	out := diffResult{Version: status.Version, Offset: status.Offset, Changes: append([]spec.Change{}, spec.Diff(status.Fleet, f)...)}
	return s.print(out, func(w *strings.Builder) {
		for _, change := range out.Changes {
			fmt.Fprintln(w, clean(change.String()))
		}
		fmt.Fprintf(w, "%d changes to version %d (offset %d)\n", len(out.Changes), out.Version, out.Offset)
	})
}

// configApply puts a folder in force.
func configApply(ctx context.Context, s *session) error {
	f, err := s.load()
	if err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	id, err := s.recordID()
	if err != nil {
		return err
	}
	base := s.cmd.Int("base")
	switch {
	case s.cmd.IsSet("base") && base < 0:
		return failed(ExitUsage, "--base %d is not a version: give the one that config diff showed; 0 if none was ever applied", base)
	case !s.cmd.IsSet("base") && s.cmd.IsSet("id"):
		return failed(ExitUsage, "--id without --base could repeat the record on another version: give the --base of the earlier run")
	case !s.cmd.IsSet("base"):
		status, err := c.Config(ctx)
		if err != nil {
			return err
		}
		base = status.Version
	}
	d, err := c.Apply(ctx, admin.ApplyRequest{
		ID: id, Base: base, Fleet: f, Writer: s.cmd.String("writer"), Reason: s.cmd.String("reason"),
	})
	if err := s.decide(d, err); err != nil {
		return s.adviseApply(err, d, base)
	}
	if s.cmd.Bool("wait") {
		return s.waitInForce(ctx, c, d.Version)
	}
	return nil
}

// adviseApply adds what to do about a configuration that was not accepted.
func (s *session) adviseApply(err error, d admin.Decision, base int) error {
	switch d.Outcome {
	case admin.Rejected:
		return failed(ExitFailed, "%v\nthe folder was applied on version %d; see what is in force with config diff %s and apply again with its version as --base",
			err, base, s.arg())
	case admin.Unknown:
		return failed(ExitUnknown, "%v\nor repeat it, which applies it at most once: %s --entry %s config apply %s --base %d --id %s",
			err, Name, strings.Join(s.cmd.StringSlice("entry"), " --entry "), s.arg(), base, d.ID)
	default:
		return err
	}
}

// waitInForce waits until every entry that reports has at least the version in force.
func (s *session) waitInForce(ctx context.Context, c *admin.Client, version int) error {
	ctx, cancel := context.WithTimeout(ctx, s.cmd.Duration("timeout"))
	defer cancel()
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	behind := []string{"all entries"}
	for {
		if status, err := c.Config(ctx); err == nil {
			if behind = entriesBehind(status, version); len(behind) == 0 {
				if s.json() {
					return nil
				}
				return s.write(fmt.Sprintf("in force on %d entries\n", len(status.Entries)))
			}
		}
		select {
		case <-ctx.Done():
			return failed(ExitFailed, "version %d is accepted, but after %v it is not known to be in force on %s: see config show",
				version, s.cmd.Duration("timeout"), strings.Join(behind, ", "))
		case <-tick.C:
		}
	}
}

// entriesBehind returns the entries that report an older version. Silent entries are
// left out: without a view lease they serve nothing.
func entriesBehind(status admin.ConfigStatus, version int) []string {
	if status.Version < version {
		return []string{"the entry that answered"}
	}
	var out []string
	for _, e := range status.Entries {
		if !e.Silent && e.Version < version {
			out = append(out, e.Member)
		}
	}
	return out
}

// configSettle finds the outcome of a record.
func configSettle(ctx context.Context, s *session) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	r, err := c.Settle(ctx, s.arg())
	if err != nil {
		return err
	}
	if r.Outcome == admin.Unknown && r.Reason == "" {
		r.Reason = fmt.Sprintf("it is not in the log up to offset %d; a delayed append may still follow, "+
			"so ask again, or repeat the command that wrote it with --id %s", r.Through, r.ID)
	}
	return s.decide(r.Decision, nil)
}

// configShow shows the version in force.
func configShow(ctx context.Context, s *session) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	status, err := c.Config(ctx)
	if err != nil {
		return err
	}
	return s.print(status, func(w *strings.Builder) {
		fmt.Fprintf(w, "version %d, offset %d, by %s\n", status.Version, status.Offset, clean(status.Writer))
		w.WriteString(sizes(status.Fleet) + "\n")
		rows := rowsOf([]string{"MEMBER", "ADMIN", "VERSION", "OFFSET", "AS OF", "STATE"}, status.Entries, func(e admin.EntryStatus) []string {
			return []string{
				e.Member, e.Admin, strconv.Itoa(e.Version), strconv.FormatInt(e.Offset, 10),
				e.AsOf.UTC().Format(time.RFC3339), entryState(e, status.Version),
			}
		})
		table(w, rows...)
	})
}

// sizes says how many elements of each kind a configuration has.
func sizes(f spec.Fleet) string {
	return fmt.Sprintf("%d pools, %d services, %d classes, %d tenants", len(f.Pools), len(f.Services), len(f.Classes), len(f.Tenants))
}

// entryState says how an entry stands to the version in force.
func entryState(e admin.EntryStatus, version int) string {
	switch {
	case e.Silent:
		return "silent"
	case e.Version < version:
		return "behind"
	default:
		return "in force"
	}
}

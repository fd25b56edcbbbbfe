package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/config"
)

// waitInterval is the interval of the polls whether a configuration is in force, which must
// be the case within 3 s.
const waitInterval = 200 * time.Millisecond

// configs returns the commands for the fleet configuration.
func (b builder) configs() *cli.Command {
	return b.group("config", "Check, compare and apply the fleet configuration",
		b.command("check", "DIR", "Report every problem of a configuration folder", configCheck),
		b.command("digest", "", "Print the digest of an API key on standard input, for Keys of a tenant", configDigest),
		b.command("diff", "DIR", "Show what a configuration folder changes in the configuration in force", configDiff),
		b.command("apply", "DIR", "Put a configuration folder in force", configApply, writeFlags(
			&cli.IntFlag{Name: "base", Value: -1, DefaultText: "the one in force", Usage: "version that the folder replaces; rejected if another is in force"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until every live entry has it in force"})...),
		b.command("settle", "ID", "Find the outcome of a record whose outcome is unknown", configSettle),
		b.command("show", "", "Show the version in force on each entry", configShow),
	)
}

// checkResult is the output of config check.
type checkResult struct {
	Problems []config.Problem
	Fleet    *spec.Fleet `json:",omitempty"` // merged from all files; nil if there are problems
}

// loadFleet reads the configuration folder given as the first argument.
func (s *session) loadFleet() (spec.Fleet, error) {
	f, problems := config.LoadFleet(s.arg())
	if len(problems) > 0 {
		return f, failed(ExitUsage, "the configuration is not valid; nothing was sent\n%s", config.Report(problems))
	}
	return f, nil
}

// configCheck reports all problems of a configuration folder.
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
		return s.write("ok: " + elementCounts(f) + "\n")
	}
	return nil
}

// maxKeyBytes is the largest API key. It fits into the request header at the lowest Limits.MaxHeaderBytes.
const maxKeyBytes = 2048

// digestResult is the output of config digest.
type digestResult struct{ Digest string }

// configDigest prints the digest of the API key on standard input. The line break that ends the input does not belong to the key.
func configDigest(_ context.Context, s *session) error {
	data, err := io.ReadAll(io.LimitReader(s.streams.In, maxKeyBytes+int64(len("\r\n"))+1))
	if err != nil {
		return failed(ExitFailed, "read the key: %v", err)
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	isVisible := func(r rune) bool { return r > ' ' && r <= '~' }
	if key == "" || len(key) > maxKeyBytes || strings.TrimFunc(key, isVisible) != "" {
		return failed(ExitUsage, "standard input does not hold an API key: give one line of 1 to %d visible ASCII characters", maxKeyBytes)
	}
	digest := string(spec.DigestKey(key))
	return s.print(digestResult{digest}, func(w *strings.Builder) { fmt.Fprintln(w, digest) })
}

// diffResult is the output of config diff.
type diffResult struct {
	Version int // version in force, for --base of config apply
	Offset  int64
	Changes []spec.Change
}

// configDiff shows the changes that applying a configuration folder would make.
func configDiff(ctx context.Context, s *session) error {
	f, err := s.loadFleet()
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
			fmt.Fprintln(w, sanitize(change.String()))
		}
		fmt.Fprintf(w, "%d changes to version %d (offset %d)\n", len(out.Changes), out.Version, out.Offset)
	})
}

// configApply applies a configuration folder.
func configApply(ctx context.Context, s *session) error {
	f, err := s.loadFleet()
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
	if err := s.printDecision(d, err); err != nil {
		return s.addApplyAdvice(err, d, base)
	}
	if s.cmd.Bool("wait") {
		return s.waitInForce(ctx, c, d.Version)
	}
	return nil
}

// addApplyAdvice adds to err how to proceed after an apply that was rejected or whose outcome is unknown.
func (s *session) addApplyAdvice(err error, d admin.Decision, base int) error {
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

// waitInForce waits until all entries that are not silent have at least this version in force.
func (s *session) waitInForce(ctx context.Context, c *admin.Client, version int) error {
	ctx, cancel := context.WithTimeout(ctx, s.cmd.Duration("timeout"))
	defer cancel()
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	outdated := []string{"all entries"}
	for {
		if status, err := c.Config(ctx); err == nil {
			if outdated = outdatedEntries(status, version); len(outdated) == 0 {
				if s.json() {
					return nil
				}
				return s.write(fmt.Sprintf("in force on %d entries\n", len(status.Entries)))
			}
		}
		select {
		case <-ctx.Done():
			return failed(ExitFailed, "version %d is accepted, but after %v it is not known to be in force on %s: see config show",
				version, s.cmd.Duration("timeout"), strings.Join(outdated, ", "))
		case <-tick.C:
		}
	}
}

// outdatedEntries returns the entries that report an older version. Silent entries are
// omitted, since an entry without a view lease serves no requests.
func outdatedEntries(status admin.ConfigStatus, version int) []string {
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

// configSettle prints the outcome of a record whose outcome was unknown.
func configSettle(ctx context.Context, s *session) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	r, err := c.ResolveOutcome(ctx, s.arg())
	if err != nil {
		return err
	}
	if r.Outcome == admin.Unknown && r.Reason == "" {
		r.Reason = fmt.Sprintf("it is not in the log up to offset %d; a delayed append may still follow, "+
			"so ask again, or repeat the command that wrote it with --id %s", r.Through, r.ID)
	}
	return s.printDecision(r.Decision, nil)
}

// configShow prints the version in force on each entry.
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
		fmt.Fprintf(w, "version %d, offset %d, by %s\n", status.Version, status.Offset, sanitize(status.Writer))
		w.WriteString(elementCounts(status.Fleet) + "\n")
		rows := rowsOf([]string{"MEMBER", "ADMIN", "VERSION", "OFFSET", "AS OF", "STATE"}, status.Entries, func(e admin.EntryStatus) []string {
			return []string{
				e.Member, e.Admin, strconv.Itoa(e.Version), strconv.FormatInt(e.Offset, 10),
				e.AsOf.UTC().Format(time.RFC3339), entryState(e, status.Version),
			}
		})
		table(w, rows...)
	})
}

// elementCounts returns the number of elements of each kind in a configuration, as text.
func elementCounts(f spec.Fleet) string {
	return fmt.Sprintf("%d pools, %d services, %d classes, %d tenants", len(f.Pools), len(f.Services), len(f.Classes), len(f.Tenants))
}

// entryState returns the state of an entry relative to the version in force.
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

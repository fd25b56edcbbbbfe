package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"sassafrasvalve/io/admin"
)

// session is one execution of a command.
type session struct {
	cmd     *cli.Command
	streams Streams
}

// arg returns the first positional argument.
func (s *session) arg() string { return s.cmd.Args().First() }

// client returns a client of the entries given with --entry. It returns a failure if there are none or one is invalid.
func (s *session) client() (*admin.Client, error) {
	entries := s.cmd.StringSlice("entry")
	if len(entries) == 0 {
		return nil, failed(ExitUsage, "no entry is given: add --entry http://IP:port, the admin address of an entry")
	}
	for _, e := range entries {
		u, err := url.Parse(e)
		if err == nil && u.Scheme == "http" && strings.Trim(u.Path, "/") == "" && u.RawQuery == "" && u.User == nil {
			if _, err = netip.ParseAddrPort(u.Host); err == nil {
				continue
			}
		}
		return nil, failed(ExitUsage, "--entry %q is not the address of an entry: write it as http://IP:port; host names are not looked up", e)
	}
	return admin.NewClient(admin.ClientConfig{Entries: entries, Timeout: s.cmd.Duration("timeout")}), nil
}

// json reports whether the output format is JSON.
func (s *session) json() bool { return s.cmd.String("output") == outputJSON }

// write writes to standard output.
func (s *session) write(text string) error {
	if _, err := io.WriteString(s.streams.Out, text); err != nil {
		return failed(ExitFailed, "write the output: %v", err)
	}
	return nil
}

// print writes v as JSON or, with text output, what text writes.
func (s *session) print(v any, text func(w *strings.Builder)) error {
	if s.json() {
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return failed(ExitFailed, "encode the output: %v", err)
		}
		return s.write(string(data) + "\n")
	}
	var w strings.Builder
	text(&w)
	return s.write(w.String())
}

// recordID returns the ID given with --id, which must be a UUID, or a new one.
func (s *session) recordID() (string, error) {
	id := s.cmd.String("id")
	if id == "" {
		return uuid.NewString(), nil
	}
	if _, err := uuid.Parse(id); err != nil {
		return "", failed(ExitUsage, "--id %q is not a UUID: repeat the ID that the earlier run printed", id)
	}
	return id, nil
}

// writeFlags returns more and the flags that all commands share that write a record.
func writeFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringFlag{Name: "id", Usage: "UUID of the record, to repeat a run whose outcome is unknown"},
		&cli.StringFlag{Name: "reason", Usage: "shown in histories"},
	)
}

// printDecision prints the outcome of a write. It returns a failure unless the write was accepted.
func (s *session) printDecision(d admin.Decision, err error) error {
	if err != nil {
		return err
	}
	text := func(w *strings.Builder) {
		if d.Outcome != admin.Accepted {
			return
		}
		fmt.Fprintf(w, "accepted at offset %d", d.Offset)
		if d.Version > 0 {
			fmt.Fprintf(w, " as version %d", d.Version)
		}
		fmt.Fprintf(w, " (record %s)\n", d.ID)
	}
	if err := s.print(d, text); err != nil {
		return err
	}
	switch d.Outcome {
	case admin.Accepted:
		return nil
	case admin.Rejected:
		return failed(ExitFailed, "rejected at offset %d: %s", d.Offset, sanitize(d.Reason))
	default:
		return failed(ExitUnknown, "the outcome of record %s is unknown: it may still be appended\n%s\nsettle it with: %s --entry %s config settle %s",
			d.ID, sanitize(d.Reason), Name, strings.Join(s.cmd.StringSlice("entry"), " --entry "), d.ID)
	}
}

// rowsOf returns the header and one row per element.
func rowsOf[T any](header []string, list []T, row func(T) []string) [][]string {
	rows := make([][]string, 0, len(list)+1)
	rows = append(rows, header)
	for _, e := range list {
		rows = append(rows, row(e))
	}
	return rows
}

// table writes rows in aligned columns, with "-" for an empty cell.
func table(w *strings.Builder, rows ...[]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		for i := range r {
			if r[i] = strings.ReplaceAll(sanitize(r[i]), "\n", " "); r[i] == "" {
				r[i] = "-"
			}
		}
		_, _ = t.Write([]byte(strings.Join(r, "\t") + "\n")) // writing to a strings.Builder never fails
	}
	_ = t.Flush()
}

// sanitize replaces control characters other than newlines, with which texts from
// the log could manipulate the operator's terminal.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r != '\n' && unicode.IsControl(r) {
			return '?'
		}
		return r
	}, s)
}

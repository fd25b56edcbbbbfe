package plays

import (
	"fmt"
	"io"
)

// Write writes the findings and the regressions of the newest entries.
func Write(w io.Writer, all, newest []Entry) error {
	for i := range newest {
		e := &newest[i]
		if _, err := fmt.Fprintf(w, "%s %s %s of %.7s, %d days\n", e.ID, e.Site, e.Cmd, e.Head, len(e.Days)); err != nil {
			return err
		}
		for _, line := range append(e.Findings(), e.Regressions(all)...) {
			if _, err := fmt.Fprintln(w, "  "+line); err != nil {
				return err
			}
		}
	}
	return nil
}

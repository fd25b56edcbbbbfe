// Package config reads the configuration folder of a fleet and the settings of a daemon, and reports their problems.
package config

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

// Location is a file, or a line of a file.
type Location struct {
	File string
	Line int // counted from 1; 0 for the whole file
}

// String formats the location as file:line.
func (p Location) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Problem is one error in a configuration folder or a settings file.
type Problem struct {
	Location
	Key     string // as written in TOML, such as Services.holds.Budget.MinAvailable; may be empty
	Message string // what is wrong and how to correct it
	Related []Related
}

// Related is another value involved in a problem.
type Related struct {
	Location
	Key string
}

// Error formats the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.String() + ": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	separator := " ("
	for _, r := range p.Related {
		fmt.Fprintf(&b, "%s%s is set at %s", separator, r.Key, r.Location)
		separator = ", "
	}
	if len(p.Related) > 0 {
		b.WriteString(")")
	}
	return b.String()
}

// Report formats all problems, one per line, with their number at the end.
func Report(problems []Problem) string {
	var b strings.Builder
	for _, p := range problems {
		b.WriteString(p.Error() + "\n")
	}
	if len(problems) == 1 {
		b.WriteString("1 problem\n")
	} else {
		fmt.Fprintf(&b, "%d problems\n", len(problems))
	}
	return b.String()
}

// sortProblems sorts problems by file, line, key and message.
func sortProblems(list []Problem) {
	slices.SortStableFunc(list, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(filepath.Base(a.File), filepath.Base(b.File)), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Message, b.Message))
	})
}

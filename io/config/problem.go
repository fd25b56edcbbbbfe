// Package config reads the configuration folder of a fleet and the settings of a daemon.
package config

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

// Place is a line of a file.
type Place struct {
	File string
	Line int // from 1; 0 stands for the whole file
}

// String returns the place as file:line.
func (p Place) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Problem is one fault in a configuration folder or a settings file.
type Problem struct {
	Place
	Key     string // as written in TOML, such as Services.holds.Budget.MinAvailable; may be empty
	Message string // what is wrong and what to do
	Related []Related
}

// Related is another value that a problem stems from.
type Related struct {
	Place
	Key string
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.String() + ": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	separator := " ("
	for _, r := range p.Related {
		fmt.Fprintf(&b, "%s%s is set at %s", separator, r.Key, r.Place)
		separator = ", "
	}
	if len(p.Related) > 0 {
		b.WriteString(")")
	}
	return b.String()
}

// Report returns all problems, one a line, with a count at the end.
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

// sortProblems orders problems by file, line, key and message.
func sortProblems(list []Problem) {
	slices.SortStableFunc(list, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(filepath.Base(a.File), filepath.Base(b.File)), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Message, b.Message))
	})
}

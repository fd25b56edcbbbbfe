// Package plays reads the journal of runs on the platform's bench and reports the simulated days that need attention:
// those with a broken rule or a missed floor, and those on which a kind of job or the worst time windows earned almost
// nothing. The second check is needed because the bench prints no floors for randomly drawn days.
package plays

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Thresholds for findings.
const (
	// minKindShare is the share of its worth that each kind of job should earn on a day. On calm days it is 0.9 or more.
	minKindShare = 0.5
	// minWindowShare is the share of their worth that the worst time windows of a day should earn.
	minWindowShare = 0.2
	// noise is the difference in the worth of a day between runs of the same code.
	noise = 0.03
)

// windowsPart is the name of the part of a day's worth that the worst time windows earn.
const windowsPart = "worst windows"

// Entry is the journal entry of one run of the bench.
type Entry struct {
	ID   string
	Site string
	Cmd  string
	Head string   // commit
	At   []string // the first element is the time of the start
	Days []Day
}

// Day is the result of one simulated day of a run.
type Day struct {
	Name  string
	Worth float64        `json:"G"`
	Kinds []*float64     `json:"by_class"` // share earned by each kind of job; nil for kinds with few jobs
	Parts [][]any        // rows of name, weight and share
	Rules map[string]int // number of violations by rule
	Short []string       // descriptions of missed floors
}

// Load reads all entries of a directory and sorts them by start time. Entries of unfinished runs have no days.
func Load(dir string) ([]Entry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, eris.Wrap(err, "list the journal")
	}
	list := make([]Entry, 0, len(names))
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read the journal")
		}
		var e Entry
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, eris.Wrapf(err, "decode %s", name)
		}
		list = append(list, e)
	}
	slices.SortStableFunc(list, func(a, b Entry) int { return strings.Compare(a.startedAt(), b.startedAt()) })
	return list, nil
}

// startedAt returns the time at which the run started, or "" if it is unknown.
func (e *Entry) startedAt() string {
	if len(e.At) == 0 {
		return ""
	}
	return e.At[0]
}

// Findings returns a line for each day of the run that needs attention.
func (e *Entry) Findings() []string {
	var lines []string
	for i := range e.Days {
		if what := e.Days[i].findings(); len(what) > 0 {
			lines = append(lines, e.Days[i].Name+": "+strings.Join(what, "; "))
		}
	}
	return lines
}

func (d *Day) findings() []string {
	var what []string
	for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
		what = append(what, fmt.Sprintf("%s broken (%d)", rule, d.Rules[rule]))
	}
	what = append(what, d.Short...)
	for i, share := range d.Kinds {
		if share != nil && *share < minKindShare {
			what = append(what, fmt.Sprintf("kind %d earned %.2f", i+1, *share))
		}
	}
	if share, ok := d.part(windowsPart); ok && share < minWindowShare {
		what = append(what, fmt.Sprintf("the worst windows earned %.2f", share))
	}
	return what
}

// part returns the share that a part of the day's worth earned, and false if the day has no such part.
func (d *Day) part(name string) (float64, bool) {
	for _, row := range d.Parts {
		if len(row) == 3 && row[0] == name {
			share, ok := row[2].(float64)
			return share, ok
		}
	}
	return 0, false
}

// Regressions returns a line for each day of a score run that earned less than in the previous score run of its site,
// by more than noise. list must be sorted by start time.
func (e *Entry) Regressions(list []Entry) []string {
	if e.Cmd != "score" {
		return nil
	}
	var before *Entry
	for i := range list {
		if list[i].ID == e.ID {
			break
		}
		if o := &list[i]; o.Site == e.Site && o.Cmd == e.Cmd && len(o.Days) > 0 {
			before = o
		}
	}
	if before == nil {
		return nil
	}
	old := map[string]float64{}
	for i := range before.Days {
		old[before.Days[i].Name] = before.Days[i].Worth
	}
	var lines []string
	for i := range e.Days {
		d := &e.Days[i]
		if was, ok := old[d.Name]; ok && d.Worth < was-noise {
			lines = append(lines, fmt.Sprintf("%s: worth %.3f, %.3f in %s", d.Name, d.Worth, was, before.ID))
		}
	}
	return lines
}

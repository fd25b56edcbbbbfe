// Package plays reads the journal of plays on the platform's bench, and names the days that need a look: those that broke a rule or
// missed a floor, and those on which one kind of job or some seconds earned next to nothing. The bench prints no floors on drawn days.
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

// Thresholds of what needs a look.
const (
	// leastKind is the share of its worth that each kind of job should earn on a day. Calm days earn 0.9 and more.
	leastKind = 0.5
	// leastWindows is the share that the worst seconds of a day should earn.
	leastWindows = 0.2
	// noise is by how much the worth of a day differs between plays of the same code.
	noise = 0.03
)

// windowsPart is the name of the part of a day's worth that its worst seconds earn.
const windowsPart = "worst windows"

// Entry is one run of the bench.
type Entry struct {
	ID   string
	Site string
	Cmd  string
	Head string // commit
	At   []string
	Days []Day
}

// Day is one day of a run.
type Day struct {
	Name  string
	Worth float64        `json:"G"`
	Kinds []*float64     `json:"by_class"` // share earned by each kind of job, nil for kinds with few jobs
	Parts [][]any        // rows of name, weight and share
	Rules map[string]int // broken, by name
	Short []string       // missed floors
}

// Load reads all entries of a folder, in order of time. Entries that are not finished have no days.
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
	slices.SortStableFunc(list, func(a, b Entry) int { return strings.Compare(a.begun(), b.begun()) })
	return list, nil
}

// begun returns the time at which a run began.
func (e *Entry) begun() string {
	if len(e.At) == 0 {
		return ""
	}
	return e.At[0]
}

// Findings returns a line for each day of the run that needs a look.
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
		if share != nil && *share < leastKind {
			what = append(what, fmt.Sprintf("kind %d earned %.2f", i+1, *share))
		}
	}
	if share, ok := d.part(windowsPart); ok && share < leastWindows {
		what = append(what, fmt.Sprintf("the worst windows earned %.2f", share))
	}
	return what
}

// part returns the share of a part of the day's worth.
func (d *Day) part(name string) (float64, bool) {
	for _, row := range d.Parts {
		if len(row) == 3 && row[0] == name {
			share, ok := row[2].(float64)
			return share, ok
		}
	}
	return 0, false
}

// Fell returns a line for each day that earned less in a score than in the score of its site before, by more than noise. list is in
// order of time.
func (e *Entry) Fell(list []Entry) []string {
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

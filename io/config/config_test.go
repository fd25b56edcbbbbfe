package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sassafrasvalve/core/spec"
)

// Guards against problems that are missed, reported at the wrong file or line, reported one
// at a time, or accompanied by follow-up problems of one that is already reported. The folder
// examples/broken shows operators such a report.
func TestBrokenExample(t *testing.T) {
	dir := filepath.Join("..", "..", "examples", "broken")
	_, problems := LoadFleet(dir)
	report := strings.ReplaceAll(filepath.ToSlash(Report(problems)), "../../", "")
	golden.Assert(t, report, "broken.golden")
}

// Guards against the same failures as TestBrokenExample, one kind of problem at a time. The comment
// of an archive in testdata describes the case; its file "report" holds the expected report.
func TestReports(t *testing.T) {
	for _, kind := range []string{"fleet", "settings"} {
		paths, err := filepath.Glob(filepath.Join("testdata", kind, "*.txtar"))
		assert.NilError(t, err)
		assert.Assert(t, len(paths) > 0)
		for _, path := range paths {
			t.Run(filepath.Base(path), func(t *testing.T) { checkReport(t, kind, path) })
		}
	}
}

// checkReport loads the files of an archive and compares the report with the expected one.
func checkReport(t *testing.T, kind, path string) {
	archive, err := txtar.ParseFile(path)
	assert.NilError(t, err)
	dir, want := t.TempDir(), ""
	for _, f := range archive.Files {
		if f.Name == "report" {
			want = string(f.Data)
			continue
		}
		assert.NilError(t, os.WriteFile(filepath.Join(dir, f.Name), f.Data, 0o600))
	}
	var problems []Problem
	if kind == "fleet" {
		_, problems = LoadFleet(dir)
	} else {
		_, problems = LoadSettings(filepath.Join(dir, "entry.toml"))
	}
	got := strings.ReplaceAll(Report(problems), dir+string(filepath.Separator), "")
	got = strings.ReplaceAll(got, dir, "DIR")
	if golden.FlagUpdate() {
		archive.Files[len(archive.Files)-1].Data = []byte(got)
		assert.NilError(t, os.WriteFile(path, txtar.Format(archive), 0o600))
		return
	}
	assert.Equal(t, got, want)
}

// Guards against examples that do not load, and against a later file that
// replaces an element instead of changing only the keys that it sets.
func TestExamples(t *testing.T) {
	for name, pool := range map[string]spec.Pool{
		"kegelbaan": {Name: "admin", Size: 4, Spare: true},
		"apvieniba": {Name: "plot-register", Size: 3, Spare: true},
	} {
		dir := filepath.Join("..", "..", "examples", name)
		f, problems := LoadFleet(filepath.Join(dir, "fleet"))
		assert.Equal(t, Report(problems), "0 problems\n")
		spare, ok := f.SpareFor("")
		assert.Assert(t, ok)
		assert.DeepEqual(t, spare, pool)
		checkEntries(t, dir)
	}
	f, _ := LoadFleet(filepath.Join("..", "..", "examples", "kegelbaan", "fleet"))
	holds, _ := f.Service("lane-holds")
	assert.DeepEqual(t, holds.Budget, spec.Budget{MinAvailable: 10, MaxUnavailable: 2, MaxUnavailablePerDC: 1})
}

// checkEntries checks that the settings of a fleet's entries load and list each other as peers.
func checkEntries(t *testing.T, dir string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "entry-*.toml"))
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 6)
	listed := map[string]int{}
	for _, path := range paths {
		s, problems := LoadSettings(path)
		assert.Equal(t, Report(problems), "0 problems\n")
		assert.Equal(t, s.VM+".toml", filepath.Base(path))
		listed[s.Peer] += 0
		for _, p := range s.Peers {
			listed[p]++
		}
	}
	assert.Equal(t, len(listed), len(paths))
	for addr, n := range listed {
		assert.Equal(t, n, len(paths)-1, addr) // listed by all entries except itself
	}
}

// Guards against a panic, an endless loop, a problem with a line outside the file, and a file that is
// accepted although the TOML library rejects it.
func FuzzParseFleet(f *testing.F) {
	addSeeds(f, filepath.Join("..", "..", "examples", "*", "*.toml"), filepath.Join("..", "..", "examples", "*", "fleet", "*.toml"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet, problems := ParseFleet("f.toml", data)
		checkProblems(t, data, problems)
		if len(problems) == 0 {
			assert.Equal(t, len(spec.Validate(fleet)), 0)
		}
	})
}

// Guards against the same failures as FuzzParseFleet, for the settings.
func FuzzParseSettings(f *testing.F) {
	addSeeds(f, filepath.Join("..", "..", "examples", "*", "*.toml"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, problems := ParseSettings("f.toml", data)
		checkProblems(t, data, problems)
	})
}

// addSeeds adds the files that match patterns to the corpus.
func addSeeds(f *testing.F, patterns ...string) {
	for _, pattern := range patterns {
		paths, err := filepath.Glob(pattern)
		assert.NilError(f, err)
		assert.Assert(f, len(paths) > 0)
		for _, p := range paths {
			data, err := os.ReadFile(p)
			assert.NilError(f, err)
			f.Add(data)
		}
	}
}

// checkProblems checks the properties that the problems of any input must have.
func checkProblems(t *testing.T, data []byte, problems []Problem) {
	t.Helper()
	lines := strings.Count(string(data), "\n") + 1
	for _, p := range problems {
		assert.Assert(t, p.Line >= 0 && p.Line <= lines && p.Message != "", "%v", p)
	}
	if len(problems) == 0 {
		var v map[string]any
		assert.NilError(t, toml.Unmarshal(data, &v))
	}
}

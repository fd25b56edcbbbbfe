package config

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"sassafrasvalve/core/spec"
)

// MaxFileSize is the maximum size of a configuration or settings file in bytes.
const MaxFileSize = 1 << 20

// LoadFleet reads the TOML files of a folder in the order of their names. A later file
// overrides single keys of the elements of earlier files. Hidden files and files
// without the extension .toml are ignored. All problems are returned at once, sorted
// by file and line; the configuration must not be used if there are any.
func LoadFleet(dir string) (spec.Fleet, []Problem) {
	var f spec.Fleet
	d := newDecoder(&f)
	entries, err := os.ReadDir(dir)
	if err != nil {
		d.add(Location{File: dir}, "", "the folder cannot be read: "+reason(err)+"; give the folder that holds the TOML files")
		return f, d.problems
	}
	files := 0
	for _, e := range entries {
		if filepath.Ext(e.Name()) != ".toml" || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		files++
		d.load(filepath.Join(dir, e.Name()))
	}
	switch {
	case files == 0:
		d.add(Location{File: dir}, "", "the folder holds no file with the ending .toml: give the folder of the configuration")
	case !d.partial:
		d.validate(dir, f)
	}
	sortProblems(d.problems)
	return f, d.problems
}

// ParseFleet reads a complete configuration from the content of one file. See LoadFleet.
func ParseFleet(file string, data []byte) (spec.Fleet, []Problem) {
	var f spec.Fleet
	d := newDecoder(&f)
	d.read(file, data)
	if !d.partial {
		d.validate(file, f)
	}
	sortProblems(d.problems)
	return f, d.problems
}

// load reads a file and decodes it.
func (d *decoder) load(path string) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > MaxFileSize {
		err = fmt.Errorf("it has %d bytes, more than %d", info.Size(), MaxFileSize)
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		d.partial = true
		d.add(Location{File: path}, "", "the file cannot be read: "+reason(err)+"; check its name and its access rights")
		return
	}
	d.read(path, data)
}

// reason returns the cause of a file error without the path, which the problem already contains.
func reason(err error) string {
	if p, ok := err.(*os.PathError); ok { //nolint:errorlint // os functions return it unwrapped
		return p.Err.Error()
	}
	return err.Error()
}

// validate adds the problems of the merged configuration. Problems that involve a value that
// could not be read are omitted, because that value is already reported. source is the file or
// folder for problems without another location.
func (d *decoder) validate(source string, f spec.Fleet) {
	if len(f.Pools) == 0 && !d.isUnreadable(spec.KindPools) {
		d.add(Location{File: source}, spec.KindPools, "no pool is configured: add a table such as [Pools.work]")
	}
	for _, p := range spec.Validate(f) {
		if d.isUnreadable(p.Path) {
			continue
		}
		problem := Problem{Location: d.locationOf(p.Path, source), Key: keyOfPath(p.Path), Message: p.Message}
		unreadable := false
		for _, r := range p.Related {
			unreadable = unreadable || d.isUnreadable(r)
			if loc, ok := d.set[r]; ok {
				problem.Related = append(problem.Related, Related{Location: loc, Key: keyOfPath(r)})
			}
		}
		if !unreadable {
			d.problems = append(d.problems, problem)
		}
	}
}

// locationOf returns where a value was set. It falls back to the location of the element that lacks the value, then to source.
func (d *decoder) locationOf(path, source string) Location {
	for path != "" {
		if p, ok := d.set[path]; ok {
			return p
		}
		path = parentPath(path)
	}
	return Location{File: source}
}

// elementPath matches the path of an element or its field: kind, quoted name, rest.
var elementPath = regexp.MustCompile(`^(\w+)\["((?:[^"\\]|\\.)*)"\](.*)$`)

// keyOfPath converts the path of a spec.Problem to a TOML key.
func keyOfPath(path string) string {
	m := elementPath.FindStringSubmatch(path)
	if m == nil {
		return path
	}
	name, err := strconv.Unquote(`"` + m[2] + `"`)
	if err != nil {
		return path
	}
	return m[1] + "." + tomlKey([]string{name}) + m[3]
}

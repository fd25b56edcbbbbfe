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

// MaxFileSize bounds a configuration or settings file, in bytes.
const MaxFileSize = 1 << 20

// LoadFleet reads the TOML files of a folder in the order of their names. A later file
// refines an earlier one element by element and key by key. Hidden files and files
// without the ending .toml are left out. All problems are returned at once, ordered
// by place; the configuration must not be used if there are any.
func LoadFleet(dir string) (spec.Fleet, []Problem) {
	var f spec.Fleet
	d := newDecoder(&f)
	entries, err := os.ReadDir(dir)
	if err != nil {
		d.add(Place{File: dir}, "", "the folder cannot be read: "+reason(err)+"; give the folder that holds the TOML files")
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
		d.add(Place{File: dir}, "", "the folder holds no file with the ending .toml: give the folder of the configuration")
	case !d.partial:
		d.judge(dir, f)
	}
	sortProblems(d.problems)
	return f, d.problems
}

// ParseFleet reads one file as a whole configuration. See LoadFleet.
func ParseFleet(file string, data []byte) (spec.Fleet, []Problem) {
	var f spec.Fleet
	d := newDecoder(&f)
	d.read(file, data)
	if !d.partial {
		d.judge(file, f)
	}
	sortProblems(d.problems)
	return f, d.problems
}

// load reads a file into the target.
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
		d.add(Place{File: path}, "", "the file cannot be read: "+reason(err)+"; check its name and its access rights")
		return
	}
	d.read(path, data)
}

// reason returns the cause of a file error without the path, which the problem names already.
func reason(err error) string {
	if p, ok := err.(*os.PathError); ok { //nolint:errorlint // os functions return it unwrapped
		return p.Err.Error()
	}
	return err.Error()
}

// judge adds the problems of the merged configuration. Those that stem from a value
// that could not be read are left out, because that value is reported already.
func (d *decoder) judge(whole string, f spec.Fleet) {
	if len(f.Pools) == 0 && !d.isLost(spec.KindPools) {
		d.add(Place{File: whole}, spec.KindPools, "no pool is configured: add a table such as [Pools.work]")
	}
	for _, p := range spec.Validate(f) {
		if d.isLost(p.Path) {
			continue
		}
		problem := Problem{Place: d.placeOf(p.Path, whole), Key: keyOfPath(p.Path), Message: p.Message}
		lost := false
		for _, r := range p.Related {
			lost = lost || d.isLost(r)
			if place, ok := d.set[r]; ok {
				problem.Related = append(problem.Related, Related{Place: place, Key: keyOfPath(r)})
			}
		}
		if !lost {
			d.problems = append(d.problems, problem)
		}
	}
}

// placeOf returns where a value was set, or else the element that lacks it, or else the whole.
func (d *decoder) placeOf(path, whole string) Place {
	for path != "" {
		if p, ok := d.set[path]; ok {
			return p
		}
		path = parentPath(path)
	}
	return Place{File: whole}
}

// elementPath matches the path of an element's field: kind, quoted name, rest.
var elementPath = regexp.MustCompile(`^(\w+)\["((?:[^"\\]|\\.)*)"\](.*)$`)

// keyOfPath turns the path of spec.Problem into the key written in TOML.
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

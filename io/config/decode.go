package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"sassafrasvalve/core/hint"
)

// decoder reads TOML files one after the other into a struct and records where each
// value was set. In TOML, a slice of structs with a Name field is a table with one subtable per name.
// Unknown keys, wrong types and repeated keys are reported as problems; the rest of the file is still read.
type decoder struct {
	root       reflect.Value
	problems   []Problem
	set        map[string]Location // by path: where a value was last set, or an element first named
	unreadable map[string]bool     // paths whose value, or part of it, could not be read
	partial    bool                // any elements may be missing, since part of a file could not be read
	index      map[string]int      // by path: index of an element in its list

	file     *scanner
	seen     map[string]int // line of each value and table in this file
	table    []string       // keys of the current table, after correction of mistyped ones
	ignore   bool           // the current table is unknown, so its keys are skipped
	repeated bool           // the current table is a repeated one, which is already reported
}

// newDecoder returns a decoder into the struct that target points to.
func newDecoder(target any) *decoder {
	return &decoder{root: reflect.ValueOf(target).Elem(), set: map[string]Location{}, unreadable: map[string]bool{}, index: map[string]int{}}
}

// node is a value in the target struct.
type node struct {
	value   reflect.Value
	path    string   // for example Services["holds"].Budget
	keys    []string // for example Services, holds, Budget
	guessed bool     // a key was mistyped and replaced by the closest known one
}

// key returns the TOML key of the node.
func (n node) key() string { return tomlKey(n.keys) }

// tomlKey joins keys to a dotted TOML key and quotes them where needed.
func tomlKey(keys []string) string {
	parts := make([]string, 0, len(keys))
	for _, k := range keys {
		if k == "" || strings.ContainsFunc(k, func(r rune) bool {
			return r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z')
		}) {
			k = strconv.Quote(k)
		}
		parts = append(parts, k)
	}
	return strings.Join(parts, ".")
}

// read decodes the content of one file.
func (d *decoder) read(file string, data []byte) {
	d.file, d.seen, d.table, d.ignore, d.repeated = newScanner(file, data), map[string]int{}, nil, false, false
	before := len(d.problems)
	for {
		stmt, line, err := d.file.next()
		switch {
		case err != nil:
			d.syntax(line, err)
		case stmt == nil:
			if len(d.problems) == before {
				d.recheck(file, data)
			}
			return
		default:
			d.statement(stmt)
		}
	}
}

// recheck parses the whole file with the TOML library, which checks rules that cannot be
// checked on single statements, such as a table that is opened again after dotted keys.
func (d *decoder) recheck(file string, data []byte) {
	var ignored map[string]any
	err := toml.Unmarshal(data, &ignored)
	if err == nil {
		return
	}
	loc := Location{File: file}
	if derr := (*toml.DecodeError)(nil); errors.As(err, &derr) {
		loc.Line, _ = derr.Position()
	}
	d.add(loc, "", "this is not valid TOML: "+strings.TrimPrefix(err.Error(), "toml: ")+"; correct this line")
	d.partial = true
}

// brokenLine matches a line with a key whose value could not be parsed.
var brokenLine = regexp.MustCompile(`^\s*([A-Za-z][A-Za-z.]*)\s*=\s*(.?)`)

// syntax records a syntax error. The value of that line is unreadable. After an invalid table
// header the following keys are skipped, since it is unknown which element they belong to.
func (d *decoder) syntax(line int, err error) {
	loc, text := Location{File: d.file.file, Line: line}, d.file.lineText(line)
	message := "this is not valid TOML: " + err.Error() + "; correct this line"
	m := brokenLine.FindStringSubmatch(text)
	if m != nil && m[2] != "" && strings.Contains(letters, strings.ToLower(m[2])) {
		message = "this is not valid TOML: a value is a number, true, false, or text in quotes; put text in quotes"
	}
	d.add(loc, "", message)
	if d.file.errors >= maxSyntaxErrors {
		d.add(loc, "", "too many syntax errors: the rest of the file was not read")
		d.partial = true
	}
	switch {
	case strings.HasPrefix(strings.TrimSpace(text), "["):
		d.ignore, d.partial = true, true
	case d.ignore:
	case m == nil:
		d.markUnreadable(d.table, loc)
	default:
		d.markUnreadable(append(d.table[:len(d.table):len(d.table)], strings.Split(m[1], ".")...), loc)
	}
}

// letters are the first characters of unquoted words. TOML allows only true, false, inf and nan as unquoted words.
const letters = "abcdefghijklmnopqrstuvwxyz"

// markUnreadable records that the value of the keys, or part of it, could not be read.
func (d *decoder) markUnreadable(keys []string, loc Location) {
	if n, ok := d.resolve(keys, loc); ok {
		d.unreadable[n.path] = true
	}
}

// isUnreadable reports whether the value at a path, or a value that contains it, could not be read.
func (d *decoder) isUnreadable(path string) bool {
	for ; path != ""; path = parentPath(path) {
		if d.unreadable[path] {
			return true
		}
	}
	return d.unreadable[""]
}

// parentPath returns the path without its last key or element name.
func parentPath(path string) string { return path[:max(0, strings.LastIndexAny(path, ".["))] }

// lineText returns a line of the file without its newline.
func (s *scanner) lineText(line int) string {
	start, end := 0, len(s.data)
	if line > 1 {
		start = s.newlines[line-2] + 1
	}
	if line-1 < len(s.newlines) {
		end = s.newlines[line-1]
	}
	return string(s.data[start:end])
}

// add records a problem.
func (d *decoder) add(p Location, key, message string) {
	d.problems = append(d.problems, Problem{Location: p, Key: key, Message: message})
}

// statement decodes a table header or a key with its value.
func (d *decoder) statement(stmt *unstable.Node) {
	keys, loc := d.keysOf(stmt)
	switch stmt.Kind {
	case unstable.Table:
		d.enterTable(keys, loc)
	case unstable.ArrayTable:
		d.add(loc, tomlKey(keys), "a table in double brackets is not used here: write ["+tomlKey(keys)+".name] for each element")
		d.ignore = true
		d.markUnreadable(keys, loc)
	case unstable.KeyValue:
		if d.ignore {
			return
		}
		if n, ok := d.resolve(append(d.table[:len(d.table):len(d.table)], keys...), loc); ok {
			d.assign(n, stmt.Value(), loc)
		}
	default:
	}
}

// keysOf returns the parts of the dotted key of a statement, and its location.
func (d *decoder) keysOf(stmt *unstable.Node) ([]string, Location) {
	var keys []string
	var loc Location
	for it := stmt.Key(); it.Next(); {
		if loc.Line == 0 {
			loc = d.file.location(it.Node())
		}
		keys = append(keys, string(it.Node().Data))
	}
	return keys, loc
}

// enterTable makes a table the current one.
func (d *decoder) enterTable(keys []string, loc Location) {
	n, ok := d.resolve(keys, loc)
	d.table, d.ignore, d.repeated = n.keys, !ok, false
	if !ok {
		return
	}
	if !isTable(n.value) {
		d.add(loc, n.key(), "this is a value, not a table: write "+n.keys[len(n.keys)-1]+" = "+example(n.value.Type())+" in the table above it")
		d.ignore, d.unreadable[n.path] = true, true
		return
	}
	d.repeated = !d.markSet(n, loc)
}

// markSet records where a value or table is set. It reports and returns false for one that this file has already set.
func (d *decoder) markSet(n node, loc Location) bool {
	if line, ok := d.seen[n.path]; ok {
		if !d.repeated && !n.guessed {
			d.add(loc, n.key(), fmt.Sprintf("already given in this file at line %d: keep one of them", line))
		}
		return false
	}
	d.seen[n.path] = loc.Line
	if _, ok := d.set[n.path]; !ok || !isTable(n.value) {
		d.set[n.path] = loc
	}
	return true
}

// resolve finds the value of a key in the target. Elements are created when first named.
// A mistyped key is reported and replaced by the closest known one, so that follow-up
// problems such as a missing value are not reported as well.
func (d *decoder) resolve(keys []string, loc Location) (node, bool) {
	n := node{value: d.root}
	for i, key := range keys {
		switch {
		case n.value.Kind() == reflect.Struct:
			name, ok := d.fieldName(n, key, loc)
			if !ok {
				return n, false
			}
			n.guessed = n.guessed || name != key
			n.value = n.value.FieldByName(name)
			n.path = strings.TrimPrefix(n.path+"."+name, ".")
			n.keys = append(n.keys, name)
		case isNamed(n.value):
			n.path += "[" + strconv.Quote(key) + "]"
			n.value = d.element(n.value, n.path, key)
			n.keys = append(n.keys, key)
			if _, ok := d.set[n.path]; !ok {
				d.set[n.path] = loc
			}
		default:
			d.add(loc, tomlKey(keys[:i+1]), n.key()+" is a value and has no keys: write "+n.key()+" = "+example(n.value.Type()))
			d.unreadable[n.path] = true
			return n, false
		}
	}
	return n, true
}

// fieldName returns key if it is a known key. Otherwise it reports key and returns the closest known one, if any.
func (d *decoder) fieldName(n node, key string, loc Location) (string, bool) {
	var known []string
	for i := range n.value.NumField() {
		name := n.value.Type().Field(i).Name
		if name == key {
			return name, true
		}
		// The name of an element is given by the name of its table.
		if name != "Name" {
			known = append(known, name)
		}
	}
	full := tomlKey(append(n.keys[:len(n.keys):len(n.keys)], key))
	best := hint.Closest(key, known)
	d.add(loc, full, "unknown key: "+hint.Suggest(key, known))
	return best, best != ""
}

// element returns the element with a name. It appends the element if it is new.
func (d *decoder) element(list reflect.Value, path, name string) reflect.Value {
	i, ok := d.index[path]
	if !ok {
		i = list.Len()
		d.index[path] = i
		e := reflect.New(list.Type().Elem()).Elem()
		e.FieldByName("Name").SetString(name)
		list.Set(reflect.Append(list, e))
	}
	return list.Index(i)
}

// assign decodes a value into a node.
func (d *decoder) assign(n node, v *unstable.Node, loc Location) {
	if n.keys[len(n.keys)-1] == "Name" && len(n.keys) > 2 {
		d.add(loc, n.key(), "the name is that of the table: remove this key")
		return
	}
	if isTable(n.value) {
		if v.Kind != unstable.InlineTable {
			d.mismatch(n, v, loc)
			return
		}
		d.markSet(n, loc)
		d.inline(n, v)
		return
	}
	if d.markSet(n, loc) && !d.decode(n, v, loc) {
		d.unreadable[n.path] = true
	}
}

// inline decodes the keys of an inline table.
func (d *decoder) inline(n node, v *unstable.Node) {
	for it := v.Children(); it.Next(); {
		if it.Node().Kind != unstable.KeyValue {
			continue
		}
		keys, loc := d.keysOf(it.Node())
		if sub, ok := d.resolve(append(n.keys[:len(n.keys):len(n.keys)], keys...), loc); ok {
			d.assign(sub, it.Node().Value(), loc)
		}
	}
}

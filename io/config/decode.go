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

// decoder reads TOML files one after the other into a struct and remembers where each
// value was set. A slice of structs with a Name field is written as tables by name.
// Unknown keys, wrong types and repeated keys are problems; the rest is read all the same.
type decoder struct {
	root     reflect.Value
	problems []Problem
	set      map[string]Place // by path: where a value was set last, or an element first named
	lost     map[string]bool  // paths of which something could not be read
	partial  bool             // elements of any kind may be missing
	index    map[string]int   // by path: position of an element in its list

	file   *scanner
	seen   map[string]int // line of each value and table in this file
	table  []string       // current table, as known keys
	ignore bool           // the current table is not known
	again  bool           // the current table is a repeated one, which is reported already
}

// newDecoder returns a decoder into the struct that target points at.
func newDecoder(target any) *decoder {
	return &decoder{root: reflect.ValueOf(target).Elem(), set: map[string]Place{}, lost: map[string]bool{}, index: map[string]int{}}
}

// node is a place in the target.
type node struct {
	value reflect.Value
	path  string   // such as Services["holds"].Budget
	keys  []string // such as Services, holds, Budget
	guess bool     // a key was mistyped and is taken for the closest known one
}

// key returns the TOML key of the node.
func (n node) key() string { return tomlKey(n.keys) }

// tomlKey joins keys as TOML writes them.
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

// read decodes one file.
func (d *decoder) read(file string, data []byte) {
	d.file, d.seen, d.table, d.ignore, d.again = newScanner(file, data), map[string]int{}, nil, false, false
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

// recheck has the whole file read by the TOML library, which knows rules that the
// single statements do not show, such as a table opened again after dotted keys.
func (d *decoder) recheck(file string, data []byte) {
	var ignored map[string]any
	err := toml.Unmarshal(data, &ignored)
	if err == nil {
		return
	}
	place := Place{File: file}
	if derr := (*toml.DecodeError)(nil); errors.As(err, &derr) {
		place.Line, _ = derr.Position()
	}
	d.add(place, "", "this is not valid TOML: "+strings.TrimPrefix(err.Error(), "toml: ")+"; correct this line")
	d.partial = true
}

// brokenLine matches a line with a key whose value could not be parsed.
var brokenLine = regexp.MustCompile(`^\s*([A-Za-z][A-Za-z.]*)\s*=\s*(.?)`)

// syntax notes a syntax error. The value of that line is lost; after a broken table
// header it is not known which element the following keys belong to.
func (d *decoder) syntax(line int, err error) {
	place, text := Place{File: d.file.file, Line: line}, d.file.text(line)
	message := "this is not valid TOML: " + err.Error() + "; correct this line"
	m := brokenLine.FindStringSubmatch(text)
	if m != nil && m[2] != "" && strings.Contains(letters, strings.ToLower(m[2])) {
		message = "this is not valid TOML: a value is a number, true, false, or text in quotes; put text in quotes"
	}
	d.add(place, "", message)
	if d.file.errors >= maxSyntaxErrors {
		d.add(place, "", "too many syntax errors: the rest of the file was not read")
		d.partial = true
	}
	switch {
	case strings.HasPrefix(strings.TrimSpace(text), "["):
		d.ignore, d.partial = true, true
	case d.ignore:
	case m == nil:
		d.lose(d.table, place)
	default:
		d.lose(append(d.table[:len(d.table):len(d.table)], strings.Split(m[1], ".")...), place)
	}
}

// letters start a word, which TOML allows as a value only for true, false, inf and nan.
const letters = "abcdefghijklmnopqrstuvwxyz"

// lose notes that something under the keys could not be read.
func (d *decoder) lose(keys []string, place Place) {
	if n, ok := d.resolve(keys, place); ok {
		d.lost[n.path] = true
	}
}

// isLost says whether something of the value, or of what it is part of, could not be read.
func (d *decoder) isLost(path string) bool {
	for ; path != ""; path = parentPath(path) {
		if d.lost[path] {
			return true
		}
	}
	return d.lost[""]
}

// parentPath returns the path without its last key or name.
func parentPath(path string) string { return path[:max(0, strings.LastIndexAny(path, ".["))] }

// text returns a line of the file.
func (s *scanner) text(line int) string {
	start, end := 0, len(s.data)
	if line > 1 {
		start = s.breaks[line-2] + 1
	}
	if line-1 < len(s.breaks) {
		end = s.breaks[line-1]
	}
	return string(s.data[start:end])
}

// add notes a problem.
func (d *decoder) add(p Place, key, message string) {
	d.problems = append(d.problems, Problem{Place: p, Key: key, Message: message})
}

// statement reads a table header or a key with its value.
func (d *decoder) statement(stmt *unstable.Node) {
	keys, place := d.keysOf(stmt)
	switch stmt.Kind {
	case unstable.Table:
		d.header(keys, place)
	case unstable.ArrayTable:
		d.add(place, tomlKey(keys), "a table in double brackets is not used here: write ["+tomlKey(keys)+".name] for each element")
		d.ignore = true
		d.lose(keys, place)
	case unstable.KeyValue:
		if d.ignore {
			return
		}
		if n, ok := d.resolve(append(d.table[:len(d.table):len(d.table)], keys...), place); ok {
			d.assign(n, stmt.Value(), place)
		}
	default:
	}
}

// keysOf returns the parts of the key of a statement and its place.
func (d *decoder) keysOf(stmt *unstable.Node) ([]string, Place) {
	var keys []string
	var place Place
	for it := stmt.Key(); it.Next(); {
		if place.Line == 0 {
			place = d.file.place(it.Node())
		}
		keys = append(keys, string(it.Node().Data))
	}
	return keys, place
}

// header enters a table.
func (d *decoder) header(keys []string, place Place) {
	n, ok := d.resolve(keys, place)
	d.table, d.ignore, d.again = n.keys, !ok, false
	if !ok {
		return
	}
	if !isTable(n.value) {
		d.add(place, n.key(), "this is a value, not a table: write "+n.keys[len(n.keys)-1]+" = "+example(n.value.Type())+" in the table above it")
		d.ignore, d.lost[n.path] = true, true
		return
	}
	d.again = !d.once(n, place)
}

// once notes a value or table and reports one that this file has already given.
func (d *decoder) once(n node, place Place) bool {
	if line, ok := d.seen[n.path]; ok {
		if !d.again && !n.guess {
			d.add(place, n.key(), fmt.Sprintf("already given in this file at line %d: keep one of them", line))
		}
		return false
	}
	d.seen[n.path] = place.Line
	if _, ok := d.set[n.path]; !ok || !isTable(n.value) {
		d.set[n.path] = place
	}
	return true
}

// resolve finds the place of a key in the target. Elements are created when first named.
// A mistyped key is reported and taken for the one that it most likely stands for, so that
// no consequences of it are reported as well.
func (d *decoder) resolve(keys []string, place Place) (node, bool) {
	n := node{value: d.root}
	for i, key := range keys {
		switch {
		case n.value.Kind() == reflect.Struct:
			name, ok := d.fieldName(n, key, place)
			if !ok {
				return n, false
			}
			n.guess = n.guess || name != key
			n.value = n.value.FieldByName(name)
			n.path = strings.TrimPrefix(n.path+"."+name, ".")
			n.keys = append(n.keys, name)
		case isNamed(n.value):
			n.path += "[" + strconv.Quote(key) + "]"
			n.value = d.element(n.value, n.path, key)
			n.keys = append(n.keys, key)
			if _, ok := d.set[n.path]; !ok {
				d.set[n.path] = place
			}
		default:
			d.add(place, tomlKey(keys[:i+1]), n.key()+" is a value and has no keys: write "+n.key()+" = "+example(n.value.Type()))
			d.lost[n.path] = true
			return n, false
		}
	}
	return n, true
}

// fieldName returns the known key that key stands for. It reports any other key.
func (d *decoder) fieldName(n node, key string, place Place) (string, bool) {
	var known []string
	for i := range n.value.NumField() {
		name := n.value.Type().Field(i).Name
		if name == key {
			return name, true
		}
		// The name of an element is the name of its table.
		if name != "Name" {
			known = append(known, name)
		}
	}
	full := tomlKey(append(n.keys[:len(n.keys):len(n.keys)], key))
	best := hint.Closest(key, known)
	d.add(place, full, "unknown key: "+hint.Suggest(key, known))
	return best, best != ""
}

// element returns the element of that name, which is appended if it is new.
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

// assign puts a value into its place.
func (d *decoder) assign(n node, v *unstable.Node, place Place) {
	if n.keys[len(n.keys)-1] == "Name" && len(n.keys) > 2 {
		d.add(place, n.key(), "the name is that of the table: remove this key")
		return
	}
	if isTable(n.value) {
		if v.Kind != unstable.InlineTable {
			d.mismatch(n, v, place)
			return
		}
		d.once(n, place)
		d.inline(n, v)
		return
	}
	if d.once(n, place) && !d.decode(n, v, place) {
		d.lost[n.path] = true
	}
}

// inline reads the keys of an inline table.
func (d *decoder) inline(n node, v *unstable.Node) {
	for it := v.Children(); it.Next(); {
		if it.Node().Kind != unstable.KeyValue {
			continue
		}
		keys, place := d.keysOf(it.Node())
		if sub, ok := d.resolve(append(n.keys[:len(n.keys):len(n.keys)], keys...), place); ok {
			d.assign(sub, it.Node().Value(), place)
		}
	}
}

package spec

import (
	"cmp"
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// ChangeKind is the kind of a change to an element or a field.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Path string // path of the element for Added and Removed, of the field for Changed
	Kind ChangeKind
	Old  string `json:",omitempty"`
	New  string `json:",omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return "+ " + c.Path + " " + c.New
	case Removed:
		return "- " + c.Path + " " + c.Old
	default:
		return "~ " + c.Path + ": " + c.Old + " -> " + c.New
	}
}

// Diff returns the changes from a to b: pools first, then services, classes and tenants,
// each sorted by name. Defaults are filled in first, so an explicit default is not a change.
// The order of the elements is ignored.
func Diff(a, b Fleet) []Change {
	a, b = Normalize(a), Normalize(b)
	return slices.Concat(
		diffKind(KindPools, a.Pools, b.Pools, func(p Pool) string { return p.Name }),
		diffKind(KindServices, a.Services, b.Services, func(s Service) string { return s.Name }),
		diffKind(KindClasses, a.Classes, b.Classes, func(c Class) string { return c.Name }),
		diffKind(KindTenants, a.Tenants, b.Tenants, func(t Tenant) string { return t.Name }),
	)
}

// diffKind compares the elements of one kind.
func diffKind[T any](kind string, a, b []T, name func(T) string) []Change {
	before, after := fieldsByName(a, name), fieldsByName(b, name)
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []Change
	for _, n := range slices.Sorted(maps.Keys(names)) {
		old, had := before[n]
		cur, has := after[n]
		switch {
		case !had:
			out = append(out, Change{Path: PathOf(kind, n, ""), Kind: Added, New: joinFields(cur)})
		case !has:
			out = append(out, Change{Path: PathOf(kind, n, ""), Kind: Removed, Old: joinFields(old)})
		default:
			out = append(out, diffFields(kind, n, old, cur)...)
		}
	}
	return out
}

// diffFields compares the fields of one element.
func diffFields(kind, name string, old, cur []field) []Change {
	var out []Change
	for i := range old {
		if old[i].compared() != cur[i].compared() {
			out = append(out, Change{
				Path: PathOf(kind, name, old[i].path), Kind: Changed, Old: old[i].value, New: cur[i].value,
			})
		}
	}
	return out
}

// field is a field of an element that is not a struct, formatted as text.
type field struct {
	path  string
	value string
	whole string // value without abbreviation; empty if nothing is abbreviated
	zero  bool
}

// compared returns the text by which two values of a field are compared.
func (f field) compared() string { return cmp.Or(f.whole, f.value) }

// fieldsByName returns the fields of each element by the element's name.
func fieldsByName[T any](list []T, name func(T) string) map[string][]field {
	out := make(map[string][]field, len(list))
	for _, e := range list {
		out[name(e)] = flatten("", reflect.ValueOf(e), nil)
	}
	return out
}

// flatten appends the fields of a struct and its nested structs, in the order of declaration. It omits the field Name.
func flatten(prefix string, v reflect.Value, out []field) []field {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Name
		f := v.Field(i)
		if keys, ok := f.Interface().([]KeyDigest); ok {
			keys = slices.Sorted(slices.Values(keys)) // their order has no meaning
			out = append(out, field{path: path, value: fmt.Sprint(keys), whole: fmt.Sprintf("%q", toStrings(keys)), zero: len(keys) == 0})
			continue
		}
		if m, ok := f.Interface().(encoding.TextMarshaler); ok {
			if text, err := m.MarshalText(); err == nil {
				out = append(out, field{path: path, value: string(text), zero: f.IsZero()})
			}
			continue
		}
		switch {
		case f.Kind() == reflect.Struct:
			out = flatten(path+".", f, out)
		case path == "Name":
		case f.Kind() == reflect.String:
			out = append(out, field{path: path, value: strconv.Quote(f.String()), zero: f.IsZero()})
		default:
			out = append(out, field{path: path, value: fmt.Sprint(f.Interface()), zero: f.IsZero()})
		}
	}
	return out
}

// toStrings returns digests without abbreviation.
func toStrings(keys []KeyDigest) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = string(k)
	}
	return out
}

// joinFields formats the non-zero fields on one line.
func joinFields(fields []field) string {
	var parts []string
	for _, f := range fields {
		if !f.zero {
			parts = append(parts, f.path+"="+f.value)
		}
	}
	return strings.Join(parts, " ")
}

// sortProblems sorts problems by path, then by message, so that all entries report them in the same order.
func sortProblems(list []Problem) {
	slices.SortStableFunc(list, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
}

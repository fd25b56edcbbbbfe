package config

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"sassafrasvalve/core/spec"
)

// decode sets a scalar or a list of text. It reports a value of another type.
func (d *decoder) decode(n node, v *unstable.Node, place Place) bool {
	if u, ok := n.value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if v.Kind != unstable.String {
			d.mismatch(n, v, place)
			return false
		}
		if err := u.UnmarshalText(v.Data); err != nil {
			d.add(place, n.key(), err.Error()+": write it so")
			return false
		}
		return true
	}
	ok := false
	switch n.value.Kind() {
	case reflect.String:
		if ok = v.Kind == unstable.String; ok {
			n.value.SetString(string(v.Data))
		}
	case reflect.Bool:
		if ok = v.Kind == unstable.Bool; ok {
			n.value.SetBool(string(v.Data) == "true")
		}
	case reflect.Int:
		return d.whole(n, v, place)
	case reflect.Float64:
		return d.number(n, v, place)
	case reflect.Slice:
		return d.texts(n, v, place)
	default:
	}
	if !ok {
		d.mismatch(n, v, place)
	}
	return ok
}

// whole sets a whole number.
func (d *decoder) whole(n node, v *unstable.Node, place Place) bool {
	if v.Kind != unstable.Integer {
		d.mismatch(n, v, place)
		return false
	}
	i, err := parseWhole(v.Data)
	if err != nil {
		d.add(place, n.key(), fmt.Sprintf("%s is too large: write a smaller number", v.Data))
		return false
	}
	n.value.SetInt(i)
	return true
}

// parseWhole reads a TOML integer: decimal without leading zeros, hexadecimal, octal or binary.
func parseWhole(text []byte) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(string(text), "+"), 0, strconv.IntSize)
}

// number sets a number. A whole number is one too.
func (d *decoder) number(n node, v *unstable.Node, place Place) bool {
	if v.Kind == unstable.Integer {
		if i, err := parseWhole(v.Data); err == nil {
			n.value.SetFloat(float64(i))
			return true
		}
	}
	f, err := strconv.ParseFloat(strings.ReplaceAll(string(v.Data), "_", ""), 64)
	if v.Kind != unstable.Float || err != nil {
		d.mismatch(n, v, place)
		return false
	}
	n.value.SetFloat(f)
	return true
}

// texts sets a list of text. A later file replaces the whole list.
func (d *decoder) texts(n node, v *unstable.Node, place Place) bool {
	if v.Kind != unstable.Array {
		d.mismatch(n, v, place)
		return false
	}
	list := []string{}
	for it := v.Children(); it.Next(); {
		if it.Node().Kind != unstable.String {
			d.mismatch(n, it.Node(), place)
			return false
		}
		list = append(list, string(it.Node().Data))
	}
	n.value.Set(reflect.ValueOf(list))
	return true
}

// mismatch reports a value of the wrong type.
func (d *decoder) mismatch(n node, v *unstable.Node, place Place) {
	d.lost[n.path] = true
	d.add(place, n.key(), fmt.Sprintf("%s is expected, but this is %s: write %s",
		typeName(n.value.Type()), kindName(v.Kind), sample(n)))
}

// sample shows how the value of a node is written.
func sample(n node) string {
	last := n.keys[len(n.keys)-1]
	if isTable(n.value) {
		return "[" + n.key() + "] and the keys below it"
	}
	return last + " = " + example(n.value.Type())
}

// isTable says whether a place holds keys rather than a value.
func isTable(v reflect.Value) bool { return v.Kind() == reflect.Struct || isNamed(v) }

// isNamed says whether a place holds elements by name.
func isNamed(v reflect.Value) bool {
	return v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct
}

var durationType = reflect.TypeFor[spec.Duration]()

// typeName describes a type to the author of a file.
func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration in quotes"
	case t.Kind() == reflect.Int:
		return "a whole number"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "text in quotes"
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.String:
		return "a list of text"
	default:
		return "a table"
	}
}

// example returns a value of a type as TOML.
func example(t reflect.Type) string {
	switch {
	case t == durationType:
		return `"2.5s"`
	case t.Kind() == reflect.Int:
		return "8"
	case t.Kind() == reflect.Float64:
		return "0.5"
	case t.Kind() == reflect.Bool:
		return "true"
	case t.Kind() == reflect.Slice:
		return `["…", "…"]`
	default:
		return `"…"`
	}
}

// kindName describes a TOML value to the author of a file.
func kindName(k unstable.Kind) string {
	switch k {
	case unstable.String:
		return "text"
	case unstable.Integer:
		return "a whole number"
	case unstable.Float:
		return "a number with a fraction"
	case unstable.Bool:
		return "true or false"
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "a table"
	default:
		return "a date or time"
	}
}

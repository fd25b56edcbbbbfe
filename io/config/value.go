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

// decode sets a scalar or a list of strings. It reports a value of the wrong type and returns false.
func (d *decoder) decode(n node, v *unstable.Node, loc Location) bool {
	if u, ok := n.value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if v.Kind != unstable.String {
			d.mismatch(n, v, loc)
			return false
		}
		if err := u.UnmarshalText(v.Data); err != nil {
			d.add(loc, n.key(), err.Error()+": write it so")
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
		return d.decodeInt(n, v, loc)
	case reflect.Float64:
		return d.decodeFloat(n, v, loc)
	case reflect.Slice:
		return d.decodeStrings(n, v, loc)
	default:
	}
	if !ok {
		d.mismatch(n, v, loc)
	}
	return ok
}

// decodeInt sets an integer.
func (d *decoder) decodeInt(n node, v *unstable.Node, loc Location) bool {
	if v.Kind != unstable.Integer {
		d.mismatch(n, v, loc)
		return false
	}
	i, err := parseInt(v.Data)
	if err != nil {
		d.add(loc, n.key(), fmt.Sprintf("%s is too large: write a smaller number", v.Data))
		return false
	}
	n.value.SetInt(i)
	return true
}

// parseInt reads a TOML integer: decimal without leading zeros, hexadecimal, octal or binary.
func parseInt(text []byte) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(string(text), "+"), 0, strconv.IntSize)
}

// decodeFloat sets a floating-point number. It also accepts an integer.
func (d *decoder) decodeFloat(n node, v *unstable.Node, loc Location) bool {
	if v.Kind == unstable.Integer {
		if i, err := parseInt(v.Data); err == nil {
			n.value.SetFloat(float64(i))
			return true
		}
	}
	f, err := strconv.ParseFloat(strings.ReplaceAll(string(v.Data), "_", ""), 64)
	if v.Kind != unstable.Float || err != nil {
		d.mismatch(n, v, loc)
		return false
	}
	n.value.SetFloat(f)
	return true
}

// decodeStrings sets a list of strings. A list in a later file replaces the whole list.
func (d *decoder) decodeStrings(n node, v *unstable.Node, loc Location) bool {
	if v.Kind != unstable.Array {
		d.mismatch(n, v, loc)
		return false
	}
	list := reflect.MakeSlice(n.value.Type(), 0, 0)
	for it := v.Children(); it.Next(); {
		if it.Node().Kind != unstable.String {
			d.mismatch(n, it.Node(), loc)
			return false
		}
		text := reflect.ValueOf(string(it.Node().Data))
		list = reflect.Append(list, text.Convert(n.value.Type().Elem()))
	}
	n.value.Set(list)
	return true
}

// mismatch reports a value of the wrong type.
func (d *decoder) mismatch(n node, v *unstable.Node, loc Location) {
	d.unreadable[n.path] = true
	d.add(loc, n.key(), fmt.Sprintf("%s is expected, but this is %s: write %s",
		typeName(n.value.Type()), kindName(v.Kind), sample(n)))
}

// sample returns an example of a TOML key with a value for a node.
func sample(n node) string {
	last := n.keys[len(n.keys)-1]
	if isTable(n.value) {
		return "[" + n.key() + "] and the keys below it"
	}
	return last + " = " + example(n.value.Type())
}

// isTable reports whether a value is written as a TOML table.
func isTable(v reflect.Value) bool { return v.Kind() == reflect.Struct || isNamed(v) }

// isNamed reports whether a value is a list of named elements.
func isNamed(v reflect.Value) bool {
	return v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct
}

var durationType = reflect.TypeFor[spec.Duration]()

// typeName returns the name of a type as used in messages.
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

// example returns an example value of a type in TOML.
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

// kindName returns the name of a kind of TOML values as used in messages.
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

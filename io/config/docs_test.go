package config

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/spec"
)

// settingsRow matches a row of a table in docs/settings.md: key, type, unit, range, default, example.
var settingsRow = regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\| *([^|]*?) *\\| *([^|]*?) *\\| *([^|]*?) *\\| *([^|]*?) *\\| `([^|]*)` \\|$")

// Guards against a page that lacks a key, describes one that does not exist, or differs from the
// code in a type, default or range, and against examples that the parser rejects.
func TestSettingsPage(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings.md"))
	assert.NilError(t, err)
	page := map[string]string{}
	for _, m := range settingsRow.FindAllStringSubmatch(string(data), -1) {
		key, kind, def, example := m[1], m[2], m[5], m[6]
		assert.Equal(t, page[key], "", "%s is on the page twice", key)
		page[key] = kind + ", default " + strings.ReplaceAll(strings.Trim(def, "`"), "required", `""`)
		checkExample(t, key, example)
		checkRange(t, key, m[4])
	}
	code := map[string]string{}
	describe(code, "", reflect.ValueOf(DefaultSettings()))
	describe(code, "", reflect.ValueOf(spec.Fleet{}))
	assert.DeepEqual(t, slices.Sorted(maps.Keys(page)), slices.Sorted(maps.Keys(code)))
	assert.DeepEqual(t, page, code)
}

// describe adds the type and the default of each key of a struct.
func describe(out map[string]string, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		key, f := prefix+v.Type().Field(i).Name, v.Field(i)
		switch {
		case f.Kind() == reflect.Struct:
			describe(out, key+".", f)
		case isNamed(f):
			describe(out, key+".NAME.", reflect.Zero(f.Type().Elem()))
		case strings.HasSuffix(key, ".NAME.Name"):
		default:
			out[key] = strings.TrimSuffix(typeName(f.Type()), " in quotes") + ", default " + literal(f)
			out[key] = strings.TrimPrefix(out[key], "a ")
		}
	}
}

// literal formats a value as TOML.
func literal(v reflect.Value) string {
	if d, ok := v.Interface().(spec.Duration); ok {
		text, _ := d.MarshalText()
		return fmt.Sprintf("%q", text)
	}
	switch v.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Float64:
		return fmt.Sprintf("%.1f", v.Float())
	default:
		return fmt.Sprint(v.Interface())
	}
}

// checkExample checks that the parser accepts the example of a key.
func checkExample(t *testing.T, key, example string) {
	t.Helper()
	var fleet spec.Fleet
	settings := DefaultSettings()
	d := newDecoder(&settings)
	if strings.Contains(key, ".NAME.") {
		d = newDecoder(&fleet)
	}
	d.read("example", []byte(key+" = "+example+"\n"))
	assert.Equal(t, len(d.problems), 0, "%s = %s: %v", key, example, d.problems)
}

// pageRange matches a range of numbers or durations at the start of the range column.
var pageRange = regexp.MustCompile(`^(\d+)([a-z]*) to (\d+)([a-z]*)\b`)

// checkRange checks that the parser accepts the bounds of a range and rejects the values just beyond them.
func checkRange(t *testing.T, key, text string) {
	t.Helper()
	m := pageRange.FindStringSubmatch(text)
	if m == nil {
		return
	}
	low, high, beyond := m[1]+m[2], m[3]+m[4], m[3]+m[4]+"1ms"
	below := "-1ms"
	if m[2] == "ms" {
		below = "999us"
	}
	if m[2] == "" {
		l, errLow := strconv.Atoi(m[1])
		h, errHigh := strconv.Atoi(m[3])
		assert.NilError(t, errors.Join(errLow, errHigh))
		below, beyond = strconv.Itoa(l-1), strconv.Itoa(h+1)
	}
	for value, want := range map[string]bool{below: false, low: true, high: true, beyond: false} {
		if m[2] != "" {
			value = strconv.Quote(value)
		}
		assert.Equal(t, inRange(key, value), want, "%s = %s, on the page %s", key, value, text)
	}
}

// inRange reports whether the parser finds a value within its range.
func inRange(key, value string) bool {
	data := []byte(key + " = " + value + "\n")
	_, problems := ParseSettings("f.toml", data)
	if strings.Contains(key, ".NAME.") {
		_, problems = ParseFleet("f.toml", data)
	}
	return !slices.ContainsFunc(problems, func(p Problem) bool {
		return p.Key == key && strings.Contains(p.Message, "out of range")
	})
}

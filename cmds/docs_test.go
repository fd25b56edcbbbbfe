package cmds

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

// Guards against a page that lacks a command, a flag or the exit codes of a
// command, or that describes a command that does not exist.
func TestCommandPage(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "docs", "cli.md"))
	assert.NilError(t, err)
	page := sections(string(data))
	code := map[string]*cli.Command{"completion": {Name: "completion"}}
	root := newRoot(Streams{}, Runners{})
	collect(code, "", root)
	for name, section := range page {
		assert.Assert(t, code[name] != nil, "%q is on the page but not in the code", name)
		assert.Assert(t, regexp.MustCompile(`Exit codes?: 0`).MatchString(section), "%q has no exit codes", name)
	}
	for name, cmd := range code {
		section, ok := page[name]
		assert.Assert(t, ok, "%q is not on the page", name)
		for _, f := range cmd.Flags {
			assert.Assert(t, regexp.MustCompile(`--`+f.Names()[0]+`\b`).MatchString(section), "%q: --%s is not on the page", name, f.Names()[0])
		}
	}
	for _, f := range root.Flags {
		assert.Assert(t, regexp.MustCompile("(?m)^\\| `--"+f.Names()[0]+"\\b").Match(data), "--%s is not on the page", f.Names()[0])
	}
}

// sections returns the section of each command on the page by the command's name.
func sections(text string) map[string]string {
	out := map[string]string{}
	headings := regexp.MustCompile("(?m)^### `([a-z ]+)`$").FindAllStringSubmatchIndex(text, -1)
	for i, h := range headings {
		end := len(text)
		if i+1 < len(headings) {
			end = headings[i+1][0]
		}
		out[text[h[2]:h[3]]] = text[h[1]:end]
	}
	return out
}

// collect adds the commands without subcommands, by their full names.
func collect(out map[string]*cli.Command, prefix string, cmd *cli.Command) {
	for _, c := range cmd.Commands {
		if len(c.Commands) == 0 {
			out[prefix+c.Name] = c
		}
		collect(out, prefix+c.Name+" ", c)
	}
}

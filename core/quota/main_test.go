package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed, bounds the runs of rapid and disables its fail files, unless flags are given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]string{"rapid.nofailfile": "true", "rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "200"}
	for name, value := range defaults {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

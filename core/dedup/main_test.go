package dedup

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the state machine unless one is given, and keeps fail files out of the tree.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

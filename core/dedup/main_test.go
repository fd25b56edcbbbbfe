package dedup

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets fixed defaults for the rapid flags that are not given, and writes no fail files into the tree.
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

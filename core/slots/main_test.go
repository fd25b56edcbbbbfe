package slots

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that runs are repeatable, and disables fail files, which would be written to the
// source tree.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "80", "rapid.steps": "120"} {
		set := false
		flag.Parse()
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

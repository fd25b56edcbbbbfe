package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// TestBoundsFromSettings guards against bounds that are taken over in the wrong unit or without a check, and against an entry that
// does not start with settings from before the keys. Cases are in testdata/bounds.toml.
func TestBoundsFromSettings(t *testing.T) {
	const required = "Node = \"n\"\nFront = \"127.0.0.1:1\"\nReady = \"127.0.0.1:2\"\nPeer = \"127.0.0.1:3\"\n" +
		"[Store]\nAddr = \"127.0.0.1:4\"\nParts = 1\n[Cloud]\nAddr = \"127.0.0.1:5\"\n[Times]\nStatusMs = 1\nGraceMs = 1\n"
	data, err := os.ReadFile("testdata/bounds.toml")
	assert.NilError(t, err)
	var script struct {
		Case []struct {
			Name, Times                    string
			Problems                       []string
			Hold, Checkpoint, Move, Upkeep int64
		}
	}
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.toml")
			assert.NilError(t, os.WriteFile(path, []byte(required+c.Times+"\n"), 0o600))
			s, err := LoadSettings(path)
			if len(c.Problems) > 0 {
				lines := strings.Split(err.Error(), "\n")[1:]
				assert.Equal(t, len(lines), len(c.Problems), "%v", err)
				for i, key := range c.Problems {
					assert.Assert(t, strings.HasPrefix(lines[i], "Times."+key+" "), lines[i])
				}
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, []int64{s.Times.HoldMaxMs, s.Times.CheckpointMs, s.Times.MoveMs, s.Times.UpkeepMs},
				[]int64{c.Hold, c.Checkpoint, c.Move, c.Upkeep})
		})
	}
}

// TestTemplatesOfTheSettingsAgree guards against a key that is in one template only. The programs under review/ refuse placeholders
// that they do not know, so the optional bounds are in the template of the deploy file alone.
func TestTemplatesOfTheSettingsAgree(t *testing.T) {
	earlier, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	assert.NilError(t, err)
	present, err := os.ReadFile("../../deploy/entry.toml.tmpl")
	assert.NilError(t, err)
	added, ok := strings.CutPrefix(string(present), string(earlier))
	assert.Assert(t, ok, "the templates differ before the optional bounds")
	times := strings.NewReplacer("{{bounds.hold_max_ms}}", "6000", "{{bounds.remote_factor}}", "2", "{{bounds.checkpoint_interval_s}}", "0.5",
		"{{bounds.restore_ms}}", "300", "{{bounds.move_s}}", "1.5", "{{bounds.upkeep_s}}", "2").Replace(added)
	var s Settings
	assert.NilError(t, toml.Unmarshal([]byte("[Times]\n"+times), &s))
	assert.Equal(t, len(s.Times.problems()), 0)
	s.Times.convertSeconds()
	assert.DeepEqual(t, s.Times, TimeSettings{
		HoldMaxMs: 6000, RemoteFactor: 2, CheckpointMs: 500, CheckpointS: 0.5, RestoreMs: 300, MoveMs: 1500, MoveS: 1.5, UpkeepMs: 2000, UpkeepS: 2,
	})
}

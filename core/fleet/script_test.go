package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/spec"
)

// TestScripts runs the files of testdata. Each line is one of
//
//	Kind {payload}             a record that must be accepted
//	Kind {payload} -> reason   a record that must be rejected with a reason that contains this
//	as NAME Kind ...           the same with another writer
//	= query                    the text after "is" must be the answer
//
// In payloads, $name stands for the generation of VM name and $last for the last offset.
// Each script also folds into a second state that is restored from a
// snapshot after every record, which guards against state that a snapshot forgets.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := &script{t: t, state: NewState(scriptConfig), twin: NewState(scriptConfig)}
			for i, line := range strings.Split(string(data), "\n") {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					s.at = fmt.Sprintf("%s:%d: %s", file, i+1, line)
					s.run(line)
				}
			}
		})
	}
}

// scriptConfig refuses a pool without a name, as an example of a fault found by validation.
var scriptConfig = StateConfig{Validate: func(f spec.Fleet) []spec.Problem {
	for _, p := range f.Pools {
		if p.Name == "" {
			return []spec.Problem{{Path: "Pools", Message: "name is empty"}}
		}
	}
	return nil
}}

type script struct {
	t     *testing.T
	at    string
	state *State
	twin  *State
}

var variable = regexp.MustCompile(`\$\w+`)

func (s *script) run(line string) {
	if query, ok := strings.CutPrefix(line, "= "); ok {
		what, want, _ := strings.Cut(query, " is ")
		assert.Equal(s.t, s.answer(strings.Fields(what)), strings.TrimSpace(want), s.at)
		return
	}
	writer := ""
	if rest, ok := strings.CutPrefix(line, "as "); ok {
		writer, line, _ = strings.Cut(rest, " ")
	}
	line, reason, rejected := strings.Cut(line, " -> ")
	kind, payload, _ := strings.Cut(line, " ")
	r := s.record(kind, strings.TrimSpace(payload))
	if writer != "" {
		r.Writer = writer
	}
	res := s.state.Apply(s.state.Offset+1, r)
	assert.Equal(s.t, res.Accepted, !rejected, "%s: %+v", s.at, res)
	assert.Assert(s.t, strings.Contains(res.Reason, strings.TrimSpace(reason)), "%s: %+v", s.at, res)
	s.compareTwin(r)
}

func (s *script) record(kind, payload string) Record {
	payload = variable.ReplaceAllStringFunc(payload, func(v string) string {
		if vm := s.state.VMs[v[1:]]; vm != nil {
			return fmt.Sprint(vm.Gen)
		}
		return fmt.Sprint(s.state.Offset)
	})
	var r Record
	text := fmt.Sprintf(`{"ID":"r%d","Version":1,"Kind":%q,%q:%s}`, s.state.Offset+1, kind, kind, payload)
	assert.NilError(s.t, json.Unmarshal([]byte(text), &r), s.at)
	switch r.Kind {
	case KindAck:
		r.Writer = r.Ack.Member
	case KindSuspect:
		r.Writer = r.Suspect.By
	case KindLeave:
		r.Writer = r.Leave.Member
	default:
		r.Writer = "op"
	}
	return r
}

func (s *script) compareTwin(r Record) {
	data, err := Encode(r)
	assert.NilError(s.t, err, s.at)
	s.twin.ApplyRaw(s.twin.Offset+1, data)
	packed, sum, err := s.twin.Pack()
	assert.NilError(s.t, err, s.at)
	s.twin, err = Unpack(scriptConfig, packed, sum)
	assert.NilError(s.t, err, s.at)
	want, err := s.state.Encode()
	assert.NilError(s.t, err, s.at)
	got, err := s.twin.Encode()
	assert.NilError(s.t, err, s.at)
	assert.Equal(s.t, string(got), string(want), s.at)
}

func (s *script) answer(q []string) string {
	st := s.state
	switch q[0] {
	case "vm":
		vm := st.VMs[q[1]]
		if vm == nil {
			return "gone"
		}
		return fmt.Sprintf("%s in %s, waits for %v", vm.Phase, vm.Pool, st.MissingAcks(vm.ID))
	case "members":
		return fmt.Sprintf("live %v voters %v of %d", st.LiveMembers(q[1]), st.Voters(q[1]), st.GroupSize(q[1]))
	case "wave":
		w := st.Waves[q[1]]
		return fmt.Sprintf("%s pending %v out %v finished %v failed %v", w.Phase, w.Pending, w.Out, w.Finished, w.Failed)
	case "job":
		j := st.Jobs[q[1]]
		return fmt.Sprintf("%s run %d by %q %s", j.Phase, j.Run, j.Member, j.Outcome.Verdict)
	case "budget":
		b, _ := st.Budget(q[1])
		return fmt.Sprintf("%d of %d available, %d allowed, broken %v", b.Available, b.Total, b.AllowedNow, b.Broken)
	case "config":
		return fmt.Sprint(st.Config.Version)
	}
	return "unknown query"
}

// TestSkipped guards against a corrupt or newer record that stops the fold or changes the fleet.
func TestSkipped(t *testing.T) {
	s := NewState(StateConfig{})
	good, err := Encode(Record{ID: "a", Kind: KindLeave, Version: 1, Leave: &Leave{}})
	assert.NilError(t, err)
	bad := append([]byte{}, good...)
	bad[len(bad)-3] ^= 1
	assert.Assert(t, s.ApplyRaw(0, bad).Skipped)
	assert.Assert(t, s.Apply(1, Record{ID: "b", Kind: "Later", Version: 1}).Skipped)
	assert.Assert(t, s.Apply(2, Record{ID: "c", Kind: KindLeave, Version: 2, MinVersion: 2, Leave: &Leave{}}).Skipped)
	assert.Assert(t, s.Apply(3, Record{ID: "d", Kind: KindLeave, Version: 1}).Skipped, "no payload")
	assert.Equal(t, s.Skipped, SkipCounts{Corrupt: 2, UnknownKind: 1, UnknownVersion: 1})
	assert.Assert(t, s.ReadOnly())
	assert.Assert(t, !s.Apply(5, Record{}).Skipped && s.Offset == 3, "a gap must not be folded")
}

// TestWindows guards against unbounded memory and against a record ID forgotten too early.
func TestWindows(t *testing.T) {
	s := NewState(StateConfig{})
	leave := func(o int64, id string) Result {
		return s.Apply(o, Record{ID: id, Kind: KindLeave, Version: 1, Leave: &Leave{Member: "x"}})
	}
	for o := range int64(SeenWindow) {
		leave(o, fmt.Sprint(o))
	}
	assert.Assert(t, leave(SeenWindow, "1").Duplicate)
	_, ok := s.ResultOf("0")
	assert.Assert(t, !ok, "an ID older than the window is forgotten")
	res, ok := s.ResultOf("5")
	assert.Assert(t, ok && res.Offset == 5 && res.Kind == KindLeave && res.Reason != "", "%+v", res)
	assert.Assert(t, len(s.seen.entries) <= SeenWindow)
}

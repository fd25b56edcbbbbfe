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

// TestFoldScripts guards against records that the fold accepts or rejects wrongly, and against fields that a
// snapshot does not restore. It folds the records of each file of testdata, whose first line names the failure.
// A second state folds the same records and is restored from a snapshot after each of them; both must stay equal.
// Each line of a file is one of
//
//	Kind {payload}             a record that must be accepted
//	Kind {payload} -> reason   a record that must be rejected with a reason that contains this text
//	as NAME Kind ...           the same with NAME as writer
//	= query is answer          a query of the state with its expected answer
//
// In payloads, $name is replaced by the generation of VM name and $last by the last offset.
func TestFoldScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := &script{t: t, state: NewState(scriptConfig), restored: NewState(scriptConfig)}
			for i, line := range strings.Split(string(data), "\n") {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					s.position = fmt.Sprintf("%s:%d: %s", file, i+1, line)
					s.run(line)
				}
			}
		})
	}
}

// scriptConfig rejects a pool without a name, as an example of a problem found by validation.
var scriptConfig = StateConfig{Validate: func(f spec.Fleet) []spec.Problem {
	for _, p := range f.Pools {
		if p.Name == "" {
			return []spec.Problem{{Path: "Pools", Message: "name is empty"}}
		}
	}
	return nil
}}

type script struct {
	t        *testing.T
	position string
	state    *State
	restored *State
}

var variablePattern = regexp.MustCompile(`\$\w+`)

func (s *script) run(line string) {
	if query, ok := strings.CutPrefix(line, "= "); ok {
		text, want, _ := strings.Cut(query, " is ")
		assert.Equal(s.t, s.answer(strings.Fields(text)), strings.TrimSpace(want), s.position)
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
	assert.Equal(s.t, res.Accepted, !rejected, "%s: %+v", s.position, res)
	assert.Assert(s.t, strings.Contains(res.Reason, strings.TrimSpace(reason)), "%s: %+v", s.position, res)
	s.compareRestored(r)
}

func (s *script) record(kind, payload string) Record {
	payload = variablePattern.ReplaceAllStringFunc(payload, func(v string) string {
		if vm := s.state.VMs[v[1:]]; vm != nil {
			return fmt.Sprint(vm.Gen)
		}
		return fmt.Sprint(s.state.Offset)
	})
	var r Record
	text := fmt.Sprintf(`{"ID":"r%d","Version":1,"Kind":%q,%q:%s}`, s.state.Offset+1, kind, kind, payload)
	assert.NilError(s.t, json.Unmarshal([]byte(text), &r), s.position)
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

func (s *script) compareRestored(r Record) {
	data, err := Encode(r)
	assert.NilError(s.t, err, s.position)
	s.restored.ApplyEncoded(s.restored.Offset+1, data)
	packed, sum, err := s.restored.Pack()
	assert.NilError(s.t, err, s.position)
	s.restored, err = Unpack(scriptConfig, packed, sum)
	assert.NilError(s.t, err, s.position)
	want, err := s.state.Encode()
	assert.NilError(s.t, err, s.position)
	got, err := s.restored.Encode()
	assert.NilError(s.t, err, s.position)
	assert.Equal(s.t, string(got), string(want), s.position)
}

func (s *script) answer(q []string) string {
	st := s.state
	switch q[0] {
	case "vm":
		vm := st.VMs[q[1]]
		if vm == nil {
			return "removed"
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

// TestUnreadableRecordsAreSkipped guards against a corrupt record, or one of a newer program, that stops the fold
// or changes the state.
func TestUnreadableRecordsAreSkipped(t *testing.T) {
	s := NewState(StateConfig{})
	good, err := Encode(Record{ID: "a", Kind: KindLeave, Version: 1, Leave: &Leave{}})
	assert.NilError(t, err)
	bad := append([]byte{}, good...)
	bad[len(bad)-3] ^= 1
	assert.Assert(t, s.ApplyEncoded(0, bad).Skipped)
	assert.Assert(t, s.Apply(1, Record{ID: "b", Kind: "Later", Version: 1}).Skipped)
	assert.Assert(t, s.Apply(2, Record{ID: "c", Kind: KindLeave, Version: 2, MinVersion: 2, Leave: &Leave{}}).Skipped)
	assert.Assert(t, s.Apply(3, Record{ID: "d", Kind: KindLeave, Version: 1}).Skipped, "no payload")
	assert.Equal(t, s.Skipped, SkipCounts{Corrupt: 2, UnknownKind: 1, UnknownVersion: 1})
	assert.Assert(t, s.ReadOnly())
	assert.Assert(t, !s.Apply(5, Record{}).Skipped && s.Offset == 3, "a gap must not be folded")
}

// TestRecordIDWindow guards against record IDs that are stored without bound, and against IDs that are
// deleted too early, so that a repeated append takes effect twice.
func TestRecordIDWindow(t *testing.T) {
	s := NewState(StateConfig{})
	leave := func(o int64, id string) Result {
		return s.Apply(o, Record{ID: id, Kind: KindLeave, Version: 1, Leave: &Leave{Member: "x"}})
	}
	for o := range int64(RecordIDWindow) {
		leave(o, fmt.Sprint(o))
	}
	assert.Assert(t, leave(RecordIDWindow, "1").Duplicate)
	_, ok := s.ResultOf("0")
	assert.Assert(t, !ok, "an ID older than the window is forgotten")
	res, ok := s.ResultOf("5")
	assert.Assert(t, ok && res.Offset == 5 && res.Kind == KindLeave && res.Reason != "", "%+v", res)
	assert.Assert(t, len(s.seen.entries) <= RecordIDWindow)
}

package plan_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/plan"
	"sassafrasvalve/core/spec"
)

// script runs one file of testdata. The commands are:
//
//	pool NAME SIZE [spare] [min=N]   adds a pool, with a service if min is given
//	config fill=0|1 lend=N           sets FillPools and WaveSpares and creates a new planner
//	vms POOL ID...                   adds active VMs, each in the rack named by the letters of its ID
//	list ID key=value...             changes the VM in the list: state, rebooting, boots, addr, entry, rack
//	list ID removed                  removes the VM from the list
//	report ID ejected=N refused=N    sets the report on a VM
//	probe ID up|down                 sets whether probes of the VM succeed from now on
//	reporting N                      sets the number of entries that report, of 3
//	age D                            sets the age of the list from now on
//	wave ID BATCH MAXBATCH POOL...   plans and starts a wave
//	record hold|move|fail ID [POOL]  folds a record on a VM
//	record pause|abort ID            folds a record on a wave
//	ack                              all entries acknowledge all drains
//	wait D                           advances the clock by D; the calls of each second before the end must plan nothing
//	run D                            advances the clock by D and folds what is planned in each second
//	fold                             calls the planner once and folds what it plans
//	takeover                         continues with an empty planner
//	> LINE                           expects a record, reboot or deferral as the next result of the last call;
//	                                 after a command other than fold, the planner is called without folding
//	none                             expects that a new call plans nothing
type script struct {
	t         *testing.T
	position  string
	st        *fleet.State
	cfg       plan.Config
	p         *plan.Planner
	obs       plan.Observations
	now       time.Time
	listAge   time.Duration
	answering map[string]bool
	spec      spec.Fleet
	ids       int
	unmatched []string
	called    bool
}

// TestRuleScripts guards against rules that act too early, too late, without the required observations or with
// the wrong record. Each file of testdata tests the rules that its first line names.
func TestRuleScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { runScript(t, f) })
	}
}

func runScript(t *testing.T, name string) {
	s := &script{
		t: t, st: fleet.NewState(fleet.StateConfig{}), now: time.Date(2026, 3, 2, 4, 0, 0, 0, time.UTC), answering: map[string]bool{},
		obs: plan.Observations{Region: "r", Reporting: 3, Reports: map[string]plan.HealthReport{}, List: plan.VMList{Read: true, VMs: map[string]plan.ListedVM{}}},
	}
	s.p = plan.New(s.cfg)
	for i := range 3 {
		id := fleet.MemberID(fmt.Sprintf("e%d", i), 1)
		s.fold(fleet.Record{Kind: fleet.KindJoin, Writer: id, Join: &fleet.Join{Member: fleet.Member{
			ID: id, VM: fmt.Sprintf("e%d", i), Epoch: 1, Region: "r",
		}}})
	}
	f, err := os.Open(name)
	assert.NilError(t, err)
	defer f.Close()
	sc := bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		s.position = fmt.Sprintf("%s:%d", name, n)
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		s.line(line)
	}
	s.checkAllMatched()
}

func (s *script) line(line string) {
	if want, ok := strings.CutPrefix(line, "> "); ok {
		s.call()
		assert.Assert(s.t, len(s.unmatched) > 0, "%s: nothing left, expected %s", s.position, want)
		assert.Equal(s.t, s.unmatched[0], want, s.position)
		s.unmatched = s.unmatched[1:]
		return
	}
	if line == "none" {
		s.checkAllMatched()
		s.call()
		assert.Equal(s.t, len(s.unmatched), 0, "%s: %v", s.position, s.unmatched)
		return
	}
	s.checkAllMatched()
	f := strings.Fields(line)
	switch f[0] {
	case "config":
		s.config(f[1:])
	case "pool":
		s.pool(f[1:])
	case "vms":
		s.vms(f[1], f[2:])
	case "list":
		s.list(f[1], f[2:])
	case "report":
		s.obs.Reports[f[1]] = plan.HealthReport{Ejected: s.number(f[2:], "ejected"), Unreachable: s.number(f[2:], "refused")}
	case "probe":
		s.answering[f[1]] = f[2] == "up"
	case "reporting":
		s.obs.Reporting = s.atoi(f[1])
	case "age":
		s.listAge = s.duration(f[1])
	case "wave":
		s.must(fleet.Record{Kind: fleet.KindWave, Wave: &fleet.WaveChange{
			ID: f[1], Action: fleet.WavePlan, Batch: s.atoi(f[2]), MaxBatch: s.atoi(f[3]), Pools: f[4:],
		}})
		s.must(fleet.Record{Kind: fleet.KindWave, Wave: &fleet.WaveChange{ID: f[1], Action: fleet.WaveStart}})
	case "record":
		s.record(f[1], f[2], f[3:])
	case "ack":
		s.ack()
	case "wait":
		for end := s.now.Add(s.duration(f[1])); ; {
			if s.now = s.now.Add(time.Second); !s.now.Before(end) {
				break
			}
			act := s.plan()
			assert.Equal(s.t, len(act.Records)+len(act.Reboots), 0, "%s: %s before the end: %v", s.position, end.Sub(s.now), lines(act))
		}
	case "run":
		for end := s.now.Add(s.duration(f[1])); s.now.Before(end); {
			s.now = s.now.Add(time.Second)
			s.foldAll(s.plan())
		}
	case "fold":
		act := s.plan()
		s.unmatched, s.called = lines(act), true
		s.foldAll(act)
	case "takeover":
		s.p = plan.New(s.cfg)
	default:
		s.t.Fatalf("%s: unknown command %q", s.position, f[0])
	}
}

// checkAllMatched checks that the script expected all results of the last call.
func (s *script) checkAllMatched() {
	assert.Equal(s.t, len(s.unmatched), 0, "before %s: not expected: %v", s.position, s.unmatched)
	s.called = false
}

func (s *script) call() {
	if !s.called {
		s.unmatched, s.called = lines(s.plan()), true
	}
}

func (s *script) plan() plan.Actions {
	s.obs.List.AsOf = s.now.Add(-s.listAge)
	s.obs.Probes = map[string]time.Time{}
	for id, up := range s.answering {
		if up {
			s.obs.Probes[id] = s.now
		}
	}
	return s.p.Plan(s.st, s.obs, s.now)
}

// foldAll folds the records. The fold must accept all of them, since the planner saw the current state.
func (s *script) foldAll(act plan.Actions) {
	for _, r := range act.Records {
		s.must(r)
	}
}

func (s *script) fold(r fleet.Record) fleet.Result {
	s.ids++
	r.ID = strconv.Itoa(s.ids)
	if r.Writer == "" {
		r.Writer = "e0#1"
	}
	return s.st.Apply(s.st.Offset+1, r)
}

func (s *script) must(r fleet.Record) {
	res := s.fold(r)
	assert.Assert(s.t, res.Accepted, "%s: %s: %s", s.position, r.Kind, res.Reason)
}

func (s *script) config(args []string) {
	s.cfg.FillPools = s.number(args, "fill") == 1
	s.cfg.WaveSpares = s.number(args, "lend")
	s.p = plan.New(s.cfg)
}

func (s *script) pool(args []string) {
	p := spec.Pool{Name: args[0], Region: "r", Size: s.atoi(args[1])}
	if n := s.number(args, "min"); n > 0 {
		s.spec.Services = append(s.spec.Services, spec.Service{Name: "svc-" + p.Name, Pool: p.Name, Budget: spec.Budget{MinAvailable: n}})
	}
	for _, a := range args {
		p.Spare = p.Spare || a == "spare"
	}
	s.spec.Pools = append(s.spec.Pools, p)
	s.must(fleet.Record{Kind: fleet.KindConfigure, Configure: &fleet.Configure{Base: s.st.Config.Version, Fleet: s.spec}})
}

func (s *script) vms(pool string, ids []string) {
	for _, id := range ids {
		rack := strings.TrimRight(id, "0123456789")
		l := plan.ListedVM{State: plan.ListLive, DC: "d", Rack: rack, Region: "r", Addr: id + ":80"}
		s.obs.List.VMs[id] = l
		s.must(fleet.Record{Kind: fleet.KindObserve, Observe: &fleet.Observe{VM: id, Addr: l.Addr, DC: "d", Rack: rack, Region: "r", Pool: pool}})
	}
}

func (s *script) list(id string, args []string) {
	if args[0] == "removed" {
		delete(s.obs.List.VMs, id)
		return
	}
	l, ok := s.obs.List.VMs[id]
	if !ok {
		l = plan.ListedVM{State: plan.ListLive, DC: "d", Rack: "new", Region: "r", Addr: id + ":80"}
	}
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "state":
			l.State = plan.ListState(value)
		case "rebooting":
			l.Rebooting = value == "1"
		case "boots":
			l.Boots = s.atoi(value)
		case "addr":
			l.Addr = value
		case "entry":
			l.RunsEntry = value == "1"
		case "rack":
			l.Rack = value
		}
	}
	s.obs.List.VMs[id] = l
}

func (s *script) record(kind, id string, args []string) {
	gen := int64(0)
	if vm := s.st.VMs[id]; vm != nil {
		gen = vm.Gen
	}
	switch kind {
	case "hold":
		s.must(fleet.Record{Kind: fleet.KindDrain, Writer: "op", Drain: &fleet.Drain{VM: id, Gen: gen, Purpose: fleet.PurposeHold}})
	case "move":
		s.must(fleet.Record{Kind: fleet.KindDrain, Writer: "op", Drain: &fleet.Drain{VM: id, Gen: gen, Purpose: fleet.PurposeMove, To: args[0]}})
	case "fail":
		s.must(fleet.Record{Kind: fleet.KindFail, Fail: &fleet.Fail{VM: id, Gen: gen}})
	case "pause", "abort":
		action := map[string]fleet.WaveAction{"pause": fleet.WavePause, "abort": fleet.WaveAbort}[kind]
		s.must(fleet.Record{Kind: fleet.KindWave, Writer: "op", Wave: &fleet.WaveChange{ID: id, Action: action}})
	default:
		s.t.Fatalf("%s: unknown record %q", s.position, kind)
	}
}

func (s *script) ack() {
	for _, m := range s.st.LiveMembers("r") {
		if due := s.st.DrainsToAck(m); len(due) > 0 {
			s.must(fleet.Record{Kind: fleet.KindAck, Writer: m, Ack: &fleet.Ack{Member: m, Through: s.st.Offset, VMs: due}})
		}
	}
}

func (s *script) number(args []string, key string) int {
	for _, a := range args {
		if v, ok := strings.CutPrefix(a, key+"="); ok {
			return s.atoi(v)
		}
	}
	return 0
}

func (s *script) atoi(v string) int {
	n, err := strconv.Atoi(v)
	assert.NilError(s.t, err, s.position)
	return n
}

func (s *script) duration(v string) time.Duration {
	d, err := time.ParseDuration(v)
	assert.NilError(s.t, err, s.position)
	return d
}

func lines(a plan.Actions) []string {
	out := make([]string, 0, len(a.Records)+len(a.Reboots)+len(a.Deferrals))
	for _, r := range a.Records {
		out = append(out, fmt.Sprintf("%s %s: %s", r.Rule, describe(r), r.Reason))
	}
	for _, id := range a.Reboots {
		out = append(out, "reboot "+id)
	}
	for _, d := range a.Deferrals {
		out = append(out, strings.Join(strings.Fields(fmt.Sprintf("deferred %s %s %s", d.Rule, d.VM, d.Pool)), " ")+": "+d.Reason)
	}
	return out
}

func describe(r fleet.Record) string {
	switch r.Kind {
	case fleet.KindObserve:
		return fmt.Sprintf("Observe %s %s %s", r.Observe.VM, r.Observe.Addr, r.Observe.Pool)
	case fleet.KindDrain:
		d := fmt.Sprintf("Drain %s %s%s", r.Drain.VM, r.Drain.Purpose, r.Drain.To)
		if r.Drain.Involuntary {
			d += " involuntary"
		}
		return d
	case fleet.KindAssign:
		return fmt.Sprintf("Assign %s %s", r.Assign.VM, r.Assign.To)
	case fleet.KindReboot:
		return "Reboot " + r.Reboot.VM
	case fleet.KindActivate:
		return "Activate " + r.Activate.VM
	case fleet.KindFail:
		return "Fail " + r.Fail.VM
	case fleet.KindRemove:
		return "Remove " + r.Remove.VM
	case fleet.KindWave:
		return fmt.Sprintf("Wave %s %s", r.Wave.ID, r.Wave.Action)
	default:
		return string(r.Kind)
	}
}

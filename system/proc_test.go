package system

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/fake/ports"
	"sassafrasvalve/fake/worker"
	"sassafrasvalve/io/oplog"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sassafrasvalve-system-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	// The programs are built with the race detector if the tests are.
	args := []string{"build", "-o", dir}
	if raceEnabled {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "sassafrasvalve/cmd/sassafrasvalve", "sassafrasvalve/cmd/svfake")...).CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build the programs: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program under test. Its output is logged if the test fails.
type process struct {
	t    *testing.T
	name string
	args []string
	cmd  *exec.Cmd
	out  *syncBuffer
	done chan struct{}
	err  error
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: append([]string{program}, args...), out: &syncBuffer{}}
	p.start()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		out := p.out.String()
		assert.Check(t, !strings.Contains(out, "DATA RACE"), "%s has a data race", p.name)
		if t.Failed() {
			t.Logf("output of %s:\n%s", p.name, lastBytes(out, 6000))
		}
	})
	return p
}

func lastBytes(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) start() {
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	assert.NilError(p.t, p.cmd.Start())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		p.err = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeAddrs returns n loopback addresses that no other test process gets meanwhile.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	list, err := ports.Free(n)
	assert.NilError(t, err)
	return list
}

// world is a platform, workers and entries, each running as a separate process.
type world struct {
	t        *testing.T
	platform *process
	cloud    string // address of the platform
	vms      []cloud.VM
	workers  map[string]*process // by VM
	entries  []*entryProc
	log      *oplog.Client
}

// entryProc is the process of an entry with its addresses and the path of its settings.
type entryProc struct {
	*process
	vm, listen, peer, admin string
	settings                string
}

// worldConfig configures a world.
type worldConfig struct {
	Entries int
	Pools   map[string]int // workers by pool
	Fleet   spec.Fleet
	Cloud   []string // additional command-line arguments of the platform
}

func newWorld(t *testing.T, cfg worldConfig) *world {
	t.Helper()
	w := &world{t: t, workers: map[string]*process{}}
	w.cloud = freeAddrs(t, 1)[0]
	w.startWorkers(cfg)
	list := filepath.Join(t.TempDir(), "vms.json")
	data, err := json.Marshal(w.vms)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(list, data, 0o600))
	args := append([]string{"cloud", "--listen", w.cloud, "--vms", list, "--reboot-time", "1s"}, cfg.Cloud...)
	w.platform = startProcess(t, "platform", "svfake", args...)
	w.log = oplog.NewClient(oplog.Config{Base: "http://" + w.cloud, ClientID: "test"})
	w.eventually("platform answers", 10*time.Second, func() error {
		_, err := w.log.Bounds(t.Context())
		return err
	})
	w.bootstrap(cfg)
	w.startEntries(cfg.Entries)
	return w
}

// startWorkers starts the workers of all pools: four to a rack, and consecutive workers in different data centres of
// three.
func (w *world) startWorkers(cfg worldConfig) {
	for _, p := range cfg.Fleet.Pools {
		n := cfg.Pools[p.Name]
		addrs := freeAddrs(w.t, n)
		for i, addr := range addrs {
			vm := cloud.VM{
				ID: fmt.Sprintf("%s-%d", p.Name, i+1), Addr: addr, Region: "west", State: cloud.StateLive,
				DC: fmt.Sprintf("west-%d", i%3+1), Rack: fmt.Sprintf("%s-rack-%d", p.Name, i/4+1),
			}
			w.vms = append(w.vms, vm)
			w.workers[vm.ID] = startProcess(w.t, vm.ID, "svfake", "worker", "--listen", addr, "--name", vm.ID)
		}
	}
}

// bootstrap appends the first configuration and the VMs to the log, as an operator's first apply does.
func (w *world) bootstrap(cfg worldConfig) {
	records := []fleet.Record{{Kind: fleet.KindConfigure, Writer: "operator", Configure: &fleet.Configure{Fleet: cfg.Fleet}}}
	for _, vm := range w.vms {
		pool := vm.ID[:strings.LastIndex(vm.ID, "-")]
		records = append(records, fleet.Record{Kind: fleet.KindObserve, Writer: "operator", Observe: &fleet.Observe{
			VM: vm.ID, Addr: vm.Addr, DC: vm.DC, Rack: vm.Rack, Region: vm.Region, Pool: pool,
		}})
	}
	for i, r := range records {
		w.append(fmt.Sprintf("bootstrap-%d", i), r)
	}
}

// append appends a record to the log and returns its offset.
func (w *world) append(id string, r fleet.Record) int64 {
	w.t.Helper()
	r.ID, r.Version, r.At = id, fleet.RecordVersion, time.Now()
	data, err := fleet.Encode(r)
	assert.NilError(w.t, err)
	span, err := w.log.Append(w.t.Context(), [][]byte{data})
	assert.NilError(w.t, err)
	return span.First
}

func (w *world) startEntries(n int) {
	// All ports are chosen before the first entry starts, so that the system does not assign one of them twice.
	all := freeAddrs(w.t, 3*n)
	peers := all[:n]
	for i := range n {
		a := all[n+2*i:]
		e := &entryProc{vm: fmt.Sprintf("entry-%d", i+1), listen: a[0], peer: peers[i], admin: a[1]}
		e.settings = filepath.Join(w.t.TempDir(), e.vm+".toml")
		text := fmt.Sprintf("VM = %q\nRegion = \"west\"\nDC = \"west-%d\"\nListen = %q\nPeer = %q\nAdmin = %q\nPeers = [%s]\nPlatform = %q\nLogLevel = \"info\"\nBalancerWait = \"300ms\"\nFaultInjection = true\n",
			e.vm, i%3+1, e.listen, e.peer, e.admin, quoted(peers), "http://"+w.cloud)
		assert.NilError(w.t, os.WriteFile(e.settings, []byte(text), 0o600))
		e.process = startProcess(w.t, e.vm, "sassafrasvalve", "daemon", "--settings", e.settings)
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		w.eventually(e.vm+" serves", 20*time.Second, func() error {
			a, err := e.send(request{})
			if err == nil && a.Status != http.StatusOK {
				err = fmt.Errorf("status %d: %s", a.Status, a.Body)
			}
			return err
		})
	}
}

func quoted(list []string) string {
	q := make([]string, len(list))
	for i, s := range list {
		q[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(q, ", ")
}

// eventually waits until f returns nil.
func (w *world) eventually(what string, limit time.Duration, f func() error) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if err := f(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(limit), poll.WithDelay(50*time.Millisecond))
}

// fault changes the faults of the platform.
func (w *world) fault(f cloud.Fault) {
	w.t.Helper()
	postJSON(w.t, "http://"+w.cloud+"/fault", f)
}

func postJSON(t *testing.T, url string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	assert.Assert(t, resp.StatusCode < 300, "POST %s: %s", url, resp.Status)
}

// counts returns the counters of the worker on a VM.
func (w *world) counts(vm string) worker.Counts {
	w.t.Helper()
	var c worker.Counts
	w.getJSON("http://"+w.addr(vm)+"/ran", &c)
	return c
}

func (w *world) getJSON(url string, v any) {
	w.t.Helper()
	resp, err := http.Get(url)
	assert.NilError(w.t, err)
	defer resp.Body.Close()
	assert.NilError(w.t, json.NewDecoder(resp.Body).Decode(v))
}

func (w *world) addr(vm string) string {
	for _, v := range w.vms {
		if v.ID == vm {
			return v.Addr
		}
	}
	w.t.Fatalf("VM %q does not exist", vm)
	return ""
}

// state returns the state folded from the whole log.
func (w *world) state() *fleet.State {
	w.t.Helper()
	st := fleet.NewState(fleet.StateConfig{Validate: spec.Validate})
	for {
		page, err := w.log.Read(w.t.Context(), st.Offset+1, 512, 0)
		assert.NilError(w.t, err)
		if len(page.Records) == 0 {
			return st
		}
		for _, e := range page.Records {
			st.ApplyEncoded(e.Offset, e.Data)
		}
	}
}

// request is a request of a caller. Fields that are zero get defaults.
type request struct {
	Method, Path, Service, Class, Tenant, Key, Body string
	Header                                          http.Header
	Timeout                                         time.Duration
}

// answer is the response that a caller got.
type answer struct {
	Status  int
	Verdict string
	Header  http.Header
	Body    string
	Took    time.Duration
}

// callerClient is the client of all callers. It does not reuse connections, because the transport repeats some
// requests by itself on reused connections.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (e *entryProc) send(r request) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(r.Timeout, 10*time.Second))
	defer cancel()
	var body io.Reader
	if r.Body != "" {
		body = strings.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, orDefault(r.Method, "GET"), "http://"+e.listen+orDefault(r.Path, "/x"), body)
	if err != nil {
		return answer{}, err
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	req.Header.Set("Sassafrasvalve-Service", orDefault(r.Service, "holds"))
	req.Header.Set("Sassafrasvalve-Class", orDefault(r.Class, "urgent"))
	req.Header.Set("Sassafrasvalve-Tenant", orDefault(r.Tenant, "clubs"))
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	began := time.Now()
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	a := answer{Status: resp.StatusCode, Verdict: resp.Header.Get("Sassafrasvalve-Verdict"), Header: resp.Header}
	data, err := io.ReadAll(resp.Body)
	a.Body, a.Took = string(data), time.Since(began)
	return a, err
}

func orDefault(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

// smallFleet returns a configuration with two pools, a service for each, and a spare pool.
func smallFleet(sizes map[string]int) spec.Fleet {
	return spec.Fleet{
		Pools: []spec.Pool{{Name: "alpha", Size: sizes["alpha"]}, {Name: "beta", Size: sizes["beta"]}, {Name: "spare", Size: sizes["spare"], Spare: true}},
		Services: []spec.Service{
			{Name: "holds", Pool: "alpha", Budget: spec.Budget{MinAvailable: sizes["alpha"] - 1}},
			{Name: "scores", Pool: "beta", Budget: spec.Budget{MinAvailable: sizes["beta"] - 1}},
		},
		Classes: []spec.Class{
			{Name: "urgent", Rank: 0, Share: 0.5, MaxWait: spec.Duration(2500 * time.Millisecond)},
			{Name: "reads", Rank: 1, Share: 0.2, MaxWait: spec.Duration(5 * time.Second), Idempotent: true},
			{Name: "night", Rank: 2, Share: 0.1, Deferrable: true, Idempotent: true, FinishBy: "Sat 06:00"},
		},
		Tenants: []spec.Tenant{{Name: "clubs"}, {Name: "pubs"}},
	}
}

// smallWorld returns a world of smallFleet with 3, 2 and 2 workers. more are additional arguments of the platform.
func smallWorld(t *testing.T, entries int, more ...string) *world {
	t.Helper()
	sizes := map[string]int{"alpha": 3, "beta": 2, "spare": 2}
	return newWorld(t, worldConfig{Entries: entries, Pools: sizes, Fleet: smallFleet(sizes), Cloud: more})
}

// Package soak runs entries as separate processes against a fake platform and injects faults in random order:
// signals to the processes, and broken connections by proxies.
package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/fake/plat"
	"sassafrasvalve/fake/ports"
	"sassafrasvalve/platform"
)

// Numbers of processes, times and default seeds of a run.
const (
	entryCount      = 3
	vmCount         = 4
	secondVMCount   = 2 // VMs of the service to which the queue is moved
	faultTime       = 8 * time.Second
	completionLimit = 30 * time.Second
	poisonEvery     = 40 // every poisonEvery-th job has an item that crashes its VMs
	ciSeeds         = "1-2"
)

// seedsEnv is the environment variable with the range of seeds to run, as FIRST-LAST.
const seedsEnv = "SOAK_SEEDS"

// regressions are seeds that once failed, with the cause of the failure. They run with every range of seeds.
var regressions = map[uint64]string{
	10: "the fake platform booted a second VM on a machine that crashed while it was moving; the list of machines named " +
		"only one of them, so the owner considered the other one dead and started its items again; later, an entry that " +
		"was killed while it was being replaced was waited for and restarted twice",
	13: "a repeated request of a job ran again on the service to which its queue had moved",
	27: "as seed 13; the items ran on the new service after they had ended on the other one",
}

// process is an entry whose program can be killed and restarted.
type process struct {
	t         *testing.T
	bin, dir  string
	name      string
	settings  string
	front     string
	peer      string
	store     *proxy
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{} // closed when cmd has exited
	closed    bool          // the test has ended; the program must not be started again
	replaceMu sync.Mutex    // held while the program is being replaced
}

func freeAddr(t *testing.T) string {
	list, err := ports.Free(1)
	assert.NilError(t, err)
	return list[0]
}

// relayCPUShare is a CPU share so low that an entry calls only one VM directly and relays the calls to the other VMs
// through other entries. Odd seeds use it.
const relayCPUShare = 0.008

// unevenCPUShares are CPU shares with which a shard moves to the entry with the highest share whenever another entry
// has claimed it. Every third seed uses them.
var unevenCPUShares = [entryCount]float64{0.1, 0.3, 0.8}

// cpuShare returns the share of a core of entry i under a seed; 0 leaves the share unset.
func cpuShare(seed uint64, i int) float64 {
	if seed%3 == 0 {
		return unevenCPUShares[i]
	}
	return relayCPUShare * float64(seed%2)
}

func newProcess(t *testing.T, bin, dir, name string, share float64, p *plat.Platform) *process {
	store, err := newProxy(p.Store())
	assert.NilError(t, err)
	e := &process{t: t, bin: bin, dir: dir, name: name, front: freeAddr(t), peer: freeAddr(t), store: store, settings: filepath.Join(dir, name+".toml")}
	text := fmt.Sprintf(`Node = %q
Front = %q
Ready = %q
Peer = %q
LogLevel = "info"
CPUShare = %g
[Store]
Addr = %q
Parts = 12
[Cloud]
Addr = %q
[Times]
StatusMs = 120000
GraceMs = 6000
LeaseMs = 300
`, name, e.front, freeAddr(t), e.peer, share, store.addr(), p.Cloud())
	assert.NilError(t, os.WriteFile(e.settings, []byte(text), 0o600))
	return e
}

// start starts the program, unless the test has ended.
func (e *process) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(e.t, err)
	defer log.Close()
	cmd, exited := exec.Command(e.bin, "entry", "--settings", e.settings), make(chan struct{})
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(e.t, cmd.Start())
	go func() {
		_ = cmd.Wait() // a killed process always returns an error
		close(exited)
	}()
	e.cmd, e.exited = cmd, exited
}

// signal sends a signal to the current process and returns the process.
func (e *process) signal(s syscall.Signal) *exec.Cmd {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s) // the process may have exited by itself
	return e.cmd
}

// replace ends the process by a signal and starts the next one. A process that is already being replaced only gets
// the signal, so that never two processes of one name run at the same time.
func (e *process) replace(s syscall.Signal) {
	cmd := e.signal(s)
	e.replaceMu.Lock()
	defer e.replaceMu.Unlock()
	if e.currentCmd() != cmd {
		return
	}
	e.awaitExit()
	e.start()
}

func (e *process) currentCmd() *exec.Cmd {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd
}

// awaitExit waits until the process has exited after a signal. It kills the process after 8 s.
func (e *process) awaitExit() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// close ends the process and prevents a replacement in progress from starting another one.
func (e *process) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	e.replaceMu.Lock()
	defer e.replaceMu.Unlock()
	e.awaitExit()
	e.store.close()
}

// soak is a run with one seed.
type soak struct {
	t         *testing.T
	rng       *rand.Rand
	extraRng  *rand.Rand // for faults that were added later, so that rng still draws the same values for a seed
	platRng   *rand.Rand // for faults of the platform that were added after those
	plat      *plat.Platform
	entries   []*process
	client    *http.Client
	mu        sync.Mutex
	vmProxies []*proxy       // one for each VM lifetime, added when the fake platform boots a VM
	submitted map[string]any // bodies of the accepted requests, by job
	events    []string       // the injected faults in order, for failure messages
}

// listVMProxies returns the proxies of all VM lifetimes until now.
func (s *soak) listVMProxies() []*proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vmProxies)
}

func (s *soak) logEvent(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

// call sends a request to an entry. It returns the status and the body, or 0 and the error if there is no answer.
func (s *soak) call(e *process, method, path string, body any) (int, string) {
	b, err := json.Marshal(body)
	assert.NilError(s.t, err)
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(b))
	assert.NilError(s.t, err)
	req.Host = plat.Host
	res, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

// submit submits a job with random steps at a random entry. It returns the status, or 0 if there is no answer.
func (s *soak) submit(id string) int {
	n := 1 + s.rng.IntN(4)
	ms := 50 + s.rng.Int64N(600)
	steps := []jobs.Step{{Count: n, CPU: 2000, MemMB: 1000, EstimateMs: ms}, {Count: 1, CPU: 1000, MemMB: 500, EstimateMs: ms, After: []int{0}}}
	s.plat.SetSteps(id, steps)
	body := map[string]any{"spec": "x", "steps": []any{
		map[string]any{"count": n, "cpu": 2000, "mem_mb": 1000, "estimate_ms": ms},
		map[string]any{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": ms, "after": []int{0}},
	}}
	status, _ := s.call(s.entries[s.rng.IntN(len(s.entries))], http.MethodPost, plat.Prefix+id, body)
	if status == http.StatusOK {
		s.submitted[id] = body
	}
	return status
}

// repeatRequest sends the request of an accepted job once more, as a late copy in the network is. It is still one job.
func (s *soak) repeatRequest() {
	ids := slices.Sorted(maps.Keys(s.submitted))
	if len(ids) == 0 {
		return
	}
	id := ids[s.platRng.IntN(len(ids))]
	s.call(s.entries[s.platRng.IntN(len(s.entries))], http.MethodPost, plat.Prefix+id, s.submitted[id])
}

// injectFault injects a random fault, and sometimes also sends malformed input.
func (s *soak) injectFault() {
	e := s.entries[s.rng.IntN(len(s.entries))]
	if s.extraRng.IntN(malformedEvery) == 0 {
		addr := []string{e.front, e.peer}[s.extraRng.IntN(2)]
		n := s.extraRng.IntN(len(malformed))
		s.logEvent("malformed input %d to %s of %s", n, addr, e.name)
		s.sendMalformed(addr, malformed[n])
	}
	if s.platRng.IntN(platformFaultEvery) == 0 {
		s.injectPlatformFault()
	}
	switch s.rng.IntN(8) {
	case 0:
		s.logEvent("kill %s", e.name)
		e.replace(syscall.SIGKILL)
	case 1:
		s.logEvent("stop %s", e.name)
		go e.replace(syscall.SIGTERM)
	case 2:
		s.logEvent("pause %s", e.name)
		e.signal(syscall.SIGSTOP)
		time.AfterFunc(time.Duration(500+s.rng.IntN(4000))*time.Millisecond, func() { e.signal(syscall.SIGCONT) })
	case 3:
		f := fault(s.rng.Int32N(int32(faultKinds)))
		s.logEvent("store of %s: fault %d", e.name, f)
		e.store.fault.Store(int32(f))
	case 4:
		s.logEvent("store of %s: reset", e.name)
		e.store.reset()
	case 5:
		vms := s.listVMProxies()
		i := s.rng.IntN(len(vms))
		f := fault(s.rng.Int32N(int32(faultKinds)))
		s.logEvent("vm %d: fault %d", i, f)
		vms[i].fault.Store(int32(f))
	case 6:
		i := s.rng.IntN(vmCount)
		s.logEvent("crash of machine %d", i)
		assert.NilError(s.t, s.plat.Crash(i))
	case 7:
		down, silent := s.rng.IntN(2) == 0, s.extraRng.IntN(2) == 0
		s.logEvent("log down %v, lost answers silent %v", down, silent)
		s.plat.Log.SetSilent(silent)
		s.plat.Log.SetFaults(down, []int{0, 3, 9}[s.rng.IntN(3)])
	}
}

// repeatEvery is the mean number of requests per repeated one.
const repeatEvery = 10

// platformFaultEvery is the mean number of faults per fault of the platform that injectPlatformFault adds.
const platformFaultEvery = 4

// injectPlatformFault takes a partition of the log away, moves the queue to another service, or lets the entries of the VMs
// expire in an outage in which entries are killed.
func (s *soak) injectPlatformFault() {
	switch s.platRng.IntN(3) {
	case 0:
		topic, part := platform.TopicJobs, s.platRng.IntN(3)
		if s.platRng.IntN(3) == 0 {
			topic, part = platform.TopicOperator, 0
		}
		s.logEvent("partition %d of %s down", part, topic)
		s.plat.Log.SetPartDown(topic, part, true)
		time.AfterFunc(time.Duration(1000+s.platRng.IntN(4000))*time.Millisecond, func() { s.plat.Log.SetPartDown(topic, part, false) })
	case 1:
		s.logEvent("queue moved")
		s.plat.MoveQueue()
	case 2:
		s.expireInOutage()
	}
}

// expireInOutage takes the log away for some seconds and lets the entries of the VMs expire meanwhile. Shortly before its end it
// kills some of the entries of the system. The VMs are listed again within 2 s.
func (s *soak) expireInOutage() {
	s.plat.Log.SetFaults(true, 0)
	time.Sleep(300 * time.Millisecond) // owners start items without a record meanwhile
	s.plat.ExpireEntries()
	time.Sleep(time.Duration(500+s.platRng.IntN(2500)) * time.Millisecond)
	var killed []string
	for _, e := range s.entries {
		if s.platRng.IntN(3) > 0 {
			killed = append(killed, e.name)
			go e.replace(syscall.SIGKILL)
		}
	}
	s.logEvent("entries of the VMs expired in an outage of the log; kill %s", strings.Join(killed, ", "))
	time.Sleep(time.Duration(s.platRng.IntN(400)) * time.Millisecond)
	s.plat.Log.SetFaults(false, 0)
	for i := range s.plat.MachineCount() {
		time.AfterFunc(time.Duration(s.platRng.IntN(maxListingMs))*time.Millisecond, func() { s.plat.RenewEntry(i) })
	}
}

// maxListingMs is the time in ms after an outage of the log within which the VMs are listed again.
const maxListingMs = 2000

// malformedEvery is the mean number of faults per malformed input.
const malformedEvery = 4

// malformed are inputs to the listeners of an entry that no correct caller sends. A first byte of 0 selects the relay
// protocol.
var malformed = []string{
	"", "\x00", "\x00\xff\xff\xff\xff\xff\xff\xff\xff", "{", "[[[[[[[[", `{"jsonrpc":"2.0","method":"Store","params":{"Part":-1,"Records":[{"Key":"","Value":"!"}]},"id":1}` + "\n",
	`{"jsonrpc":"2.0","method":"Relieve","params":{"Share":"x"},"id":{}}` + "\n", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: \x01\xff\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
}

// sendMalformed sends bytes to a listener, reads the answer for up to 200 ms, and disconnects.
func (s *soak) sendMalformed(addr, text string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return // the process is being replaced
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = io.WriteString(c, text) // the process may exit in the meantime
	_, _ = io.Copy(io.Discard, c)
}

// clearFaults ends all faults.
func (s *soak) clearFaults() {
	s.plat.Log.SetFaults(false, 0)
	s.plat.Log.ClearPartsDown()
	for i := range s.plat.MachineCount() {
		s.plat.RenewEntry(i)
	}
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.store.fault.Store(int32(healthy))
		e.store.reset()
	}
	for _, v := range s.listVMProxies() {
		v.fault.Store(int32(healthy))
		v.reset()
	}
}

// run runs one seed. It submits jobs while faults are injected, and checks after the end of the faults that all
// accepted jobs complete and that no refused job has run.
func run(t *testing.T, bin string, seed uint64) {
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), extraRng: rand.New(rand.NewPCG(seed, 11)), platRng: rand.New(rand.NewPCG(seed, 13)),
		submitted: map[string]any{},
		client:    &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	p, err := plat.Start(plat.Config{VMs: vmCount, Spare: 2, SecondVMs: secondVMCount, UncheckedFences: seed%2 == 0, Route: func(addr string) (string, error) {
		v, err := newProxy(addr)
		if err != nil {
			return "", err
		}
		s.mu.Lock()
		s.vmProxies = append(s.vmProxies, v)
		s.mu.Unlock()
		return v.addr(), nil
	}})
	assert.NilError(t, err)
	s.plat = p
	dir := logDir(t, seed)
	for i := range entryCount {
		s.entries = append(s.entries, newProcess(t, bin, dir, "e"+strconv.Itoa(i), cpuShare(seed, i), p))
		s.entries[i].start()
	}
	defer func() {
		for _, e := range s.entries {
			e.close()
		}
		p.Close()
	}()
	accepted, poison, refused := s.submitJobs()
	s.clearFaults()
	s.awaitState(accepted, "complete")
	s.awaitState(poison, "failed")
	for id := range refused {
		assert.Assert(t, !p.Started(id), "seed %d: job %s was refused and ran: %s", seed, id, strings.Join(s.events, "; "))
	}
	assert.Equal(t, len(p.Violations()), 0, "seed %d: %v: %s", seed, p.Violations(), strings.Join(s.events, "; "))
	t.Logf("seed %d: %d accepted, %d with a poison item, %d refused, %d faults", seed, len(accepted), len(poison), len(refused), len(s.events))
}

// submitJobs submits jobs while it injects faults. It returns the jobs that were accepted, those of them with a poison item
// apart, and those that were refused.
func (s *soak) submitJobs() (accepted, poison, refused map[string]bool) {
	accepted, poison, refused = map[string]bool{}, map[string]bool{}, map[string]bool{}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if s.submit("00000000000000aa") == http.StatusOK {
			accepted["00000000000000aa"] = true
			break
		}
	}
	next := time.Now()
	n := 0
	for until := time.Now().Add(faultTime); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		if time.Now().After(next) {
			s.injectFault()
			next = time.Now().Add(time.Duration(s.rng.IntN(900)) * time.Millisecond)
		}
		n++
		id := fmt.Sprintf("%016x", 0x1000+n)
		expected := accepted
		if n%poisonEvery == 0 {
			s.plat.SetPoison(id)
			expected = poison
		}
		if s.platRng.IntN(repeatEvery) == 0 {
			s.repeatRequest()
		}
		switch s.submit(id) {
		case http.StatusOK:
			expected[id] = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refused[id] = true
		}
	}
	return accepted, poison, refused
}

// awaitState waits until all accepted jobs are in a state.
func (s *soak) awaitState(accepted map[string]bool, state string) {
	left := map[string]bool{}
	for id := range accepted {
		left[id] = true
	}
	for until := time.Now().Add(completionLimit); len(left) > 0 && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for id := range left {
			status, body := s.call(s.entries[s.rng.IntN(len(s.entries))], http.MethodGet, plat.Prefix+id, nil)
			assert.Assert(s.t, status != http.StatusGone, "job %s was accepted and is not known: %s", id, strings.Join(s.events, "; "))
			if status == http.StatusOK && strings.Contains(body, state) {
				delete(left, id)
			}
		}
	}
	assert.Equal(s.t, len(left), 0, "accepted jobs are not %s %v after all faults ended: %v: %s", state, completionLimit, left, strings.Join(s.events, "; "))
}

// TestSoak guards against jobs that are lost, run twice, or run after a refusal while processes and connections fail.
// SOAK_SEEDS=FIRST-LAST runs other seeds than the default of CI.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "sassafrasvalve")
	out, err := exec.Command("go", "build", "-o", bin, "sassafrasvalve/cmd/sassafrasvalve").CombinedOutput()
	assert.NilError(t, err, string(out))
	spec := os.Getenv(seedsEnv)
	if spec == "" {
		spec = ciSeeds
	}
	first, last, _ := strings.Cut(spec, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	assert.NilError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	assert.NilError(t, err)
	seeds := map[uint64]bool{}
	for seed := from; seed <= to; seed++ {
		seeds[seed] = true
	}
	for seed, cause := range regressions {
		t.Logf("seed %d failed once: %s", seed, cause)
		seeds[seed] = true
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { run(t, bin, seed) })
	}
}

// logsEnv is the environment variable with a directory in which the logs of the processes are kept.
const logsEnv = "SOAK_LOGS"

// logDir returns the directory for the settings and logs of one seed.
func logDir(t *testing.T, seed uint64) string {
	base := os.Getenv(logsEnv)
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, strconv.FormatUint(seed, 10))
	assert.NilError(t, os.MkdirAll(dir, 0o700))
	return dir
}

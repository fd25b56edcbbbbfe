package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/plat"
	"sassafrasvalve/fake/ports"
)

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

// newProcess returns a process that is not started yet. times are further lines of the section Times of its settings.
func newProcess(t *testing.T, bin, dir, name string, share float64, p *plat.Platform, times string) *process {
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
%s`, name, e.front, freeAddr(t), e.peer, share, store.addr(), p.Cloud(), times)
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

// send sends a request with headers Authorization to the program. It returns the status and the body, or 0 and the error if there is no
// answer.
func (e *process) send(client *http.Client, method, path string, auth []string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = plat.Host
	for _, a := range auth {
		req.Header.Add("Authorization", a)
	}
	res, err := client.Do(req)
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

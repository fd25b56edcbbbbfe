//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"sassafrasvalve/fake/ports"
)

// program is the program of the deploy file, which starts it with the argument entry.
const program = "target/sassafrasvalve"

// ownEnd is an end of a process by itself.
type ownEnd struct {
	at, killed time.Time // killed is the last signal of this test to a process of the same entry
	reason     string
}

// restartDelay is the time after which a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// entry is one entry, whose process is started again whenever it ends.
type entry struct {
	rec      *recorder
	name     string
	front    string
	ready    string
	settings string
	dir      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	closed bool
	hold   bool      // the process is not started again for now
	killed time.Time // last signal of this test to the process
	ends   []ownEnd  // ends of the process by itself
	done   chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// newEntry writes the settings of an entry, from the template of the deploy file and the figures of a small deployment.
func newEntry(rec *recorder, dir, name, store, cloud, policy string) (*entry, error) {
	addrs, err := ports.Free(4)
	if err != nil {
		return nil, err
	}
	port := func(addr string) string { return addr[strings.LastIndex(addr, ":")+1:] }
	quote := func(s string) string { return fmt.Sprintf("%q", s) }
	values := map[string]string{
		"node|json": quote(name), "zone|json": quote("z1"), "listen.front|json": quote(addrs[0]), "listen.ready|json": quote(addrs[1]),
		"ip": "127.0.0.1", "port_range.0": port(addrs[2]), "port_range.1": port(addrs[3]), "advice": policy,
		"limits.cpu_share": "0.4", "limits.memory_mb": "284", "platform.addr|json": quote(store), "platform.parts": "12",
		"cloud.addr|json": quote(cloud), "cloud.duty_per_s": "64.0", "cloud.rate_per_s": "64.0", "bounds.fence_check": "true",
		"bounds.status_s": "120", "bounds.early_ms": "250", "bounds.grace_s": "6", "bounds.notice_ms": "4500", "bounds.harm_ms": "4000",
		"bounds.stop_grace_ms": "400", "bounds.config_propagation_ms": "2000", "bounds.lease_ms": "3000", "bounds.pace_ms": "100",
	}
	template, err := os.ReadFile("deploy/settings.toml.tmpl")
	if err != nil {
		return nil, err
	}
	var unknown []string
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		v, ok := values[strings.Trim(p, "{} ")]
		if !ok {
			unknown = append(unknown, p)
		}
		return v
	})
	if len(unknown) > 0 {
		return nil, fmt.Errorf("the template of the settings has unknown placeholders: %v", unknown)
	}
	e := &entry{
		rec: rec, name: name, front: addrs[0], ready: addrs[1], settings: filepath.Join(dir, name+".toml"), dir: dir,
		done: make(chan struct{}),
	}
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// runLoop starts the process, and starts it again after restartDelay when it has ended, until close is called.
func (e *entry) runLoop() {
	defer close(e.done)
	runtime.LockOSThread() // Pdeathsig is bound to the thread that starts the process
	for {
		e.mu.Lock()
		for e.hold && !e.closed {
			e.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			e.mu.Lock()
		}
		if e.closed {
			e.mu.Unlock()
			return
		}
		e.starts++
		logName := filepath.Join(e.dir, fmt.Sprintf("%s.%d.log", e.name, e.starts))
		log, err := os.Create(logName)
		if err != nil {
			e.rec.log("entry %s: no log: %v", e.name, err)
			e.mu.Unlock()
			return
		}
		cmd := exec.Command(program, "entry")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASVALVE_BOOT=" + e.settings}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			e.rec.log("entry %s: not started: %v", e.name, err)
			e.mu.Unlock()
			return
		}
		startedAt := time.Now()
		e.cmd = cmd
		e.rec.log("entry %s: process %d starts (start %d)", e.name, cmd.Process.Pid, e.starts)
		e.mu.Unlock()
		err = cmd.Wait()
		_ = log.Close()
		e.mu.Lock()
		byTest := e.closed || e.killed.After(startedAt)
		e.mu.Unlock()
		e.rec.log("entry %s: process %d ended after %.1f s: %v", e.name, cmd.Process.Pid, time.Since(startedAt).Seconds(), err)
		if !byTest {
			reason := firstReason(logName)
			e.rec.log("entry %s: the process ended by itself: %s", e.name, reason)
			e.mu.Lock()
			e.ends = append(e.ends, ownEnd{time.Now(), e.killed, reason})
			e.mu.Unlock()
		}
		time.Sleep(restartDelay)
	}
}

// firstReason returns the lines of a log that tell why the process ended.
func firstReason(logName string) string {
	b, err := os.ReadFile(logName)
	if err != nil {
		return err.Error()
	}
	text := string(b)
	i := strings.Index(text, "panic:")
	if i < 0 {
		return "no panic in its log"
	}
	var list []string
	for _, l := range strings.Split(text[i:], "\n") {
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "sassafrasvalve/") {
			if list = append(list, l); len(list) == 6 {
				break
			}
		}
	}
	return strings.Join(list, " <- ")
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	e.killed = time.Now()
	e.rec.log("entry %s: signal %v to process %d", e.name, s, e.cmd.Process.Pid)
	_ = e.cmd.Process.Signal(s)
}

// setHold keeps the process from being started again, or lets it start.
func (e *entry) setHold(hold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = hold
}

// close ends the process for good.
func (e *entry) close() {
	e.mu.Lock()
	e.closed = true
	cmd := e.cmd
	e.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	<-e.done
}

// ownEnds returns the ends of the process by itself, but for those within a second of a signal of this test.
func (e *entry) ownEnds() []ownEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []ownEnd
	for _, x := range e.ends {
		if x.at.Sub(x.killed) > time.Second {
			list = append(list, x)
		}
	}
	return list
}

// logLines returns the lines that the process has written since its last start.
func (e *entry) logLines() []string {
	e.mu.Lock()
	name := filepath.Join(e.dir, fmt.Sprintf("%s.%d.log", e.name, e.starts))
	e.mu.Unlock()
	b, err := os.ReadFile(name)
	if err != nil {
		return nil
	}
	return strings.Split(string(b), "\n")
}

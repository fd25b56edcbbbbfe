package plat

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Delays of the starts that are carried out late.
const (
	minLateMs = 2000
	maxLateMs = 6000
)

// Restart ends the VM of machine i without notice and starts it again under its ID and address after downMs. Calls that arrive
// meanwhile reach the next lifetime, also those whose callers have left. It does nothing for a machine without a VM.
func (p *Platform) Restart(i int, downMs int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.machines[i]
	if m.vm == nil {
		return
	}
	p.countCrash(m.vm)
	p.endRuns(m.vm)
	m.restarting, m.vm, m.crashAtMs = m.vm, nil, 0
	m.restartAtMs = p.nowMs() + downMs
}

// crashesToFail is the number of crashes of VMs under an item from which on its job may be shown as failed.
const crashesToFail = 2

// countCrash records that a VM has crashed under its runs. The caller holds mu.
func (p *Platform) countCrash(vm *pool.VM) {
	for item := range vm.Runs {
		p.crashes[item]++
	}
}

// MayFail reports whether so many VMs have crashed under an item of a job that the job may be shown as failed.
func (p *Platform) MayFail(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for item, n := range p.crashes {
		if strings.HasPrefix(item, id+".") && n >= crashesToFail {
			return true
		}
	}
	return false
}

// VMAddr returns the announced address of the VM of machine i, or "" if it has none.
func (p *Platform) VMAddr(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm := p.machines[i].vm; vm != nil {
		return vm.Addr
	}
	return ""
}

// SetLateStarts makes every n-th start get no answer and be carried out some seconds later, 0 for none.
func (p *Platform) SetLateStarts(every int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateEvery = every
}

// startAgain begins the next lifetime of a VM that restarts. The caller holds mu.
func (p *Platform) startAgain(m *machine) {
	m.vm = p.newVM(m.restarting.VM)
	m.restarting, m.restartAtMs = nil, 0
	p.announce(m)
}

// newVM returns a lifetime of a VM that reports its runs to the platform.
func (p *Platform) newVM(v pools.VM) *pool.VM {
	vm := pool.New(v, p.nowMs())
	vm.PlanRun = p.planRun
	vm.OnSecondRun = p.startedBeside
	vm.OnStart, vm.OnEnd, vm.OnEndRecorded = p.started, p.ended, p.endRecorded
	return vm
}

// lifetime returns the present lifetime of the VM with an ID on a machine. While the VM restarts it waits for the next one. It
// returns nil if the VM has ended for good. The caller holds mu, which is released while it waits.
func (p *Platform) lifetime(m *machine, id string) *pool.VM {
	for {
		switch {
		case m.vm != nil && m.vm.ID == id:
			return m.vm
		case m.restarting == nil || m.restarting.ID != id || p.isStopped():
			return nil
		}
		p.mu.Unlock()
		time.Sleep(tickMs * time.Millisecond)
		p.mu.Lock()
	}
}

// delayStart carries a start out some seconds late, in whatever lifetime the VM is in then. It returns false if this start is
// not late. The caller holds mu.
func (p *Platform) delayStart(m *machine, id string, o pools.Order) bool {
	p.startCount++
	if p.lateEvery == 0 || p.startCount%p.lateEvery != 0 {
		return false
	}
	a := arrival{atMs: p.nowMs(), late: true}
	time.AfterFunc(time.Duration(minLateMs+rand.IntN(maxLateMs-minLateMs))*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if vm := p.lifetime(m, id); vm != nil && !p.isStopped() {
			p.do(vm, o, a)
		}
	})
	return true
}

// isStopped reports whether Close was called.
func (p *Platform) isStopped() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

// hang leaves a call without an answer until its caller leaves.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

package sim

import (
	"fmt"

	"sassafrasvalve/core/assign"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/fake/pool"
)

// Site describes machines that change their pool.
type Site struct {
	Machines   int
	PoolSize   int     // machines of each pool at the start; the others are in the spare pool
	MoveMs     int64   // until a moved machine has a VM in its new pool
	UpkeepMs   int64   // until a machine has a VM again
	OrdersPerS float64 // orders about machines that the platform accepts
	Waves      []Wave
	// AllLost are the times in ms at which all processes of the system are lost. They are back RestartMs later.
	AllLost   []int64
	RestartMs int64
}

// Wave requests the upkeep of the first machines.
type Wave struct {
	Machines, MaxDown int
	FromMs, ToMs      int64
}

// Delays of the platform for machines, in milliseconds.
const (
	orderMs        = 60   // until an order about a machine is carried out
	listMachinesMs = 400  // interval of the reads of the machine list
	planMs         = 60   // interval of the machine controller's plans
	unlistMs       = 4500 // time for which a VM stays listed after its lifetime
)

// sparePool is the pool of the machines that are switched off.
const sparePool = "spare"

// site is the state of the machines and of the machine controller.
type site struct {
	w          *World
	cfg        *Site
	controller *assign.Controller
	epoch      int64
	directory  *jobs.Directory
	reports    map[string]jobs.DemandReport
	listed     []pools.Machine
	listedAt   int64
	busy       map[*machine]bool // moving or in their upkeep
	pool       map[*machine]string
	done       map[jobs.Upkeep]bool // upkeeps that have begun
	lostAt     int64                // time of the last loss of all processes, 0 before it
	moves      int
	pooledMs   int64 // VM-milliseconds in pools other than the spare one
	lateMs     int64 // milliseconds by which machines of waves are late
}

func newSite(w *World) *site {
	s := &site{
		w: w, cfg: w.spec.Site, directory: jobs.NewDirectory(), reports: map[string]jobs.DemandReport{},
		busy: map[*machine]bool{}, pool: map[*machine]string{}, done: map[jobs.Upkeep]bool{},
	}
	w.catalog.Pools = append(w.catalog.Pools, jobs.Pool{Service: sparePool, EnforcesCapacity: true, Spare: true})
	for i := range s.cfg.Machines {
		m := &machine{index: i, slowdown: 1}
		w.machines = append(w.machines, m)
		s.pool[m] = sparePool
		if i < s.cfg.PoolSize*len(w.services) {
			sv := w.services[i%len(w.services)]
			s.pool[m] = sv.name
			w.boot(m, sv)
		}
	}
	s.startController(w.now)
	return s
}

// start schedules the machine controller and the faults of the site.
func (s *site) start() {
	w := s.w
	w.every(planMs, s.plan)
	w.every(listMachinesMs, s.list)
	const accountMs = 100
	w.every(accountMs, func() { s.account(accountMs) })
	for _, t := range s.cfg.AllLost {
		w.at(w.startMs+t, func() {
			s.lostAt = w.now
			for _, sv := range w.services {
				sv.loseOwner()
			}
		})
		w.at(w.startMs+t+s.cfg.RestartMs, func() {
			for _, sv := range w.services {
				sv.startOwner(false)
			}
			s.startController(w.now)
		})
	}
}

func (s *site) startController(now int64) {
	s.epoch++
	s.controller = assign.New(assign.Config{
		Epoch: s.epoch, StartAtMs: now, OrdersPerS: s.cfg.OrdersPerS, JoinMs: s.directory.Vacate.JoinMs,
	})
}

// down reports whether all processes of the system are lost now.
func (s *site) down() bool {
	return s.lostAt > 0 && s.w.now >= s.lostAt && s.w.now < s.lostAt+s.cfg.RestartMs
}

// account adds up the time of machines in pools and of waves that are late.
func (s *site) account(ms int64) {
	if s.w.now-s.w.startMs > s.w.spec.ForMs {
		return
	}
	for _, m := range s.w.machines {
		if s.pool[m] != sparePool {
			s.pooledMs += ms
		}
	}
	for n, wave := range s.cfg.Waves {
		if s.w.now-s.w.startMs <= wave.ToMs {
			continue
		}
		for i := range wave.Machines {
			if !s.done[jobs.Upkeep{Wave: n + 1, Machine: machineID(i)}] {
				s.lateMs += ms
			}
		}
	}
}

func machineID(i int) string { return fmt.Sprintf("m-%03d", i) }

// list reads the machine list.
func (s *site) list() {
	s.listed, s.listedAt = nil, s.w.now
	for _, m := range s.w.machines {
		l := pools.Machine{ID: machineID(m.index), Pool: s.pool[m], State: pools.MachineUp}
		switch {
		case s.busy[m]:
			l.State = pools.MachineBusy
		case m.dark:
			l.State = pools.MachineDown
		case m.vm != nil:
			l.VM = m.vm.ID
		}
		s.listed = append(s.listed, l)
	}
}

// waves returns the waves that the operator has requested so far.
func (s *site) waves() []pools.Wave {
	var list []pools.Wave
	for n, wave := range s.cfg.Waves {
		if s.w.now-s.w.startMs < wave.FromMs {
			continue
		}
		p := pools.Wave{Number: n + 1, MaxDown: wave.MaxDown, DueMs: s.w.startMs + wave.ToMs}
		for i := range wave.Machines {
			p.Machines = append(p.Machines, machineID(i))
		}
		list = append(list, p)
	}
	return list
}

// plan runs one iteration of the machine controller.
func (s *site) plan() {
	w := s.w
	if s.down() || w.storeDown() {
		return
	}
	view := assign.View{
		Waves: s.waves(), Machines: s.listed, ListedAtMs: s.listedAt, Upkeeps: s.directory.Upkeeps,
		Pools: []assign.PoolDemand{{Pool: sparePool, Spare: true}},
	}
	for _, sv := range w.services {
		view.Pools = append(view.Pools, assign.PoolDemand{Pool: sv.name, Report: s.reports[sv.name]})
	}
	orders := s.controller.Plan(view, w.now)
	records, err := s.controller.TakeRecords()
	if err != nil {
		w.check.addFault("ENCODE", "%v", err)
	}
	s.controller.TakeEvents()
	for _, o := range orders {
		if o.Kind == pools.Upkeep {
			records = append(records, jobs.Upkeep{Wave: o.Run, Machine: o.Item}.Record(false))
		}
		w.at(w.now+orderMs, func() { s.carryOut(s.controller, o) })
	}
	for _, r := range records {
		if err := s.directory.Apply(r); err != nil {
			w.check.addFault("ENCODE", "%v", err)
		}
	}
	for _, sv := range w.services {
		if sv.owned() {
			sv.engine.SetVMsToVacate(s.directory.Vacate.VMs)
			sv.engine.SetJoinMs(s.directory.Vacate.JoinMs)
			sv.engine.SetVMLimit(s.directory.Vacate.Limit(sv.name))
		}
	}
}

// carryOut carries an order about a machine out and replies to the controller that sent it.
func (s *site) carryOut(c *assign.Controller, o pools.Order) {
	w := s.w
	var m *machine
	for _, x := range w.machines {
		if machineID(x.index) == o.Item {
			m = x
		}
	}
	if m == nil || s.busy[m] || m.dark {
		c.HandleOrderReply(o, pools.Reply{Kind: pools.Rejected}, w.now)
		return
	}
	target, ms := s.pool[m], s.cfg.UpkeepMs
	if o.Kind == pools.Move {
		target, ms = o.Spec, s.cfg.MoveMs
		s.moves++
	} else {
		s.done[jobs.Upkeep{Wave: o.Run, Machine: o.Item}] = true
	}
	s.takeDown(m)
	s.busy[m], s.pool[m] = true, target
	w.at(w.now+ms, func() {
		s.busy[m] = false
		if sv := w.service(target); sv != nil {
			w.boot(m, sv)
		}
	})
	c.HandleOrderReply(o, pools.Reply{Kind: pools.Done}, w.now)
}

// takeDown ends the lifetime of a machine's VM, with all that runs on it.
func (s *site) takeDown(m *machine) {
	if m.service == nil {
		return
	}
	for _, r := range m.vm.Runs {
		s.w.ended(m.vm, r, pools.EndStopped)
	}
	m.vm.Runs = map[string]*pool.Run{}
	m.service.removed = append(m.service.removed, removedVM{m.vm.VM, s.w.now + unlistMs})
	m.lifetime++
	m.service, m.vm, m.held = nil, nil, nil
}

// Package assign decides which machine belongs to which pool, and when each has its upkeep.
// One process at a time does so: the machine controller. It is pure; the clock is handed in.
package assign

import (
	"slices"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Times of the machine controller, in milliseconds.
const (
	// parkAfterMs is how long an offered machine waits for a pool that wants it before it is switched off.
	// A stay in a pool costs as much as a move in about a second.
	parkAfterMs = 1500
	// retryMs is the pause before an order that was not carried out is given again.
	retryMs = 600
	// unsureMs is how long an order without an answer may still be carried out.
	unsureMs = 12_000
	// goneMs is how long a machine must be missing in the list until it is taken as gone for good.
	goneMs = 3000
	// listMs is the age of the list of machines above which nothing is ordered by it.
	listMs = 3000
	// settleMs is how long after an answered order the list may still show the state before it.
	settleMs = 300
	// joinMs bounds how long a machine that was moved counts for its new pool before its VM is listed.
	joinMs = 5000
	// burstMs is the time for which orders that were not used may be made up for.
	burstMs = 250
	// tooManyMs is the pause before an order is given again that the platform refused for the number of orders.
	tooManyMs = 200
)

// Shares of the orders that the platform takes in a second, in percent.
const (
	// orderShare is left to this machine controller; the rest is for an earlier one whose orders are still under way.
	orderShare = 95
	// waveShare is the least that waves get while pools lack machines.
	waveShare = 50
)

// Config is what a machine controller needs.
type Config struct {
	Epoch      int64
	StartAtMs  int64   // local ms before which no machine is ordered: an earlier machine controller may just have ordered it
	OrdersPerS float64 // orders a second that the platform takes from all processes together, 0 for any number
}

// PoolDemand is what the owner of a pool tells.
type PoolDemand struct {
	Service string
	Spare   bool // its machines are switched off and cost nothing
	Report  jobs.DemandReport
}

// View is what a machine controller knows at a time.
type View struct {
	Waves      []pools.Wave
	Machines   []pools.Machine
	ListedAtMs int64 // local ms at which the list of machines was asked for, 0 before the first
	Pools      []PoolDemand
	Upkeeps    map[jobs.Upkeep]bool // upkeeps that are recorded: as ordered, or, if true, as done
}

// Controller is the state of one machine controller. It is not safe for concurrent use.
type Controller struct {
	cfg      Config
	view     View
	machines map[string]*machine
	over     map[jobs.Upkeep]bool
	refused  map[[2]string]bool // machines that a pool cannot have
	upkept   []jobs.Upkeep
	vacate   []string
	dirty    bool
	orders   []pools.Order
	notes    []Event
	lost     bool
	quota    quota
	short    []*shortage // pools that lack machines, as of this turn
}

// Event is a decision for the log of the process.
type Event struct {
	Machine string
	Name    string
	Reason  string
	N       int
}

// machine is what the machine controller remembers of a machine.
type machine struct {
	pools.Machine
	listed    bool
	missing   int64
	offeredAt int64
	order     *pools.Order // under way or unanswered
	sentAt    int64
	pending   bool // sent, and neither answered nor given up
	unsure    int64
	doneAt    int64 // the last order was carried out
	wave      int   // of the upkeep that was carried out last
	target    string
	retryAt   int64
}

// New returns a machine controller that has ordered nothing yet.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, machines: map[string]*machine{}, over: map[jobs.Upkeep]bool{}, refused: map[[2]string]bool{},
		quota: quota{perS: cfg.OrdersPerS * orderShare / 100},
	}
}

// Fenced reports whether the platform has seen a higher fence number.
func (k *Controller) Fenced() bool { return k.lost }

// TakeEvents returns the decisions since the last call.
func (k *Controller) TakeEvents() []Event {
	n := k.notes
	k.notes = nil
	return n
}

func (k *Controller) note(m, what, reason string, n int) {
	k.notes = append(k.notes, Event{Machine: m, Name: what, Reason: reason, N: n})
}

// Records returns what has to be stored, nil if nothing changed.
func (k *Controller) Records() ([]jobs.Record, error) {
	var records []jobs.Record
	for _, u := range k.upkept {
		records = append(records, u.Record(true))
	}
	k.upkept = nil
	if k.dirty {
		v := jobs.VacateRequest{VMs: k.vacate}
		value, err := v.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		records = append(records, jobs.Record{Key: jobs.VacateKey, Value: value})
		k.dirty = false
	}
	return records, nil
}

// Plan takes a view over and returns the orders that are due.
func (k *Controller) Plan(v View, now int64) []pools.Order {
	k.view = v
	if v.ListedAtMs == 0 || now-v.ListedAtMs > listMs {
		return nil
	}
	k.list(now)
	k.offers(now)
	k.orders = nil
	k.quota.refill(now)
	k.short = k.shortages()
	vacate := k.planWaves(now)
	if !slices.Equal(vacate, k.vacate) {
		k.vacate, k.dirty = vacate, true
	}
	if now >= k.cfg.StartAtMs {
		k.planMoves(now)
	}
	return k.orders
}

// list takes the platform's list of machines over.
func (k *Controller) list(now int64) {
	seen := map[string]bool{}
	for _, l := range k.view.Machines {
		seen[l.ID] = true
		m := k.machines[l.ID]
		if m == nil {
			m = &machine{}
			k.machines[l.ID] = m
		}
		if l.State != m.State {
			k.note(l.ID, "state "+stateNames[l.State], l.Pool+" "+l.VM, 0)
		}
		m.Machine, m.listed, m.missing = l, true, 0
		if m.target != "" && (l.Pool == m.target || now-m.doneAt > joinMs) && k.settled(m) {
			m.target = ""
		}
		if m.wave > 0 && l.State == pools.MachineUp && k.settled(m) {
			k.finish(jobs.Upkeep{Wave: m.wave, Machine: l.ID})
			k.note(l.ID, "upkeep done", l.Pool, m.wave)
			m.wave = 0
		}
	}
	for id, m := range k.machines {
		if !seen[id] {
			m.listed = false
			if m.missing == 0 {
				m.missing = now
			}
		}
	}
}

// stateNames are the words of machines' states in logs.
var stateNames = map[pools.MachineState]string{pools.MachineBusy: "busy", pools.MachineUp: "up", pools.MachineDown: "down"}

// settled reports whether the list was asked for after the last order was carried out.
func (k *Controller) settled(m *machine) bool {
	return m.doneAt == 0 || k.view.ListedAtMs > m.doneAt+settleMs
}

func (k *Controller) finish(u jobs.Upkeep) {
	if !k.over[u] {
		k.over[u] = true
		k.upkept = append(k.upkept, u)
	}
}

// offers notes since when a machine is offered by the owner of its pool.
func (k *Controller) offers(now int64) {
	offered := map[string]bool{}
	for _, p := range k.view.Pools {
		for _, id := range p.Report.Offers {
			offered[id] = true
		}
	}
	for _, m := range k.machines {
		switch {
		case m.VM == "" || !offered[m.VM]:
			m.offeredAt = 0
		case m.offeredAt == 0:
			m.offeredAt = now
		}
	}
}

// ready reports whether a machine may be ordered now.
func (k *Controller) ready(m *machine, now int64) bool {
	return m.listed && m.State == pools.MachineUp && m.target == "" && m.wave == 0 && !m.pending &&
		k.settled(m) && now >= m.retryAt && now >= m.unsure
}

func (k *Controller) send(m *machine, o pools.Order, now int64) {
	m.order, m.sentAt, m.pending = &o, now, true
	k.orders = append(k.orders, o)
	what, reason := "move", m.Pool+" to "+o.Spec
	if o.Kind == pools.Upkeep {
		what, reason = "upkeep", m.Pool
	}
	k.note(m.ID, what, reason, o.Run)
}

// HandleOrderReply takes over what became of an order.
func (k *Controller) HandleOrderReply(o pools.Order, r pools.Reply, now int64) {
	m := k.machines[o.Item]
	if m == nil {
		return
	}
	m.pending = false
	switch r.Kind {
	case pools.Done:
		m.doneAt, m.unsure = now, 0
		m.offeredAt = 0
		if o.Kind == pools.Upkeep {
			m.wave = o.Run
		} else {
			m.target = o.Spec
		}
	case pools.Fenced:
		k.lost = true
	case pools.NoReply:
		m.unsure, m.retryAt = now+unsureMs, now+retryMs
		k.note(m.ID, "order unanswered", "", o.Run)
	case pools.Rejected:
		if o.Kind == pools.Move {
			k.refused[[2]string{m.ID, o.Spec}] = true
		}
		m.retryAt = now + retryMs
		k.note(m.ID, "order refused", "malformed or not allowed", o.Run)
	case pools.RateLimited:
		k.quota.empty()
		m.retryAt = now + tooManyMs
		k.note(m.ID, "order refused", "too many orders", o.Run)
	case pools.NotExecuted:
		m.retryAt = now + tooManyMs
		k.note(m.ID, "order not sent", "too many wait, or the keeper may have been replaced", o.Run)
	default:
		m.retryAt = now + retryMs
		k.note(m.ID, "order refused", "busy", o.Run)
	}
}

// idle reports whether nothing runs on a machine that an order could end: it is switched off, or its owner has no use for
// it or has emptied it.
func (k *Controller) idle(m *machine) bool {
	return k.isSpare(m.Pool) || m.offeredAt > 0 || k.isClear(m)
}

func (k *Controller) isSpare(pool string) bool {
	p := k.pool(pool)
	return p != nil && p.Spare
}

func (k *Controller) isClear(m *machine) bool {
	p := k.pool(m.Pool)
	if p == nil || m.VM == "" {
		return false
	}
	for _, id := range p.Report.Clear {
		if id == m.VM {
			return true
		}
	}
	return false
}

func (k *Controller) pool(service string) *PoolDemand {
	for i := range k.view.Pools {
		if k.view.Pools[i].Service == service {
			return &k.view.Pools[i]
		}
	}
	return nil
}

// size returns the number of machines of a pool.
func (k *Controller) size(pool string) int {
	n := 0
	for _, m := range k.machines {
		if m.listed && m.Pool == pool {
			n++
		}
	}
	return n
}

// Package assign decides which machine belongs to which pool, and when each machine has its upkeep. At most one process
// at a time, the machine controller, uses it. The package does no I/O, and the caller passes the current time. A pool is
// named after the service whose jobs its VMs run.
package assign

import (
	"cmp"
	"slices"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// Timeouts and retry intervals of the machine controller, in milliseconds.
const (
	// DefaultMoveMs and DefaultUpkeepMs are the times that a move and an upkeep take if the settings do not say it.
	DefaultMoveMs   = 1500
	DefaultUpkeepMs = 2000
	// orderRetryMs is the delay before an order that was refused or had no reply is sent again.
	orderRetryMs = 600
	// removedAfterMs is how long a machine must be missing from the list before it counts as removed for good.
	removedAfterMs = 3000
	// maxListAgeMs is the age of the machine list above which no orders are based on it.
	maxListAgeMs = 3000
	// listLagMs is how long after an executed order the list may still show the state before it.
	listLagMs = 300
	// joinReserveMs is the time beyond three moves for which a moved machine counts for its new pool before its VM is listed.
	joinReserveMs = 500
	// quotaBurstMs is the time for which unused orders accumulate.
	quotaBurstMs = 250
	// earlyRetryMs is the delay before an order is sent again that was not sent, or that the platform refused because of
	// its rate limit.
	earlyRetryMs = 200
)

// Shares of the platform's rate limit for orders, in percent.
const (
	// orderSharePercent is the share of this machine controller. The rest is for an earlier one whose orders may still
	// be in progress.
	orderSharePercent = 95
	// minWaveSharePercent is the smallest share of waves while pools have too few machines.
	minWaveSharePercent = 50
)

// Config holds the fence number, the start time and the rate limit of a machine controller.
type Config struct {
	Epoch int64
	// StartAtMs is the local time in ms before which no machine is ordered, because an earlier machine controller may
	// just have ordered it.
	StartAtMs  int64
	OrdersPerS float64 // rate limit of the platform for the orders of all processes together, 0 for none
	JoinMs     int64   // time that a move takes, as an earlier machine controller measured it; 0 if unknown
	MoveMs     int64   // time that a move takes by the settings, 0 for DefaultMoveMs
	UpkeepMs   int64   // time that an upkeep takes by the settings, 0 for DefaultUpkeepMs
}

// upkeepCycleMs returns the time that the upkeep of one machine takes, including the moves out of and into its pool.
func (c *Config) upkeepCycleMs() int64 { return c.UpkeepMs + 2*c.MoveMs }

// spareAfterMs returns how long an offered machine waits for a pool that wants it before it is moved to the spare pool. That time in
// a pool costs about as much as a move.
func (c *Config) spareAfterMs() int64 { return c.MoveMs }

// maxJoinMs returns how long a moved machine counts at most for its new pool before its VM is listed.
func (c *Config) maxJoinMs() int64 { return 3*c.MoveMs + joinReserveMs }

// PoolDemand holds the newest demand report of a pool's owner.
type PoolDemand struct {
	Pool   string // name of the pool, as in pools.Machine.Pool
	Spare  bool   // the spare pool: its machines are switched off and cost nothing
	Report jobs.DemandReport
	// Unreported is set if no owner of the pool has reported yet, as far as the controller's process has read. The pool keeps the
	// machines that it has.
	Unreported bool
}

// View holds the inputs of a machine controller at one time.
type View struct {
	Waves      []pools.Wave
	Machines   []pools.Machine
	ListedAtMs int64 // local ms at which the machine list was requested, 0 before the first
	Pools      []PoolDemand
	Upkeeps    map[jobs.Upkeep]bool // recorded upkeeps: false if ordered, true if done
	Accounts   bool                 // the configuration has client accounts, among which owners divide their pools
}

// Controller holds the machines, waves and open orders of one machine controller. It is not safe for concurrent use.
type Controller struct {
	cfg             Config
	view            View
	machines        map[string]*machine
	finishedUpkeeps map[jobs.Upkeep]bool
	rejectedMoves   map[[2]string]bool // moves, as machine and pool, that the platform rejected
	upkeepsToRecord []jobs.Upkeep
	vmsToVacate     []string
	vacateDirty     bool
	orders          []pools.Order
	events          []Event
	fenced          bool
	quota           quota
	shortages       []*shortage      // pools that want more machines, as of the present call of Plan
	shares          map[string]int   // machines that each pool may have, nil while there are enough for all
	limits          []jobs.PoolLimit // as last recorded
	joinMs          int64            // time that a move takes, 0 if unknown
	recordedJoinMs  int64            // joinMs as last recorded
	fleet           int              // machines of all pools as last recorded, 0 without client accounts
	progress        map[int]*WaveProgress
}

// Event is a decision or observation that is logged and counted.
type Event struct {
	Machine string
	Name    string // also a metric label
	Reason  string // why it happened, or the pools or the VM concerned
	Wave    int    // 0 for an event outside a wave
}

// machine is a listed machine with the state of its orders.
type machine struct {
	pools.Machine
	listed         bool
	missingSince   int64        // local ms since which it is missing from the list, 0 while it is listed
	offeredSince   int64        // local ms since which its VM is offered, 0 if it is not
	order          *pools.Order // last order, or the assumed one of an earlier machine controller; nil if there is none
	queuedAt       int64        // local ms at which the last order was queued
	movedAt        int64        // queuedAt of an executed move until its VM has joined the pool, 0 otherwise
	pending        bool         // the last order was queued and its reply has not arrived
	uncertainUntil int64        // local ms until which an order without a reply may still be executed
	openMoveUntil  int64        // the same of a move, whether or not a repeat of it was executed
	orderDoneAt    int64        // local ms at which the last order was executed
	recoveredAt    int64        // local ms at which it was listed as up after it had been down, 0 before
	upkeepWave     int          // wave of the upkeep in progress, 0 if there is none
	due            bool         // a wave has its upkeep still to order
	wasInUse       bool         // its VM was in use until it was vacated for the last upkeep
	targetPool     string       // pool of an executed move until the list shows it there, empty otherwise
	retryAt        int64        // local ms before which no order is sent
}

// New returns a machine controller that has sent no order yet.
func New(cfg Config) *Controller {
	cfg.MoveMs = cmp.Or(cfg.MoveMs, DefaultMoveMs)
	cfg.UpkeepMs = cmp.Or(cfg.UpkeepMs, DefaultUpkeepMs)
	return &Controller{
		cfg: cfg, machines: map[string]*machine{}, finishedUpkeeps: map[jobs.Upkeep]bool{}, rejectedMoves: map[[2]string]bool{},
		progress: map[int]*WaveProgress{},
		quota:    quota{perS: cfg.OrdersPerS * orderSharePercent / 100},
		joinMs:   cfg.JoinMs, recordedJoinMs: cfg.JoinMs,
		vacateDirty: true, // replaces the request of an earlier machine controller
	}
}

// Fenced reports whether the platform has seen a higher fence number, which means that another process is the machine
// controller.
func (c *Controller) Fenced() bool { return c.fenced }

// TakeEvents returns and clears the events since the last call.
func (c *Controller) TakeEvents() []Event {
	n := c.events
	c.events = nil
	return n
}

func (c *Controller) addEvent(machineID, name, reason string, wave int) {
	c.events = append(c.events, Event{Machine: machineID, Name: name, Reason: reason, Wave: wave})
}

// TakeRecords returns and clears the records to store, nil if there are none.
func (c *Controller) TakeRecords() ([]jobs.Record, error) {
	var records []jobs.Record
	for _, u := range c.upkeepsToRecord {
		records = append(records, u.Record(true))
	}
	c.upkeepsToRecord = nil
	if c.vacateDirty {
		v := jobs.VacateRequest{VMs: c.vmsToVacate, JoinMs: c.joinMs, Limits: c.limits, Machines: c.fleet}
		value, err := v.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		records = append(records, jobs.Record{Key: jobs.VacateKey, Value: value})
		c.vacateDirty, c.recordedJoinMs = false, c.joinMs
	}
	return records, nil
}

// Plan applies a view and returns the orders that are due.
func (c *Controller) Plan(v View, now int64) []pools.Order {
	c.view = v
	if v.ListedAtMs == 0 || now-v.ListedAtMs > maxListAgeMs {
		return nil
	}
	c.updateMachines(now)
	c.updateOffers(now)
	c.orders = nil
	c.quota.refill(now)
	have := c.countMachines()
	c.updateLimits(have)
	c.updateFleet()
	c.shortages = c.findShortages(have)
	vacate := c.planWaves(now)
	if !slices.Equal(vacate, c.vmsToVacate) {
		c.vmsToVacate, c.vacateDirty = vacate, true
	}
	if now >= c.cfg.StartAtMs {
		c.planMoves(now)
	}
	return c.orders
}

// updateMachines applies the platform's machine list.
func (c *Controller) updateMachines(now int64) {
	listedIDs := map[string]bool{}
	for _, l := range c.view.Machines {
		listedIDs[l.ID] = true
		m := c.machines[l.ID]
		if m == nil {
			m = &machine{}
			c.machines[l.ID] = m
		}
		if l.State != m.State {
			c.addEvent(l.ID, "state "+stateNames[l.State], l.Pool+" "+l.VM, 0)
			if m.State == pools.MachineDown && l.State == pools.MachineUp {
				m.recoveredAt = now
			}
		}
		m.Machine, m.listed, m.missingSince = l, true, 0
		if m.movedAt > 0 && l.State == pools.MachineUp && l.Pool == m.order.Spec && c.listIsCurrent(m) {
			c.measureJoin(c.view.ListedAtMs - m.movedAt)
			m.movedAt = 0
		}
		if m.targetPool != "" && (l.Pool == m.targetPool || now-m.orderDoneAt > c.cfg.maxJoinMs()) && c.listIsCurrent(m) {
			m.targetPool = ""
		}
		if m.upkeepWave > 0 && l.State == pools.MachineUp && c.listIsCurrent(m) {
			c.finishUpkeep(jobs.Upkeep{Wave: m.upkeepWave, Machine: l.ID})
			c.addEvent(l.ID, "upkeep done", l.Pool, m.upkeepWave)
			m.upkeepWave = 0
		}
	}
	for id, m := range c.machines {
		if !listedIDs[id] {
			m.listed = false
			if m.missingSince == 0 {
				m.missingSince = now
			}
		}
	}
}

// Parameters of the measured time of a move.
const (
	// joinWeight is the weight of one move in the running mean.
	joinWeight = 8
	// joinChangePercent is the change of the mean that is recorded.
	joinChangePercent = 20
)

// measureJoin adds the time that a move took to the running mean, and has it recorded after a large change.
func (c *Controller) measureJoin(ms int64) {
	if c.joinMs == 0 {
		c.joinMs = ms
	}
	c.joinMs += (ms - c.joinMs) / joinWeight
	change := c.joinMs - c.recordedJoinMs
	if max(change, -change)*100 > c.recordedJoinMs*joinChangePercent {
		c.vacateDirty = true
	}
}

// stateNames holds the names of the machine states in logs.
var stateNames = map[pools.MachineState]string{pools.MachineBusy: "busy", pools.MachineUp: "up", pools.MachineDown: "down"}

// listIsCurrent reports whether the list was requested after the machine's last order had taken effect.
func (c *Controller) listIsCurrent(m *machine) bool {
	return m.orderDoneAt == 0 || c.view.ListedAtMs > m.orderDoneAt+listLagMs
}

// finishUpkeep marks an upkeep as done and has this recorded.
func (c *Controller) finishUpkeep(u jobs.Upkeep) {
	if !c.finishedUpkeeps[u] {
		c.finishedUpkeeps[u] = true
		c.upkeepsToRecord = append(c.upkeepsToRecord, u)
	}
}

// fleetChangePercent is the change of the number of machines that is recorded.
const fleetChangePercent = 5

// updateFleet counts the machines of all pools, and has the number recorded after a large change if owners need it.
func (c *Controller) updateFleet() {
	n := 0
	if c.view.Accounts {
		for _, m := range c.machines {
			if m.listed {
				n++
			}
		}
	}
	if max(n-c.fleet, c.fleet-n)*100 > c.fleet*fleetChangePercent {
		c.fleet, c.vacateDirty = n, true
	}
}

// updateOffers tracks since when the owner of its pool has offered each machine.
func (c *Controller) updateOffers(now int64) {
	offered := map[string]bool{}
	for _, p := range c.view.Pools {
		for _, id := range p.Report.Offers {
			offered[id] = true
		}
	}
	for _, m := range c.machines {
		switch {
		case m.VM == "" || !offered[m.VM]:
			m.offeredSince = 0
		case m.offeredSince == 0:
			m.offeredSince = now
		}
	}
}

// canOrder reports whether an order about a machine may be sent now.
func (c *Controller) canOrder(m *machine, now int64) bool {
	return m.listed && m.State == pools.MachineUp && m.targetPool == "" && m.upkeepWave == 0 && !m.pending &&
		c.listIsCurrent(m) && now >= m.retryAt && now >= m.uncertainUntil
}

// queueOrder adds an order about a machine to those that Plan returns.
func (c *Controller) queueOrder(m *machine, o pools.Order, now int64) {
	m.order, m.queuedAt, m.pending = &o, now, true
	c.orders = append(c.orders, o)
	name, reason := "move", m.Pool+" to "+o.Spec
	if o.Kind == pools.Upkeep {
		name, reason = "upkeep", m.Pool
	}
	c.addEvent(m.ID, name, reason, o.Run)
}

// StillDue reports whether an order that Plan returned may still be sent. It may have waited, so that the pool's owner uses the
// VM again.
func (c *Controller) StillDue(o pools.Order, now int64) bool {
	m := c.machines[o.Item]
	return m != nil && m.pending && *m.order == o && now-c.view.ListedAtMs <= maxListAgeMs &&
		m.listed && m.State == pools.MachineUp && c.interruptsNoWork(m)
}

// HandleOrderReply applies the reply to an order.
func (c *Controller) HandleOrderReply(o pools.Order, r pools.Reply, now int64) {
	m := c.machines[o.Item]
	if m == nil {
		return
	}
	m.pending = false
	switch r.Kind {
	case pools.Done:
		m.orderDoneAt, m.uncertainUntil = now, 0
		m.offeredSince = 0
		if o.Kind == pools.Upkeep {
			m.upkeepWave, m.movedAt = o.Run, 0
		} else {
			m.targetPool, m.movedAt = o.Spec, m.queuedAt
		}
	case pools.Fenced:
		c.fenced = true
	case pools.NoReply:
		m.uncertainUntil, m.retryAt = now+pools.LateCallMs, now+orderRetryMs
		if o.Kind == pools.Move {
			m.openMoveUntil = m.uncertainUntil
		}
		c.addEvent(m.ID, "order unanswered", describeOrder(o), o.Run)
	case pools.Rejected:
		if o.Kind == pools.Move {
			c.rejectedMoves[[2]string{m.ID, o.Spec}] = true
		}
		m.retryAt = now + orderRetryMs
		c.addEvent(m.ID, "order refused", describeOrder(o)+": malformed or not allowed", o.Run)
	case pools.RateLimited:
		c.quota.empty()
		m.retryAt = now + earlyRetryMs
		c.addEvent(m.ID, "order refused", describeOrder(o)+": too many orders", o.Run)
	case pools.NotExecuted:
		m.retryAt = now + earlyRetryMs
		c.addEvent(m.ID, "order not sent", "too many orders wait, the VM is in use again, or the machine controller may have been replaced", o.Run)
	default:
		m.retryAt = now + orderRetryMs
		c.addEvent(m.ID, "order refused", describeOrder(o)+": "+refusalNames[r.Kind], o.Run)
	}
}

// describeOrder returns the action of an order about a machine for logs.
func describeOrder(o pools.Order) string {
	if o.Kind == pools.Upkeep {
		return "upkeep"
	}
	return "move to " + o.Spec
}

// refusalNames holds the descriptions in logs of replies to orders that were not executed.
var refusalNames = map[pools.ReplyKind]string{
	pools.StaleRun: "order is stale", pools.LeaseExpired: "lease expired", pools.NoCapacity: "no capacity",
	pools.InvalidToken: "invalid token", pools.OtherLifetime: "other lifetime", pools.Unhealthy: "platform not available",
}

// interruptsNoWork reports whether an order for a machine interrupts no work: the machine is switched off, or the owner
// of its pool has offered or vacated its VM.
func (c *Controller) interruptsNoWork(m *machine) bool {
	return c.isSparePool(m.Pool) || m.offeredSince > 0 || c.isVacated(m)
}

func (c *Controller) isSparePool(pool string) bool {
	p := c.poolDemand(pool)
	return p != nil && p.Spare
}

// isVacated reports whether the owner of its pool has vacated the VM of a machine for upkeep.
func (c *Controller) isVacated(m *machine) bool {
	p := c.poolDemand(m.Pool)
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

// poolDemand returns the demand of a pool, nil if the pool is unknown.
func (c *Controller) poolDemand(pool string) *PoolDemand {
	for i := range c.view.Pools {
		if c.view.Pools[i].Pool == pool {
			return &c.view.Pools[i]
		}
	}
	return nil
}

// machineCount returns the number of listed machines of a pool.
func (c *Controller) machineCount(pool string) int {
	n := 0
	for _, m := range c.machines {
		if m.listed && m.Pool == pool {
			n++
		}
	}
	return n
}

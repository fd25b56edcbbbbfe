package owner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"sassafrasvalve/io/stats"

	"go.uber.org/zap"

	"sassafrasvalve/core/assign"
	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/quota"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Intervals, timeouts and limits of the machine controller.
const (
	// controllerTick is the interval between two ticks of the controller.
	controllerTick = 60 * time.Millisecond
	// machinesInterval is the pause between two reads of the list of machines.
	machinesInterval = 400 * time.Millisecond
	// machinesTimeout bounds a read of the list.
	machinesTimeout = 1500 * time.Millisecond
	// machineOrderTimeout bounds an order to move a machine or to take it down.
	machineOrderTimeout = 1500 * time.Millisecond
	// maxQueuedMachineOrders bounds the orders that wait to be sent.
	maxQueuedMachineOrders = 64
)

// Cloud lists the platform's machines and carries out orders about them.
type Cloud interface {
	ListMachines(deadline time.Time) ([]pools.Machine, error)
	Upkeep(o pools.Order, deadline time.Time) (pools.Reply, error)
	Move(o pools.Order, deadline time.Time) (pools.Reply, error)
}

// ControllerConfig holds the settings and dependencies of a ControllerRunner.
type ControllerConfig struct {
	Cloud      Cloud
	Waves      func() []pools.Wave           // waves of upkeep that the operator requested
	Demands    func() []assign.PoolDemand    // newest demand reports of the pools
	Upkeeps    func() map[jobs.Upkeep]bool   // recorded upkeeps, true if done
	ReportWave func(wave int, complete bool) // called for each wave in each tick
	// Accounts returns the configuration and whether it is certainly in force.
	Accounts func() (c *jobs.Catalog, fresh bool)
	// ShardOwners returns the epochs of the owners of all shards that have or had one, and which of them have one now.
	ShardOwners func() (epochs map[int]int64, owned map[int]bool)
	SettleMs    int64   // time without orders after the takeover from a silent machine controller
	OrdersPerS  float64 // orders per second that the platform accepts, 0 for no limit
	MoveMs      int64   // time that a move takes, 0 for assign.DefaultMoveMs
	UpkeepMs    int64   // time that an upkeep takes, 0 for assign.DefaultUpkeepMs
	Stats       *stats.Stats
}

// ControllerRunner assigns machines to pools and orders their upkeep while this process is the machine controller.
type ControllerRunner struct {
	cfg ControllerConfig
}

// NewControllerRunner returns the runner of the machine controller.
func NewControllerRunner(cfg ControllerConfig) *ControllerRunner { return &ControllerRunner{cfg} }

// Serve runs the controller until ctx ends or its ownership is lost. It returns true if everything that it did is
// recorded.
func (c *ControllerRunner) Serve(ctx context.Context, o *Owner) bool {
	r := &controllerRun{
		cfg: c.cfg, o: o, log: o.log.With(zap.Int64("epoch", o.Epoch())),
		orders: make(chan pools.Order, maxQueuedMachineOrders),
	}
	r.writer = writer{
		store: o.cfg.Store, topic: platform.TopicOwners, producer: controllerProducer, epoch: o.Epoch(),
		seq: rand.Int64N(maxFirstSeq), timeout: appendTimeout, health: &o.health, log: r.log, stats: c.cfg.Stats,
		observe: c.cfg.Stats.Timer(metricAppend, nil), limits: o.cfg.Limits,
	}
	r.writer.setAnswerTime(o.claimAnswerTime)
	start := clock.BootMs()
	if o.reason == reasonSilent {
		start += c.cfg.SettleMs
	}
	r.controller = assign.New(assign.Config{
		Epoch: o.Epoch(), StartAtMs: start, OrdersPerS: c.cfg.OrdersPerS, JoinMs: o.cfg.Directory.JoinMs(),
		MoveMs: c.cfg.MoveMs, UpkeepMs: c.cfg.UpkeepMs,
	})
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.addGauges()
	defer r.wg.Wait()
	defer r.cancel()
	r.allocator = quota.NewAllocator(quota.AllocatorConfig{Epoch: o.Epoch()})
	o.controller.Store(r)
	defer o.controller.Store(nil)
	go r.catchUpLoop()
	go r.listLoop()
	for range orderLoopCount {
		r.wg.Add(1)
		go r.orderLoop()
	}
	return r.loop(ctx)
}

// controllerProducer is the producer name under which machine controllers append upkeeps and requests to vacate VMs.
const controllerProducer = "keeper"

// orderLoopCount is the number of machine orders that are sent concurrently. The platform takes about 60 ms for one order
// and, on the large site, accepts 590 a second.
const orderLoopCount = 36

// controllerRun runs the machine controller for one epoch.
type controllerRun struct {
	cfg    ControllerConfig
	o      *Owner
	log    *zap.Logger
	orders chan pools.Order
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup // of the loops that send orders
	writer writer         // appends to the owners' partition; the claim has a writer of its own

	mu         sync.Mutex // guards the following
	controller *assign.Controller
	machines   []pools.Machine
	listedAtMs int64 // local ms at which the read of machines began
	progress   []assign.WaveProgress

	allocatorMu sync.Mutex // guards the following
	allocator   *quota.Allocator
	caughtUp    bool // the owners' partition was read up to this claim, so that all owners of shards are known
}

// loop runs ticks until ctx ends, then returns true. It returns false if a tick fails.
func (r *controllerRun) loop(ctx context.Context) bool {
	ticker := time.NewTicker(controllerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return true
		case <-ticker.C:
		}
		if !r.tick(ctx) {
			return false
		}
	}
}

// tick plans, records and sends orders once. It returns false if the ownership is lost or ctx ends before the records are
// stored.
func (r *controllerRun) tick(ctx context.Context) bool {
	now := clock.BootMs()
	waves := r.cfg.Waves()
	upkeeps := r.cfg.Upkeeps()
	catalog, _ := r.cfg.Accounts()
	r.mu.Lock()
	orders := r.controller.Plan(assign.View{
		Waves: waves, Machines: r.machines, ListedAtMs: r.listedAtMs, Pools: r.cfg.Demands(), Upkeeps: upkeeps,
		Accounts: catalog != nil && catalog.Accounts.Len() > 0,
	}, now)
	records, err := r.controller.TakeRecords()
	events := r.controller.TakeEvents()
	fenced := r.controller.Fenced()
	r.progress = r.controller.WaveProgress()
	r.mu.Unlock()
	if fenced {
		r.log.Info("machine controller ownership lost: the platform has seen a higher fence number")
		r.o.lost.Store(true)
		return false
	}
	if err != nil {
		r.log.Error("encode machine controller records failed", zap.Error(err))
	}
	for _, ev := range events {
		r.log.Info("machine: "+ev.Name, zap.String("machine", ev.Machine), zap.String("reason", ev.Reason), zap.Int("wave", ev.Wave))
		r.cfg.Stats.Count("sassafrasvalve_machine_decisions_total", stats.Labels{{Name: "what", Value: ev.Name}}, 1)
	}
	// An upkeep is recorded before it is ordered, so that a later machine controller counts it. Moves are sent before the
	// append if the ownership is confirmed, which rules out another machine controller. If it is not confirmed and nothing
	// has to be appended, nothing can confirm it in this tick, and no order is sent.
	confirmed := r.o.OwnershipConfirmed()
	for _, o := range orders {
		if o.Kind == pools.Upkeep {
			records = append(records, jobs.Upkeep{Wave: o.Run, Machine: o.Item}.Record(false))
		}
	}
	if confirmed {
		orders = r.sendMoves(orders)
	} else if len(records) == 0 {
		for _, o := range orders {
			r.handleReply(o, pools.Reply{Kind: pools.NotExecuted})
		}
		orders = nil
	}
	if len(records) > 0 {
		if !r.writer.write(ctx, records, nil) {
			if ctx.Err() == nil {
				r.o.lost.Store(true)
			}
			return false
		}
		r.o.cfg.Directory.Apply(records)
	}
	// After a slow append the orders are too old to be sent. The next tick plans them again.
	if clock.BootMs()-now > machineOrderTimeout.Milliseconds() {
		for _, o := range orders {
			r.handleReply(o, pools.Reply{Kind: pools.NotExecuted})
		}
		orders = nil
	}
	r.send(orders)
	r.reportWaves(waves, upkeeps)
	return true
}

// sendMoves sends the moves among orders and returns the others.
func (r *controllerRun) sendMoves(orders []pools.Order) []pools.Order {
	var moves, rest []pools.Order
	for _, o := range orders {
		if o.Kind == pools.Move {
			moves = append(moves, o)
		} else {
			rest = append(rest, o)
		}
	}
	r.send(moves)
	return rest
}

// send queues orders for the order loops. An order that finds the queue full is reported as not executed.
func (r *controllerRun) send(orders []pools.Order) {
	for _, o := range orders {
		if !r.push(o) {
			r.handleReply(o, pools.Reply{Kind: pools.NotExecuted})
		}
	}
}

// push queues an order. It returns false if too many wait.
func (r *controllerRun) push(o pools.Order) bool {
	select {
	case r.orders <- o:
		return true
	default:
		return false
	}
}

// addGauges registers the machines of each wave that are left, and those that should be left. They have no series while this process
// is not the machine controller.
func (r *controllerRun) addGauges() {
	add := func(name string, value func(p *assign.WaveProgress) int) {
		r.cfg.Stats.Gauges(name, func(set func(labels stats.Labels, value float64)) {
			if r.ctx.Err() != nil {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			for i := range r.progress {
				p := &r.progress[i]
				set(stats.Labels{{Name: "wave", Value: strconv.Itoa(p.Wave)}}, float64(value(p)))
			}
		})
	}
	add("sassafrasvalve_wave_machines_left", func(p *assign.WaveProgress) int { return p.Left })
	add("sassafrasvalve_wave_machines_planned", func(p *assign.WaveProgress) int { return p.Planned })
}

// reportWaves reports for each wave whether the upkeep of all its machines is done.
func (r *controllerRun) reportWaves(waves []pools.Wave, upkeeps map[jobs.Upkeep]bool) {
	for i := range waves {
		complete := true
		for _, m := range waves[i].Machines {
			complete = complete && upkeeps[jobs.Upkeep{Wave: waves[i].Number, Machine: m}]
		}
		r.cfg.ReportWave(waves[i].Number, complete)
	}
}

// handleReply passes the reply to an order to the controller.
func (r *controllerRun) handleReply(o pools.Order, reply pools.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controller.HandleOrderReply(o, reply, clock.BootMs())
}

// orderLoop sends queued orders to the platform.
func (r *controllerRun) orderLoop() {
	defer r.wg.Done()
	for {
		select {
		case <-r.ctx.Done():
			return
		case o := <-r.orders:
			r.carryOut(o)
		}
	}
}

// carryOut sends a queued order, unless it is no longer due.
func (r *controllerRun) carryOut(o pools.Order) {
	r.mu.Lock()
	due := r.controller.StillDue(o, clock.BootMs())
	r.mu.Unlock()
	reply := pools.Reply{Kind: pools.NotExecuted}
	if due {
		reply = r.sendOrder(o)
	}
	r.handleReply(o, reply)
}

// sendOrder sends one order and returns its reply. The order is not sent if another process may have become the machine
// controller: this process may have been suspended since the order was planned, and not every platform refuses the fence
// number of an earlier machine controller.
func (r *controllerRun) sendOrder(o pools.Order) pools.Reply {
	if !r.o.OwnershipConfirmed() {
		return pools.Reply{Kind: pools.NotExecuted}
	}
	deadline := time.Now().Add(machineOrderTimeout)
	send := r.cfg.Cloud.Move
	if o.Kind == pools.Upkeep {
		send = r.cfg.Cloud.Upkeep
	}
	reply, err := send(o, deadline)
	if err == nil {
		return reply
	}
	r.log.Warn("machine order failed", zap.String("machine", o.Item), zap.Bool("upkeep", o.Kind == pools.Upkeep),
		zap.String("toPool", o.Spec), zap.Error(err))
	if platform.VerdictOf(err) == retry.NotRun {
		return pools.Reply{Kind: pools.NotExecuted}
	}
	return pools.Reply{Kind: pools.NoReply}
}

// listLoop reads the list of machines until the run ends.
func (r *controllerRun) listLoop() {
	failed := false
	for r.ctx.Err() == nil {
		sentAtMs := clock.BootMs()
		list, err := r.cfg.Cloud.ListMachines(time.Now().Add(machinesTimeout))
		if err == nil {
			r.mu.Lock()
			r.machines, r.listedAtMs = list, sentAtMs
			r.mu.Unlock()
		}
		if failed != (err != nil) {
			// A nil error means that the list is available again.
			r.log.Info("availability of the machine list changed", zap.Bool("available", err == nil), zap.Error(err))
		}
		failed = err != nil
		wire.Sleep(r.ctx, machinesInterval)
	}
}

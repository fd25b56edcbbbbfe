package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasvalve/io/stats"

	"go.uber.org/zap"

	"sassafrasvalve/core/assign"
	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Times of the machine controller.
const (
	// keeperTick is the pause between two turns of the machine controller.
	keeperTick = 60 * time.Millisecond
	// machinesEvery is the pause between two reads of the list of machines.
	machinesEvery = 400 * time.Millisecond
	// machinesTimeout bounds a read of the list.
	machinesTimeout = 1500 * time.Millisecond
	// machineTimeout bounds an order to move a machine or to take it down.
	machineTimeout = 1500 * time.Millisecond
	// machineOrders bounds the orders that wait to be sent.
	machineOrders = 64
)

// Cloud lists machines and carries orders about them out.
type Cloud interface {
	ListMachines(deadline time.Time) ([]pools.Machine, error)
	Upkeep(o pools.Order, deadline time.Time) (pools.Reply, error)
	Move(o pools.Order, deadline time.Time) (pools.Reply, error)
}

// ControllerConfig is what the machine controller needs.
type ControllerConfig struct {
	Cloud      Cloud
	Waves      func() []pools.Wave
	Demands    func() []assign.PoolDemand
	Upkeeps    func() map[jobs.Upkeep]bool
	ReportWave func(wave int, complete bool)
	LeaseMs    int64   // for so long after another machine controller's order a machine is left alone
	OrdersPerS float64 // orders a second that the platform takes, 0 for any number
	Stats      *stats.Stats
}

// ControllerRunner moves machines and takes them down while this process is the machine controller.
type ControllerRunner struct {
	cfg ControllerConfig
}

// NewControllerRunner returns the runner of the machine controller.
func NewControllerRunner(cfg ControllerConfig) *ControllerRunner { return &ControllerRunner{cfg} }

// Serve runs until ctx ends. It returns whether all that was done is recorded.
func (k *ControllerRunner) Serve(ctx context.Context, o *Owner) bool {
	r := &keeperRun{
		cfg: k.cfg, o: o, log: o.log.With(zap.Int64("epoch", o.Epoch())),
		orders: make(chan pools.Order, machineOrders),
	}
	r.writer = writer{
		store: o.cfg.Store, topic: platform.TopicOwners, producer: keeperProducer, epoch: o.Epoch(),
		seq: rand.Int64N(maxFirstSeq), patience: appendTimeout, health: &o.health, log: r.log, stats: k.cfg.Stats,
		timed: k.cfg.Stats.Timer(metricAppend, nil),
	}
	start := clock.BootMs()
	if o.reason == reasonSilent {
		start += k.cfg.LeaseMs
	}
	r.keeper = assign.New(assign.Config{Epoch: o.Epoch(), StartAtMs: start, OrdersPerS: k.cfg.OrdersPerS})
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer r.wg.Wait()
	defer r.cancel()
	go r.listLoop()
	for range orderLoops {
		r.wg.Add(1)
		go r.orderLoop()
	}
	return r.loop(ctx)
}

// keeperProducer is the name under which machine controllers write what they ask of the owners, and upkeeps.
const keeperProducer = "keeper"

// orderLoops is the number of orders about machines that are sent at once. The platform takes about 60 ms for one and, on
// the large site, 590 a second.
const orderLoops = 36

// keeperRun is one epoch of the machine controller.
type keeperRun struct {
	cfg    ControllerConfig
	o      *Owner
	log    *zap.Logger
	orders chan pools.Order
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup // of the loops that send orders
	writer writer         // of the owners' partition, beside that of the claim

	mu       sync.Mutex // guards the following
	keeper   *assign.Controller
	machines []pools.Machine
	listedAt int64
}

func (r *keeperRun) loop(ctx context.Context) bool {
	ticker := time.NewTicker(keeperTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return true
		case <-ticker.C:
		}
		if !r.turn(ctx) {
			return false
		}
	}
}

// turn plans and records once. It returns false once the ownership is over.
func (r *keeperRun) turn(ctx context.Context) bool {
	now := clock.BootMs()
	waves := r.cfg.Waves()
	over := r.cfg.Upkeeps()
	r.mu.Lock()
	orders := r.keeper.Plan(assign.View{
		Waves: waves, Machines: r.machines, ListedAtMs: r.listedAt, Pools: r.cfg.Demands(), Upkeeps: over,
	}, now)
	records, err := r.keeper.Records()
	notes := r.keeper.TakeEvents()
	lost := r.keeper.Fenced()
	r.mu.Unlock()
	if lost {
		r.log.Info("keeper lost: the platform has seen a higher fence number")
		r.o.lost.Store(true)
		return false
	}
	if err != nil {
		r.log.Error("keeper's records not encoded", zap.Error(err))
	}
	for _, n := range notes {
		r.log.Info("machine: "+n.Name, zap.String("machine", n.Machine), zap.String("reason", n.Reason), zap.Int("wave", n.N))
		r.cfg.Stats.Count("sassafrasvalve_machine_decisions_total", stats.Labels{{Name: "what", Value: n.Name}}, 1)
	}
	// An upkeep is recorded before it is ordered, so that a later machine controller counts it. Moves need only a fresh
	// confirmation that nobody else is the machine controller.
	fresh := r.o.OwnershipConfirmed()
	for _, o := range orders {
		if o.Kind == pools.Upkeep {
			records = append(records, jobs.Upkeep{Wave: o.Run, Machine: o.Item}.Record(false))
		}
	}
	if fresh {
		orders = r.sendMoves(orders)
	} else if len(records) == 0 {
		for _, o := range orders {
			r.replied(o, pools.Reply{Kind: pools.NotExecuted})
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
	if clock.BootMs()-now > machineTimeout.Milliseconds() {
		for _, o := range orders {
			r.replied(o, pools.Reply{Kind: pools.NotExecuted})
		}
		orders = nil
	}
	r.send(orders)
	r.tell(waves, over)
	return true
}

// sendMoves sends the moves among orders and returns the others.
func (r *keeperRun) sendMoves(orders []pools.Order) []pools.Order {
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

// send hands orders to the loops that carry them out.
func (r *keeperRun) send(orders []pools.Order) {
	for _, o := range orders {
		if !r.push(o) {
			r.replied(o, pools.Reply{Kind: pools.NotExecuted})
		}
	}
}

func (r *keeperRun) push(o pools.Order) bool {
	select {
	case r.orders <- o:
		return true
	default:
		return false
	}
}

// tell has the operator told how far the waves are.
func (r *keeperRun) tell(waves []pools.Wave, over map[jobs.Upkeep]bool) {
	for i := range waves {
		complete := true
		for _, m := range waves[i].Machines {
			complete = complete && over[jobs.Upkeep{Wave: waves[i].N, Machine: m}]
		}
		r.cfg.ReportWave(waves[i].N, complete)
	}
}

func (r *keeperRun) replied(o pools.Order, reply pools.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeper.HandleOrderReply(o, reply, clock.BootMs())
}

// orderLoop carries orders to the platform.
func (r *keeperRun) orderLoop() {
	defer r.wg.Done()
	for {
		select {
		case <-r.ctx.Done():
			return
		case o := <-r.orders:
			r.replied(o, r.order(o))
		}
	}
}

// order sends one order. It is not sent once this process may have been replaced as the machine controller: it may have been
// suspended since the order was planned, and not every platform refuses an earlier machine controller's fence number.
func (r *keeperRun) order(o pools.Order) pools.Reply {
	if !r.o.OwnershipConfirmed() {
		return pools.Reply{Kind: pools.NotExecuted}
	}
	deadline := time.Now().Add(machineTimeout)
	send := r.cfg.Cloud.Move
	if o.Kind == pools.Upkeep {
		send = r.cfg.Cloud.Upkeep
	}
	reply, err := send(o, deadline)
	if err == nil {
		return reply
	}
	r.log.Warn("order about a machine failed", zap.String("machine", o.Item), zap.Error(err))
	if platform.VerdictOf(err) == retry.NotRun {
		return pools.Reply{Kind: pools.NotExecuted}
	}
	return pools.Reply{Kind: pools.NoReply}
}

// listLoop reads the list of machines again and again.
func (r *keeperRun) listLoop() {
	failed := false
	for r.ctx.Err() == nil {
		begun := clock.BootMs()
		list, err := r.cfg.Cloud.ListMachines(time.Now().Add(machinesTimeout))
		if err == nil {
			r.mu.Lock()
			r.machines, r.listedAt = list, begun
			r.mu.Unlock()
		}
		if failed != (err != nil) {
			r.log.Info("list of machines", zap.Bool("available", err == nil), zap.Error(err))
		}
		failed = err != nil
		wire.Sleep(r.ctx, machinesEvery)
	}
}

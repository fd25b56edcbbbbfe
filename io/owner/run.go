package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasvalve/io/stats"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// VMRegistry tells which VMs the platform lists, and makes clients of them.
type VMRegistry interface {
	// Watch signals w when the list changes, until the returned function is called.
	Watch(w chan<- struct{}) (cancel func())
	// VMs returns the list and its version, which changes with the list.
	VMs() ([]pools.VM, int64)
	Client(vm pools.VM) VMClient
}

// VMClient sends orders to one VM.
type VMClient interface {
	Start(o pools.Order, deadline time.Time) (pools.Reply, error)
	Stop(o pools.Order, deadline time.Time) (pools.Reply, error)
	Throttle(o pools.Order, deadline time.Time) (pools.Reply, error)
	Poll(l pools.PollRequest, deadline time.Time) (pools.PollReply, error)
	Close()
}

// pipelined is a client that takes orders before the earlier ones are answered, and keeps their sequence.
type pipelined interface {
	// SendAsync sends an order and returns at once. It returns false if the order has to be sent by a method of VMClient.
	SendAsync(o pools.Order, within time.Duration, done func(pools.Reply, error)) bool
}

// relistEvery is how often an unchanged list is handed over again, so that a missing VM is noticed, in milliseconds.
const relistEvery = 500

// PoolConfig is what the work of a pool's owner needs.
type PoolConfig struct {
	Service  string
	Registry VMRegistry
	Catalog  func() *jobs.Catalog
	// Relay makes a client that calls a VM by way of another entry, for the VMs beyond DirectVMs; nil without one.
	Relay     func(vm pools.VM) VMClient
	DirectVMs int
	// QueryPolicy asks the policy which VMs may run a step.
	QueryPolicy func(q shard.PolicyQuery, deadline time.Time) (*shard.PolicyReply, error)
	// ListMachines reads the platform's list of machines.
	ListMachines func(deadline time.Time) ([]pools.Machine, error)
	// ReportDemand hands a demand report to the machine controller, ahead of its record.
	ReportDemand func(service string, p jobs.DemandReport)
	// VMsToVacate returns the VMs that the machine controller asks to be emptied.
	VMsToVacate func() []string
	Engine      shard.Config
	Stats       *stats.Stats
}

// PoolRunner places the work of one pool while this process owns its shard.
type PoolRunner struct {
	cfg PoolConfig
}

// NewPoolRunner returns the runner of a pool.
func NewPoolRunner(cfg PoolConfig) *PoolRunner { return &PoolRunner{cfg} }

// Serve runs until ctx ends. It returns whether all that was done is recorded.
func (p *PoolRunner) Serve(ctx context.Context, o *Owner) bool { return newRun(p.cfg, o).serve(ctx) }

// Turns of a large pool.
const (
	// longTurn is the length of a turn above which a pause follows.
	longTurn = time.Millisecond
	// turnShare is how many times as long as the turn that pause is.
	turnShare = 3
)

// run is one epoch of ownership.
type run struct {
	cfg       PoolConfig
	o         *Owner
	log       *zap.Logger
	ledger    *tail.JobLog
	writer    writer // of the shard's partition
	wake      chan struct{}
	questions chan shard.PolicyQuery
	timeStart func(time.Duration) // takes the duration of each order to start
	ctx       context.Context     // of the loops and the links
	cancel    context.CancelFunc
	wg        sync.WaitGroup // of the loops that send orders and append; those that only ask end by their deadlines

	mu     sync.Mutex // guards engine
	engine *shard.Engine

	// The following belong to the loop.
	links            map[string]*vmLink
	linkCount        atomic.Int64
	linkRev          int64         // of the VMs that have links
	direct           int           // links that call their VM from this process
	batch            *shard.Batch  // being appended
	waiting          []*intake     // whose records the next batch takes
	listed, listedAt int64         // version of the VM list that the engine has, local ms at which it got it
	idleUntil        int64         // unix nanoseconds until which no turn is taken, 0 for none
	told             int64         // number of the last post that the machine controller was told
	stateAt          int64         // local ms of the last summary in the log
	work             atomic.Int64  // as of that summary
	turns            time.Duration // that turns took since then
}

func newRun(cfg PoolConfig, o *Owner) *run {
	log := o.log.With(zap.Int64("epoch", o.Epoch()))
	return &run{
		cfg: cfg, o: o, log: log, links: map[string]*vmLink{}, wake: make(chan struct{}, 1),
		timeStart: cfg.Stats.Timer("sassafrasvalve_start_seconds", nil), questions: make(chan shard.PolicyQuery, questionsWaiting),
		ledger: tail.NewJobLog(o.cfg.Store, o.cfg.Part, log),
		writer: writer{
			store: o.cfg.Store, topic: platform.TopicJobs, part: o.cfg.Part, producer: producerOf(o.cfg.Part), epoch: o.Epoch(),
			seq: rand.Int64N(maxFirstSeq), patience: appendTimeout, health: &o.health, log: log, stats: cfg.Stats,
			timed: cfg.Stats.Timer(metricAppend, nil),
		},
	}
}

// signal has the loop take a turn soon.
func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// knows reports whether the records are of a job that is stored already.
func (r *run) knows(records []jobs.Record) bool {
	if len(records) != 1 {
		return false
	}
	id, ok := jobs.SubmittedID(records[0].Key)
	if !ok {
		return false
	}
	_, known := r.ledger.JobState(id)
	return known
}

// serve runs until ctx ends. It returns whether all that was done is recorded.
func (r *run) serve(ctx context.Context) bool {
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer r.wg.Wait()
	defer r.cancel()
	defer r.cfg.Registry.Watch(r.wake)()
	if !r.takeOver(ctx) {
		return true // nothing was done
	}
	go r.ledger.Run(r.ctx)
	r.o.run.Store(r)
	defer r.o.run.Store(nil)
	return r.loop(ctx)
}

// loadPause is the pause before the load of a shard is tried again.
const loadPause = 100 * time.Millisecond

// takeOver fences earlier owners, reads the shard and makes the engine. It returns false if ctx has ended.
func (r *run) takeOver(ctx context.Context) bool {
	// An append without records makes the epoch known, so that nothing of an earlier owner comes behind the load.
	if !r.writer.write(ctx, nil, nil) {
		if ctx.Err() == nil {
			r.o.lost.Store(true)
		}
		return false
	}
	for r.ledger.CatchUp(ctx) != nil {
		wire.Sleep(ctx, loadPause)
		if ctx.Err() != nil {
			return false
		}
	}
	now, wall := clock.BootMs(), time.Now().UnixMilli()
	cfg := r.cfg.Engine
	cfg.Service, cfg.Epoch = r.cfg.Service, r.o.Epoch()
	r.engine = shard.New(cfg, r.cfg.Catalog(), now)
	r.engine.MarkOwnershipConfirmed(r.o.health.confirmed.Load())
	r.engine.RestoreDemand(r.o.cfg.Directory.Shard(r.o.cfg.Part).Demand, now)
	r.ledger.Subscribe(r.wake, func(b *jobs.JobTable) {
		for id, e := range b.Jobs {
			r.engine.LoadJob(id, e, now, wall)
		}
	})
	if !r.o.clean() {
		r.suspect(now)
	}
	r.log.Info("shard taken over", zap.Any("counts", r.engine.Counts(now)))
	return true
}

// listTimeout bounds the wait for the list of VMs at a takeover, and listPause is the time between two reads of it.
const (
	listTimeout = 3 * time.Second
	listPause   = 5 * time.Millisecond
)

// suspect waits for the list of VMs, and has all of them asked before inherited items start.
func (r *run) suspect(now int64) {
	for until := time.Now().Add(listTimeout); time.Now().Before(until); wire.Sleep(r.ctx, listPause) {
		if list, version := r.cfg.Registry.VMs(); version >= 0 {
			r.engine.RequireInitialPolls(list, now)
			return
		}
	}
	r.log.Warn("the list of VMs did not come; items start by the records alone")
	r.engine.RequireInitialPolls(nil, now)
}

func (r *run) loop(ctx context.Context) bool {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	appended := make(chan bool, 1)
	batches := make(chan *batch, 1)
	defer func() { r.o.endIntakes(r.waiting) }()
	defer close(batches)
	r.wg.Add(1)
	go r.appendLoop(batches, appended)
	go r.livesLoop()
	go r.adviceLoop()
	for {
		select {
		case ok := <-appended:
			if !ok {
				r.o.lost.Store(true)
				return false
			}
			r.committed()
		case <-r.wake:
		case in := <-r.o.inbox:
			r.waiting = append(r.waiting, in)
		case <-ticker.C:
		case <-ctx.Done():
			return r.finish(batches, appended)
		}
		if r.idleUntil > 0 {
			// A turn looks at all that waits. In a large pool the turns keep to a part of the processor.
			wire.Sleep(r.ctx, time.Duration(r.idleUntil-time.Now().UnixNano()))
		}
		begun := time.Now()
		lost := r.turn(batches)
		r.idleUntil = 0
		took := time.Since(begun)
		r.turns += took
		if took > longTurn {
			r.idleUntil = time.Now().Add(turnShare * took).UnixNano()
		}
		if lost {
			r.log.Info("shard lost: a VM has seen a higher fence number")
			r.o.lost.Store(true)
			return false
		}
	}
}

// finish records what was decided, so that the next owner has it all. It returns whether it could.
func (r *run) finish(batches chan<- *batch, appended <-chan bool) bool {
	if r.o.lost.Load() {
		return false
	}
	if r.batch != nil {
		if !<-appended {
			return false
		}
		r.committed()
	}
	r.mu.Lock()
	r.begin(batches)
	r.mu.Unlock()
	return r.batch == nil || <-appended
}

// livesEvery is the pause between two checks whether a VM is in doubt.
const livesEvery = 300 * time.Millisecond

// livesLoop asks the platform which lifetimes are over while a VM is in doubt.
func (r *run) livesLoop() {
	for r.ctx.Err() == nil {
		wire.Sleep(r.ctx, livesEvery)
		r.mu.Lock()
		doubt := r.engine.NeedsMachineList()
		r.mu.Unlock()
		if !doubt {
			continue
		}
		asked := clock.BootMs()
		list, err := r.cfg.ListMachines(time.Now().Add(machinesTimeout))
		if err != nil {
			r.log.Warn("machines cannot be listed", zap.Error(err))
			continue
		}
		r.mu.Lock()
		r.engine.SetMachines(list, asked, clock.BootMs())
		r.mu.Unlock()
		r.signal()
	}
}

// turn takes over what changed and begins the next batch. It returns true once the shard is lost.
func (r *run) turn(batches chan<- *batch) bool {
	now, wall := clock.BootMs(), time.Now().UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine.SetCatalog(r.cfg.Catalog())
	r.engine.SetVMsToVacate(r.cfg.VMsToVacate())
	if list, version := r.cfg.Registry.VMs(); version != r.listed || now-r.listedAt > relistEvery {
		r.engine.SetVMs(list, now)
		r.listed, r.listedAt = version, now
	}
	r.ledger.TakeChanges(func(c jobs.Change, e *jobs.StoredJob) {
		if c.Submitted {
			r.engine.Submit(e, now, wall)
		}
		if c.Cancelled {
			r.engine.Cancel(c.ID, now)
		}
		if c.Stale {
			r.engine.DeleteJobRecords(c.ID)
		}
	})
	if v := r.ledger.Position(); !v.Failed {
		r.engine.MarkStoreReachable(v.ReadAtMs)
	}
	if r.engine.Fenced() {
		return true
	}
	r.engine.MarkOwnershipConfirmed(r.o.health.confirmed.Load())
	r.engine.Step(now, wall)
	if p := r.engine.DemandReport(); p.Rev != r.told {
		r.told = p.Rev
		r.o.post.Store(&p)
		r.cfg.ReportDemand(r.cfg.Service, p)
	}
	if r.batch == nil {
		r.begin(batches)
	}
	r.syncLinks()
	r.send(r.engine.TakeOrders())
	r.ask(r.engine.TakePolicyQueries())
	r.report(now)
	return false
}

// send hands orders to the links of their VMs. An order that finds no room is reported as unsent.
func (r *run) send(orders []pools.Order) {
	now := clock.BootMs()
	for _, o := range orders {
		if l := r.links[o.VM]; l == nil || !l.push(o) {
			r.engine.HandleOrderReply(o, pools.Reply{Kind: pools.NotExecuted}, now)
		}
	}
}

// syncLinks opens a link for each listed VM, and closes those of VMs that are gone or have moved.
func (r *run) syncLinks() {
	if rev := r.engine.VMsRev(); rev != r.linkRev {
		r.linkRev = rev
	} else {
		return
	}
	listed := map[string]bool{}
	for _, v := range r.engine.VMs() {
		listed[v.ID] = true
		if l := r.links[v.ID]; l != nil {
			if l.addr == v.Addr {
				continue
			}
			r.drop(l)
		}
		r.links[v.ID] = newVMLink(r, v, r.client(v))
	}
	for id, l := range r.links {
		if !listed[id] {
			r.drop(l)
			delete(r.links, id)
		}
	}
	r.linkCount.Store(int64(len(r.links)))
}

// client returns a client of a VM: one that calls it from here while these are few, so that the processor time of the
// calls does not grow with the pool.
func (r *run) client(v pools.VM) VMClient {
	if r.cfg.Relay != nil && r.direct >= r.cfg.DirectVMs {
		return r.cfg.Relay(v)
	}
	r.direct++
	return r.cfg.Registry.Client(v)
}

// drop closes a link.
func (r *run) drop(l *vmLink) {
	if _, relayed := l.client.(pipelined); !relayed {
		r.direct--
	}
	l.close()
}

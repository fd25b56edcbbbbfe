package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/tail"
)

// Pool tells which VMs the platform lists, and makes clients of them.
type Pool interface {
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
	Pace(o pools.Order, deadline time.Time) (pools.Reply, error)
	Look(l pools.LookCall, deadline time.Time) (pools.Look, error)
	Close()
}

// relistEvery is how often an unchanged list is handed over again, so that a missing VM is noticed, in milliseconds.
const relistEvery = 500

// PoolConfig is what the work of a pool's owner needs.
type PoolConfig struct {
	Service string
	Tail    *tail.Tail
	Pool    Pool
	Catalog func() *jobs.Catalog
	// Machines reads the platform's list of machines.
	Machines func(deadline time.Time) ([]pools.Machine, error)
	// Tell hands a post to the keeper of the machines, ahead of its record.
	Tell func(service string, p jobs.Post)
	// Vacate returns the VMs that the keeper of the machines asks to be emptied.
	Vacate func() []string
	Engine shard.Config
	Stats  *Stats
}

// PoolRunner places the work of one pool while this process owns its shard.
type PoolRunner struct {
	cfg PoolConfig
}

// NewPoolRunner returns the runner of a pool.
func NewPoolRunner(cfg PoolConfig) *PoolRunner { return &PoolRunner{cfg} }

// Serve runs until the shard is lost (true) or ctx ends (false).
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
	mu        sync.Mutex // guards engine
	engine    *shard.Engine
	links     map[string]*vmLink
	linkCount atomic.Int64
	wake      chan struct{}
	batch     *shard.Batch // being appended
	waiting   []*intake    // whose records the next batch takes
	// listed is the version of the VM list that the engine has, listedAt the local ms at which it got it.
	listed, listedAt int64
	idleUntil        int64 // unix nanoseconds until which no turn is taken, 0 for none
	told             int64 // number of the last post that the keeper was told
	stateAt          int64 // local ms of the last summary in the log
	beatAt           int64 // local ms of the last renewal written
	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
}

func newRun(cfg PoolConfig, o *Owner) *run {
	return &run{cfg: cfg, o: o, log: o.log.With(zap.Int64("epoch", o.epoch)), links: map[string]*vmLink{}, wake: make(chan struct{}, 1)}
}

// signal has the loop take a turn soon.
func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// serve runs until the shard is lost (true) or ctx ends (false).
func (r *run) serve(ctx context.Context) bool {
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer r.wg.Wait()
	defer r.cancel()
	now, wall := clock.BootMs(), time.Now().UnixMilli()
	cfg := r.cfg.Engine
	cfg.Service, cfg.Epoch = r.cfg.Service, r.o.Epoch()
	r.engine = shard.New(cfg, r.cfg.Catalog(), now)
	r.beatAt = now
	r.engine.Confirm(r.o.confirmed.Load())
	r.cfg.Tail.Attach(r.wake, func(b *jobs.Book) {
		for id, e := range b.Entries {
			r.engine.Load(id, e, now, wall)
		}
	})
	defer r.cfg.Tail.Detach()
	defer r.cfg.Pool.Watch(r.wake)()
	if !r.o.clean() {
		r.suspect(now)
	}
	r.log.Info("shard taken over", zap.Any("counts", r.engine.Counts(now)))
	return r.loop(ctx)
}

// listTimeout bounds the wait for the list of VMs at a takeover, and listPause is the time between two looks at it.
const (
	listTimeout = 3 * time.Second
	listPause   = 5 * time.Millisecond
)

// suspect waits for the list of VMs, and has all of them asked before inherited items start.
func (r *run) suspect(now int64) {
	for until := time.Now().Add(listTimeout); time.Now().Before(until); wait(r.ctx, listPause) {
		if list, version := r.cfg.Pool.VMs(); version >= 0 {
			r.engine.Suspect(list, now)
			return
		}
	}
	r.log.Warn("the list of VMs did not come; items start by the records alone")
	r.engine.Suspect(nil, now)
}

func (r *run) loop(ctx context.Context) bool {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	appended := make(chan bool, 1)
	batches := make(chan *batch, 1)
	defer r.endIntakes()
	defer close(batches)
	r.wg.Add(1)
	go r.appendLoop(batches, appended)
	r.wg.Add(1)
	go r.livesLoop()
	for {
		select {
		case ok := <-appended:
			if !ok {
				return true
			}
			r.committed()
		case <-r.wake:
		case in := <-r.o.inbox:
			r.waiting = append(r.waiting, in)
		case <-ticker.C:
		case <-ctx.Done():
			return !r.finish(batches, appended)
		}
		if r.idleUntil > 0 {
			// A turn looks at all that waits. In a large pool the turns keep to a part of the processor.
			wait(r.ctx, time.Duration(r.idleUntil-time.Now().UnixNano()))
		}
		begun := time.Now()
		lost := r.turn(batches)
		r.idleUntil = 0
		if took := time.Since(begun); took > longTurn {
			r.idleUntil = time.Now().Add(turnShare * took).UnixNano()
		}
		if lost {
			r.log.Info("shard lost: a VM has seen a higher fence number")
			return true
		}
	}
}

// finish records what was decided, so that the next owner has it all. It returns false if the shard is lost.
func (r *run) finish(batches chan<- *batch, appended <-chan bool) bool {
	if r.batch != nil {
		if !<-appended {
			return false
		}
		r.committed()
	}
	r.mu.Lock()
	r.begin(batches, clock.BootMs())
	r.mu.Unlock()
	return r.batch == nil || <-appended
}

// batch is what one append stores: the owner's own records, and those that entries handed in.
type batch struct {
	own     []jobs.Record
	intakes []*intake
}

// records returns all records of the batch.
func (b *batch) records() []jobs.Record {
	list := b.own
	for _, in := range b.intakes {
		list = append(list, in.records...)
	}
	return list
}

// appendLoop appends one batch at a time.
func (r *run) appendLoop(batches <-chan *batch, appended chan<- bool) {
	defer r.wg.Done()
	for b := range batches {
		ok := r.o.write(r.ctx, b.records(), func() []jobs.Record {
			// The store refuses calls at present: the callers learn at once that nothing was stored.
			answer(b.intakes, Stored{Owner: true, Verdict: retry.NotRun})
			b.intakes = nil
			return b.own
		})
		if ok {
			for _, in := range b.intakes {
				r.cfg.Tail.Put(in.records)
			}
			answer(b.intakes, Stored{Owner: true, Verdict: retry.Ran})
		} else {
			answer(b.intakes, Stored{Owner: true, Verdict: retry.MayHaveRun})
		}
		appended <- ok
	}
}

// endIntakes answers those whose records no batch has taken.
func (r *run) endIntakes() {
	r.waiting = append(r.waiting, r.o.takeIntakes()...)
	answer(r.waiting, Stored{Verdict: retry.NotRun})
	r.waiting = nil
}

// livesEvery is the pause between two looks at whether a VM is in doubt.
const livesEvery = 300 * time.Millisecond

// livesLoop asks the platform which lifetimes are over while a VM is in doubt.
func (r *run) livesLoop() {
	defer r.wg.Done()
	for r.ctx.Err() == nil {
		wait(r.ctx, livesEvery)
		r.mu.Lock()
		doubt := r.engine.Doubtful()
		r.mu.Unlock()
		if !doubt {
			continue
		}
		asked := clock.BootMs()
		list, err := r.cfg.Machines(time.Now().Add(machinesTimeout))
		if err != nil {
			r.log.Warn("machines cannot be listed", zap.Error(err))
			continue
		}
		r.mu.Lock()
		r.engine.Lives(list, asked, clock.BootMs())
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
	r.engine.SetVacate(r.cfg.Vacate())
	if list, version := r.cfg.Pool.VMs(); version != r.listed || now-r.listedAt > relistEvery {
		r.engine.SetVMs(list, now)
		r.listed, r.listedAt = version, now
	}
	r.cfg.Tail.Changes(func(c jobs.Change, e *jobs.Entry) {
		if c.Submitted {
			r.engine.Submit(e, now, wall)
		}
		if c.Cancelled {
			r.engine.Cancel(c.ID, now)
		}
	})
	if v := r.cfg.Tail.View(); !v.Failed {
		r.engine.Contact(v.FreshAt)
	}
	if r.engine.Lost() {
		return true
	}
	r.engine.Confirm(r.o.confirmed.Load())
	r.engine.Step(now, wall)
	if p := r.engine.Post(); p.Rev != r.told {
		r.told = p.Rev
		r.cfg.Tell(r.cfg.Service, p)
	}
	if r.batch == nil {
		r.begin(batches, now)
	}
	r.syncLinks()
	r.send(r.engine.TakeOrders())
	r.report(now)
	return false
}

// begin plans a batch, with a renewal of the claim when one is due.
func (r *run) begin(batches chan<- *batch, now int64) {
	b, err := r.engine.Batch()
	if err != nil {
		r.log.Error("batch not encoded", zap.Error(err))
		return
	}
	var records []jobs.Record
	if b != nil {
		records = b.Records
	}
	if now-r.beatAt >= beatEvery {
		rec, err := r.o.Renewal()
		if err != nil {
			r.log.Error("claim not encoded", zap.Error(err))
		} else {
			records = append(records, rec)
			r.beatAt = now
		}
	}
	r.waiting = append(r.waiting, r.o.takeIntakes()...)
	if len(records) == 0 && len(r.waiting) == 0 {
		return
	}
	if b == nil {
		b = &shard.Batch{}
	}
	b.Records = records
	r.batch = b
	batches <- &batch{own: records, intakes: r.waiting}
	r.waiting = nil
}

// committed sends the orders of the batch that was stored.
func (r *run) committed() {
	now := clock.BootMs()
	r.cfg.Tail.Put(r.batch.Records)
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := r.engine.Committed(r.batch, now)
	r.batch = nil
	r.send(orders)
	for _, l := range r.links {
		l.nudge()
	}
}

// send hands orders to the links of their VMs. An order that finds no room is reported as unsent.
func (r *run) send(orders []pools.Order) {
	now := clock.BootMs()
	for _, o := range orders {
		if l := r.links[o.VM]; l == nil || !l.push(o) {
			r.engine.Replied(o, pools.Reply{Kind: pools.Unsent}, now)
		}
	}
}

// syncLinks opens a link for each listed VM, and closes those of VMs that are gone or have moved.
func (r *run) syncLinks() {
	listed := map[string]bool{}
	for _, v := range r.engine.VMs() {
		listed[v.ID] = true
		if l := r.links[v.ID]; l != nil {
			if l.addr == v.Addr {
				continue
			}
			l.close()
		}
		r.links[v.ID] = newVMLink(r, v)
	}
	for id, l := range r.links {
		if !listed[id] {
			l.close()
			delete(r.links, id)
		}
	}
	r.linkCount.Store(int64(len(r.links)))
}

// stateEvery is the pause between two summaries of a pool in the log, in milliseconds.
const stateEvery = 1000

// report writes the engine's decisions to the log, and a summary now and then.
func (r *run) report(now int64) {
	if now-r.stateAt >= stateEvery {
		r.stateAt = now
		c := r.engine.Counts(now)
		r.log.Info("pool state", zap.Int("jobs", c.Jobs), zap.Int("waiting", c.Waiting), zap.Int("runs", c.Runs),
			zap.Int("vms", c.VMs), zap.Int("usable", c.Usable), zap.Int("want", c.Want), zap.Int64("freeCPU", c.FreeCPU))
	}
	for _, n := range r.engine.TakeNotes() {
		r.log.Info(n.What, zap.String("job", n.JobID), zap.String("vm", n.VM), zap.String("reason", n.Reason), zap.Int("n", n.N))
		r.cfg.Stats.Count("decision."+n.What, 1)
	}
}

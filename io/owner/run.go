package owner

import (
	"context"
	"math/rand/v2"
	"slices"
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

// VMRegistry lists the VMs of the platform and creates clients for them.
type VMRegistry interface {
	// Watch signals w on each change of the list until cancel is called.
	Watch(w chan<- struct{}) (cancel func())
	// VMs returns the list and its version. The version changes with the list and is negative before the first list.
	VMs() ([]pools.VM, int64)
	// Client returns a client that calls a VM from this process.
	Client(vm pools.VM) VMClient
}

// VMClient sends orders and polls to one VM.
type VMClient interface {
	Start(o pools.Order, deadline time.Time) (pools.Reply, error)
	Stop(o pools.Order, deadline time.Time) (pools.Reply, error)
	Throttle(o pools.Order, deadline time.Time) (pools.Reply, error)
	Poll(s pools.PollRequest, deadline time.Time) (pools.PollReply, error)
	Close()
}

// asyncClient is a client that accepts further orders before the earlier ones are answered, and keeps their sequence.
// Clients that call a VM through a relay implement it.
type asyncClient interface {
	// SendAsync sends an order and returns at once. done is called with the reply. It returns false if the order must be
	// sent by a method of VMClient instead.
	SendAsync(o pools.Order, within time.Duration, done func(pools.Reply, error)) bool
}

// relistIntervalMs is the time after which an unchanged VM list is passed to the engine again. The engine needs that to
// notice that a VM stays missing.
const relistIntervalMs = 500

// PoolConfig holds the settings and dependencies of a PoolRunner.
type PoolConfig struct {
	Service  string
	Registry VMRegistry
	Catalog  func() *jobs.Catalog
	// CatalogFresh reports whether the configuration is certainly in force.
	CatalogFresh func() bool
	// Allocation calls the allocator of the accounts' allowances.
	Allocation Allocation
	// AccountStates gets the states of the pool's client accounts.
	AccountStates *AccountStates
	// FleetVMs returns the number of machines of all pools, 0 if it is unknown.
	FleetVMs func() int
	// Relay returns a client that calls a VM through another entry. It is used for the VMs beyond the first DirectVMs.
	// Nil means that this process calls all VMs itself.
	Relay     func(vm pools.VM) VMClient
	DirectVMs int
	// QueryPolicy asks the policy which VMs may run a step.
	QueryPolicy func(q shard.PolicyQuery, deadline time.Time) (*shard.PolicyReply, error)
	// ListMachines reads the platform's list of machines.
	ListMachines func(deadline time.Time) ([]pools.Machine, error)
	// ReportDemand sends a demand report to the machine controller before the report is recorded.
	ReportDemand func(service string, p jobs.DemandReport)
	// VMsToVacate returns the VMs that the machine controller wants vacated.
	VMsToVacate func() []string
	// JoinMs returns the time in milliseconds that a VM takes to join the pool, 0 if it is unknown.
	JoinMs func() int64
	// VMLimit returns the largest number of VMs that the pool of a service should keep, 0 for no limit.
	VMLimit func(service string) int
	Engine  shard.Config
	Stats   *stats.Stats
}

// PoolRunner places the jobs of one pool while this process owns its shard.
type PoolRunner struct {
	cfg PoolConfig
}

// NewPoolRunner returns the runner of a pool.
func NewPoolRunner(cfg PoolConfig) *PoolRunner { return &PoolRunner{cfg} }

// Serve runs the pool until ctx ends or the shard is lost. It returns true if the shard's records are complete.
func (p *PoolRunner) Serve(ctx context.Context, o *Owner) bool {
	return newPoolRun(p.cfg, o).serve(ctx)
}

// Limits on the CPU share that the ticks of a large pool take.
const (
	// longTick is the duration of a tick above which a pause follows.
	longTick = time.Millisecond
	// tickPauseFactor is the length of that pause as a multiple of the tick.
	tickPauseFactor = 3
)

// poolRun does the work of a pool for one epoch of its shard's ownership.
type poolRun struct {
	cfg           PoolConfig
	o             *Owner
	log           *zap.Logger
	jobLog        *tail.JobLog
	writer        writer // appends to the shard's partition of the job records
	wake          chan struct{}
	policyQueries chan shard.PolicyQuery
	timeStart     func(time.Duration) // observes the duration of each start order
	ctx           context.Context     // of the loops and the VM sessions
	cancel        context.CancelFunc
	wg            sync.WaitGroup // of the loops that send orders or append; loops that only query end by their deadlines

	admission  *shard.Admission
	mu         sync.Mutex // guards the following
	engine     *shard.Engine
	allowances *poolAllowances

	// The following are written by the loop only. Other goroutines read the atomic ones.
	sessions     map[string]*vmSession
	sessionCount atomic.Int64
	sessionsRev  int64             // revision of the engine's VMs for which sessions are open
	directCount  int               // sessions that call their VM from this process
	engineBatch  *shard.Batch      // being appended, nil if none
	pending      []*pendingRecords // included in the next append
	// listVersion is the version of the VM list that the engine has, listedAtMs the local ms at which it got that list.
	listVersion, listedAtMs int64
	nextTickAt              time.Time    // end of the pause behind a long tick
	batchDue                bool         // the last tick found an append in progress
	reportedRev             int64        // revision of the last demand report sent to the machine controller
	admissionAtMs           int64        // local ms of the last update of admission
	summaryAtMs             int64        // local ms of the last summary in the log
	load                    atomic.Int64 // runs and jobs as of that summary
	ticks                   tickStats    // of the ticks since that summary
}

// newPoolRun returns a run of a pool for the current epoch of o.
func newPoolRun(cfg PoolConfig, o *Owner) *poolRun {
	log := o.log.With(zap.Int64("epoch", o.Epoch()))
	r := &poolRun{
		cfg: cfg, o: o, log: log, sessions: map[string]*vmSession{}, wake: make(chan struct{}, 1),
		timeStart: cfg.Stats.Timer("sassafrasvalve_start_seconds", nil), policyQueries: make(chan shard.PolicyQuery, maxPolicyQueries),
		jobLog: tail.NewJobLog(o.cfg.Store, o.cfg.Part, log), admission: shard.NewAdmission(),
		writer: writer{
			store: o.cfg.Store, topic: platform.TopicJobs, part: o.cfg.Part, producer: shardProducer(o.cfg.Part), epoch: o.Epoch(),
			seq: rand.Int64N(maxFirstSeq), timeout: appendTimeout, health: &o.health, log: log, stats: cfg.Stats,
			observe: cfg.Stats.Timer(metricAppend, nil), limits: o.cfg.Limits,
		},
	}
	r.writer.setAnswerTime(o.claimAnswerTime)
	return r
}

// signal makes the loop run a tick soon.
func (r *poolRun) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isStored reports whether the records submit a single job that is stored already.
func (r *poolRun) isStored(records []jobs.Record) bool {
	if len(records) != 1 {
		return false
	}
	id, ok := jobs.ParseJobKey(records[0].Key)
	if !ok {
		return false
	}
	_, found := r.jobLog.JobState(id)
	return found
}

// excludes reports whether the records submit a job that the shard refuses, because it may be stored in another shard.
func (r *poolRun) excludes(records []jobs.Record) bool {
	return slices.ContainsFunc(records, func(rec jobs.Record) bool {
		id, ok := jobs.ParseJobKey(rec.Key)
		return ok && r.jobLog.Excluded(id)
	})
}

// serve runs until ctx ends or the shard is lost. It returns true if the next owner needs no initial polls: everything that
// this owner and earlier ones did is recorded.
func (r *poolRun) serve(ctx context.Context) bool {
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer r.wg.Wait()
	defer r.cancel()
	defer r.cfg.Registry.Watch(r.wake)()
	defer r.cfg.AccountStates.set(r.cfg.Service, nil)
	if !r.takeOver(ctx) {
		return r.o.recordsComplete() // nothing was done, also about what an earlier owner left unrecorded
	}
	go r.jobLog.Run(r.ctx)
	r.o.run.Store(r)
	defer r.o.run.Store(nil)
	return r.loop(ctx)
}

// loadRetryPause is the pause before a shard's records are read again after a failed read.
const loadRetryPause = 100 * time.Millisecond

// takeOver fences earlier owners, reads the shard's records and creates the engine. It returns false if ctx ends or
// another process owns the shard.
func (r *poolRun) takeOver(ctx context.Context) bool {
	// An append without records announces the epoch to the store. The store then refuses records of earlier owners, so
	// that the read below is complete.
	if !r.writer.write(ctx, nil, nil) {
		if ctx.Err() == nil {
			r.o.lost.Store(true)
		}
		return false
	}
	for r.jobLog.CatchUp(ctx) != nil {
		wire.Sleep(ctx, loadRetryPause)
		if ctx.Err() != nil {
			return false
		}
	}
	now, unixMs := clock.BootMs(), time.Now().UnixMilli()
	cfg := r.cfg.Engine
	cfg.Service, cfg.Epoch = r.cfg.Service, r.o.Epoch()
	r.allowances = newPoolAllowances(r.cfg.Allocation, r.o)
	r.allowances.holder.SetConfig(r.cfg.Catalog(), r.cfg.CatalogFresh())
	cfg.Allowances = r.allowances
	r.engine = shard.New(cfg, r.cfg.Catalog(), now)
	r.engine.MarkOwnershipConfirmed(r.o.health.confirmedAtMs.Load())
	r.engine.RestoreDemand(r.o.cfg.Directory.Shard(r.o.cfg.Part).Demand, now)
	r.jobLog.Subscribe(r.wake, func(b *jobs.JobTable) {
		for id, e := range b.Jobs {
			r.engine.LoadJob(id, e, now, unixMs)
		}
	})
	if !r.o.recordsComplete() {
		r.engine.RequireInitialPolls(now)
	}
	r.log.Info("shard taken over", zap.String("reason", r.o.reason), zap.Any("counts", r.engine.Counts(now)))
	return true
}

// loop runs ticks until ctx ends or the shard is lost. It returns true if everything that was decided is recorded.
//
// A tick handles all pending events at once, so it may be delayed: the pause behind a long tick bounds the CPU share of a
// large pool. Callers wait for the log only, so submitted records are appended and stored ones applied in the pause, too.
func (r *poolRun) loop(ctx context.Context) bool {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	appended := make(chan bool, 1)
	calls := make(chan *appendCall, 1)
	defer func() { r.o.rejectPending(r.pending) }()
	defer close(calls)
	r.wg.Add(1)
	go r.appendLoop(calls, appended)
	go r.machineListLoop()
	go r.policyLoop()
	go r.allowanceLoop()
	for {
		select {
		case ok := <-appended:
			if !ok {
				r.o.lost.Store(true)
				return false
			}
			r.handleBatchStored()
		case <-r.wake:
		case p := <-r.o.inbox:
			r.pending = append(r.pending, p)
		case <-ticker.C:
		case <-pause.C:
		case <-ctx.Done():
			return r.recordRemaining(calls, appended)
		}
		if time.Now().Before(r.nextTickAt) {
			r.appendInPause(calls)
			continue
		}
		startedAt := time.Now()
		lost := r.tick(calls)
		took := time.Since(startedAt)
		r.ticks.add(took)
		if took > longTick {
			r.nextTickAt = time.Now().Add(tickPauseFactor * took)
			pause.Reset(tickPauseFactor * took)
		}
		if lost {
			r.log.Info("shard lost: a VM has seen a higher fence number")
			r.o.lost.Store(true)
			return false
		}
	}
}

// recordRemaining appends what was decided but not recorded yet, so that the next owner's records are complete. It returns
// true if they are. It need not wait for what polls still find, as the VMs list that again to the next owner.
func (r *poolRun) recordRemaining(calls chan<- *appendCall, appended <-chan bool) bool {
	if r.o.lost.Load() {
		return false
	}
	for {
		if r.engineBatch != nil {
			if !<-appended {
				return false
			}
			r.handleBatchStored()
		}
		r.mu.Lock()
		r.startAppend(calls)
		unrecorded := r.engine.HasUnrecordedJobs()
		r.mu.Unlock()
		if !unrecorded {
			break
		}
		if r.engineBatch == nil {
			return false // a record could not be encoded
		}
	}
	if r.engineBatch != nil && !<-appended {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.engine.InitialPollsDone() {
		r.log.Info("shard given up before all vms of the earlier owner were polled")
		return false
	}
	return true
}

// machineListInterval is the pause between two checks whether the engine needs the list of machines.
const machineListInterval = 300 * time.Millisecond

// machineListLoop reads the platform's list of machines while the engine needs it to learn whether a VM's lifetime has
// ended.
func (r *poolRun) machineListLoop() {
	for ; r.ctx.Err() == nil; wire.Sleep(r.ctx, machineListInterval) {
		r.mu.Lock()
		needed := r.engine.NeedsMachineList()
		r.mu.Unlock()
		if !needed {
			continue
		}
		sentAtMs := clock.BootMs()
		list, err := r.cfg.ListMachines(time.Now().Add(machinesTimeout))
		if err != nil {
			r.log.Warn("list machines failed", zap.Error(err))
			continue
		}
		r.mu.Lock()
		r.engine.SetMachines(list, sentAtMs, clock.BootMs())
		r.mu.Unlock()
		r.signal()
	}
}

// tick passes all changes to the engine, starts the next batch if none is being appended, and sends the engine's orders
// and queries. It returns true if a VM has seen a higher fence number, that is, another process owns the shard.
func (r *poolRun) tick(calls chan<- *appendCall) bool {
	now, unixMs := clock.BootMs(), time.Now().UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	catalog := r.cfg.Catalog()
	r.engine.SetCatalog(catalog)
	r.allowances.holder.SetConfig(catalog, r.cfg.CatalogFresh())
	r.engine.SetFleetVMs(r.cfg.FleetVMs())
	r.engine.SetVMsToVacate(r.cfg.VMsToVacate())
	r.engine.SetJoinMs(r.cfg.JoinMs())
	r.engine.SetVMLimit(r.cfg.VMLimit(r.cfg.Service))
	if list, version := r.cfg.Registry.VMs(); version != r.listVersion || now-r.listedAtMs > relistIntervalMs {
		r.engine.SetVMs(list, now)
		r.listVersion, r.listedAtMs = version, now
	}
	r.jobLog.TakeChanges(func(c jobs.Change, e *jobs.StoredJob) {
		if c.Submitted {
			r.engine.Submit(e, now, unixMs)
		}
		if c.Cancelled {
			r.engine.Cancel(c.ID, now)
		}
		if c.Stale {
			r.engine.DeleteJobRecords(c.ID)
		}
		if c.Excluded {
			r.engine.Exclude(c.ID, now)
		}
	})
	if v := r.jobLog.Position(); !v.Failed {
		r.engine.MarkStoreReachable(v.ReadAtMs)
	}
	if r.engine.Fenced() {
		return true
	}
	r.engine.MarkOwnershipConfirmed(r.o.health.confirmedAtMs.Load())
	r.engine.Advance(now, unixMs)
	r.updateAdmission(now)
	if p := r.engine.DemandReport(); p.Rev != r.reportedRev {
		r.reportedRev = p.Rev
		r.o.demand.Store(&p)
		r.cfg.ReportDemand(r.cfg.Service, p)
	}
	if r.batchDue = r.engineBatch != nil; !r.batchDue {
		r.startAppend(calls)
	}
	r.syncSessions()
	r.send(r.engine.TakeOrders())
	r.queryPolicy(r.engine.TakePolicyQueries())
	r.logState(now)
	return false
}

// send queues orders at the sessions of their VMs. An order whose VM has no session or a full queue is reported to the
// engine as not executed.
func (r *poolRun) send(orders []pools.Order) {
	now := clock.BootMs()
	for _, o := range orders {
		if s := r.sessions[o.VM]; s == nil || !s.push(o) {
			r.engine.HandleOrderReply(o, pools.Reply{Kind: pools.NotExecuted}, now)
		}
	}
}

// syncSessions opens a session for each listed VM, and closes the sessions of VMs that are no longer listed or whose
// address has changed.
func (r *poolRun) syncSessions() {
	if rev := r.engine.VMsRevision(); rev != r.sessionsRev {
		r.sessionsRev = rev
	} else {
		return
	}
	listed := map[string]bool{}
	for _, v := range r.engine.VMs() {
		listed[v.ID] = true
		if s := r.sessions[v.ID]; s != nil {
			if s.addr == v.Addr {
				continue
			}
			r.closeSession(s)
		}
		r.sessions[v.ID] = newVMSession(r, v, r.client(v))
	}
	for id, s := range r.sessions {
		if !listed[id] {
			r.closeSession(s)
			delete(r.sessions, id)
		}
	}
	r.sessionCount.Store(int64(len(r.sessions)))
}

// client returns a client for a VM. The first DirectVMs are called from this process and the others through relays, so
// that the CPU time of the calls does not grow with the pool.
func (r *poolRun) client(v pools.VM) VMClient {
	if r.cfg.Relay != nil && r.directCount >= r.cfg.DirectVMs {
		return r.cfg.Relay(v)
	}
	r.directCount++
	return r.cfg.Registry.Client(v)
}

// closeSession closes a session and updates the number of direct ones.
func (r *poolRun) closeSession(s *vmSession) {
	if _, relayed := s.client.(asyncClient); !relayed {
		r.directCount--
	}
	s.close()
}

// Package daemon builds an entry from its components and runs it from start to graceful stop.
package daemon

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/ring"
	"sassafrasvalve/io/admin"
	"sassafrasvalve/io/claims"
	"sassafrasvalve/io/config"
	"sassafrasvalve/io/entry"
	"sassafrasvalve/io/oplog"
	"sassafrasvalve/io/peer"
	"sassafrasvalve/io/proxy"
	"sassafrasvalve/io/sched"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/io/vmlist"
)

// Config configures a Daemon.
type Config struct {
	Settings config.Settings
	Log      *zap.Logger
	Clock    clock.Clock // nil means the system clock
}

// Daemon is one entry: it serves callers, peers and operators.
type Daemon struct {
	cfg Config
	log *zap.Logger
	ctx context.Context // of the background goroutines, ends after the graceful stop

	store   *Store
	group   *group
	pending *pendingSet
	// submissions queues the records that loops have found due for the append loops.
	submissions *ring.Ring[*submission]
	addrs       *addrBook
	leaving     *leavingSet
	health      *vmHealth

	client *oplog.Client
	writer *oplog.Writer
	reader *oplog.Reader
	links  *links
	recent *peer.RecordBuffer // newest records, served to peers that cannot read the log

	pools     *pools
	sched     *sched.Set
	forwarder *proxy.Forwarder
	entry     *entry.Server
	jobs      *jobs
	claims    *claims.Node

	vms        *vmlist.Client
	controller *controller
	missing    *missingEntries

	admin         *admin.Server
	adminListener net.Listener
	stats         *stats.Stats
	faults        *peer.Faults
	traffic       *peer.Stats

	foldMu       sync.Mutex             // serializes folds by the log reader and by relaying peers
	routedOffset atomic.Int64           // offset of the view that routing uses, -1 before the first view
	slotSelf     atomic.Pointer[string] // member whose slots this entry uses; nil before the first view

	viewMu        sync.Mutex // held while a view is pushed
	pushedVersion int        // version of the configuration last pushed
	pushedKey     viewKey    // key of the view last pushed
	// workerAddrs holds the addresses of the workers in the view last pushed.
	workerAddrs map[string]bool
	wg          sync.WaitGroup
}

// New builds a daemon without starting it. It returns an error if the entry server cannot be built.
func New(cfg Config) (*Daemon, error) {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	s := cfg.Settings
	d := &Daemon{
		cfg:     cfg,
		log:     cfg.Log.With(zap.String("VM", s.VM)),
		pending: newPendingSet(),

		submissions: ring.New[*submission](submissionsSize),
		addrs:       &addrBook{own: s.Peer, configured: s.Peers},
		leaving:     &leavingSet{clock: cfg.Clock},
		health:      newVMHealth(),
		stats:       stats.New(),
		faults:      peer.NewFaults(s.FaultInjection),

		pushedKey: viewKey{offset: -2}, // no state has this offset, so the first view is pushed
	}
	d.routedOffset.Store(-1)
	d.store = NewStore(d.log, d.reportResult)
	d.group = newGroup(groupConfig{
		Member: fleet.Member{VM: s.VM, Addr: s.Peer, Admin: s.Admin, DC: s.DC, Region: s.Region},
		Clock:  cfg.Clock, Store: d.store,
		RoutedOffset: d.routedOffset.Load,
		ListOK:       func() bool { return d.vms.Err() == nil },
	})
	d.client = oplog.NewClient(oplog.Config{Base: s.Platform, ClientID: s.VM})
	d.writer = oplog.NewWriter(oplog.WriterConfig{Client: d.client, Clock: cfg.Clock, Writer: s.VM})
	d.vms = vmlist.New(vmlist.Config{Base: s.Platform, ClientID: s.VM, Clock: cfg.Clock, MayPollSlowly: d.mayPollListSlowly})
	d.controller, d.missing = newController(d), newMissingEntries(d)
	d.buildPeerCalls()
	d.buildAdmin()
	if err := d.buildRequestPath(); err != nil {
		return nil, err
	}
	d.buildMetrics()
	return d, nil
}

func (d *Daemon) buildAdmin() {
	cfg := admin.ServerConfig{
		State: d.store, Appender: appender{d}, Entries: d, Health: d, Metrics: d.stats, Clock: d.cfg.Clock, Log: d.log,
	}
	if d.cfg.Settings.FaultInjection {
		cfg.Fault = d.cutPeers
	}
	d.admin = admin.NewServer(cfg)
}

// cutPeers blocks the connections to the peers of a peer.CutRequest. It injects network faults in tests.
func (d *Daemon) cutPeers(raw json.RawMessage) error {
	var req peer.CutRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return eris.Wrap(err, "decode the peers to cut off")
	}
	d.faults.Set(req.Peers)
	return nil
}

func (d *Daemon) buildPeerCalls() {
	d.traffic = peer.NewStats()
	server := peer.NewServer(peer.ServerConfig{Listen: d.cfg.Settings.Peer, Cut: d.faults, Stats: d.traffic, Log: d.log})
	pool := peer.NewPool(peer.PoolConfig{From: d.group.Self, Cut: d.faults, Stats: d.traffic, Log: d.log})
	d.recent = peer.NewRecordBuffer(d.cfg.Clock, 0, maxBufferedRecords, maxBufferedBytes)
	d.links = newLinks(d, server, pool)
}

func (d *Daemon) buildRequestPath() error {
	d.pools = newPools(poolsConfig{Clock: d.cfg.Clock, DC: d.cfg.Settings.DC, MayStart: d.group.MayStart})
	d.sched = sched.NewSet(sched.SetConfig{Clock: d.cfg.Clock, Exchanger: d.links, Self: d.slotMember})
	d.forwarder = proxy.New(proxy.Config{ViaName: d.cfg.Settings.VM})
	limits := d.cfg.Settings.Limits
	d.jobs = newJobs(d)
	d.claims = claims.New(claims.Config{Peers: d.links, Clock: d.cfg.Clock, Log: d.log})
	srv, err := entry.New(entry.Config{
		Scheduler: d.pools,
		Jobs:      d.jobs,
		Observer:  observer{d.stats},
		Forwarder: d.forwarder,
		Gate:      d.group,
		Clock:     d.cfg.Clock,
		Log:       d.log,
		Claims:    d.claims,
		Self:      d.group.Self,

		HeaderTimeout:  time.Duration(limits.ReadHeaderTimeout),
		IdleTimeout:    time.Duration(limits.IdleTimeout),
		MaxHeaderBytes: limits.MaxHeaderBytes,
		MaxBodyBytes:   int64(limits.MaxBodyBytes),
	})
	d.entry = srv
	return err
}

// slotMember returns the member ID whose slots this entry uses: that of the last pushed view, else its own.
func (d *Daemon) slotMember() string {
	if id := d.slotSelf.Load(); id != nil {
		return *id
	}
	return d.group.Self()
}

// reportResult passes the result of a folded record to the append that waits for it.
func (d *Daemon) reportResult(r fleet.Result) {
	switch {
	case r.Duplicate:
		d.writer.ObserveDuplicate(r.ID)
	case r.ID != "":
		d.writer.Observe(r.ID, r.Offset, r.Accepted, r.Reason)
	}
}

// stopTimeout bounds a graceful stop, which waits for the longest deadline of a request and for the hand-over
// of the idempotency keys.
const stopTimeout = 24 * time.Hour

const (
	leaveTimeout     = 5 * time.Second // bounds the append of the Leave and the wait for the other entries
	foldPollInterval = 50 * time.Millisecond
	foldTimeout      = 2 * time.Second // bounds the wait for the other entries to fold the Leave
)

// Run serves until ctx ends and then stops gracefully. It returns an error if the entry cannot start,
// if serving callers fails, or if requests are still in progress when the stop times out.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.ctx = background
	callerListener, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.background(func() { _ = d.links.server.Run(background) })
	d.background(func() { d.serveAdmin(background) })
	if err := d.awaitState(ctx); err != nil {
		return eris.Wrap(err, "stopped before a fleet state was loaded")
	}
	d.runLoops(background)
	failed := make(chan error, 1)
	d.background(func() { failed <- d.entry.Serve(callerListener) })
	d.log.Info("serving", zap.String("Listen", callerListener.Addr().String()), zap.Int64("Offset", d.store.Offset()))
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	err = d.stop(background)
	cancel()
	d.claims.Close()
	d.wg.Wait()
	return err
}

// listen opens the sockets for peers, operators and callers, and returns that for callers. The peer socket is
// opened first: its failure keeps a second process from using the identity of this VM.
func (d *Daemon) listen(ctx context.Context) (net.Listener, error) {
	if err := d.links.server.Listen(ctx); err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", d.cfg.Settings.Peer)
	}
	var lc net.ListenConfig
	adminListener, err := lc.Listen(ctx, "tcp", d.cfg.Settings.Admin)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s", d.cfg.Settings.Admin)
	}
	d.adminListener = adminListener
	ln, err := lc.Listen(ctx, "tcp", d.cfg.Settings.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for callers on %s", d.cfg.Settings.Listen)
	}
	return netutil.LimitListener(ln, d.cfg.Settings.Limits.MaxConnections), nil
}

func (d *Daemon) runLoops(ctx context.Context) {
	d.reader = oplog.NewReader(oplog.ReaderConfig{Client: d.client, Sink: logSink{d}, Clock: d.cfg.Clock, From: d.store.Offset() + 1})
	d.pushViews() // the first request for a guest lease names the view of routing
	for _, loop := range []func(context.Context){
		d.reader.Run, d.writer.Run, d.links.loop, d.links.heartbeater.Run, d.sched.Run,
		d.viewLoop, d.memberLoop, d.leaveLoop, d.snapshotLoop, d.jobs.loop,
		d.vms.Run, d.controller.loop, d.probeLoop,
	} {
		d.background(func() { loop(ctx) })
	}
	for range appenders {
		d.background(func() { d.appendLoop(ctx) })
	}
}

func (d *Daemon) background(run func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		run()
	}()
}

// stop stops accepting requests, waits for those in progress, hands over the idempotency keys and leaves the fleet.
func (d *Daemon) stop(ctx context.Context) error {
	d.log.Info("stopping")
	d.group.MarkStopping()
	d.jobs.stop()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := d.entry.Stop(ctx, time.Duration(d.cfg.Settings.BalancerWait))
	d.jobs.drain(ctx)
	if lost := d.claims.Leave(ctx); lost != nil {
		d.log.Warn("hand-over of idempotency keys is incomplete", zap.Error(lost))
	}
	d.leave(ctx)
	return eris.Wrap(err, "requests still in progress after the stop timeout")
}

func (d *Daemon) leave(ctx context.Context) {
	r, member := d.group.Leave()
	if !member {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	out, err := d.writer.Append(ctx, r)
	if err != nil {
		d.log.Warn("append of the Leave record failed; the other entries will evict this one", zap.String("Outcome", string(out.Verdict)), zap.Error(err))
		return
	}
	d.awaitFold(ctx, out.Offset)
}

// awaitFold waits until the other entries have folded the record at offset, at most foldTimeout. Until then they
// still send claims of idempotency keys to this entry, and would refuse callers if it did not answer.
func (d *Daemon) awaitFold(ctx context.Context, offset int64) {
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	for !d.group.FoldedByAll(offset) {
		select {
		case <-ctx.Done():
			return
		case <-d.after(foldPollInterval):
		}
	}
}

// after returns a channel that receives the time after delay.
func (d *Daemon) after(delay time.Duration) <-chan time.Time { return time.After(delay) }

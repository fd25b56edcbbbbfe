// Package daemon wires the parts of an entry together and runs its life cycle.
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

// Config is what a daemon needs.
type Config struct {
	Settings config.Settings
	Log      *zap.Logger
	Clock    clock.Clock // nil means the system's
}

// Daemon is one entry.
type Daemon struct {
	cfg Config
	log *zap.Logger
	ctx context.Context // of the background work, ends after the graceful stop

	store   *Store
	group   *group
	pending *pendingSet
	// submissions joins the loops that find records due with those that append them.
	submissions *ring.Ring[*submission]
	addrs       *addrBook
	leaving     *leavingSet
	health      *vmHealth

	client *oplog.Client
	writer *oplog.Writer
	reader *oplog.Reader
	links  *links
	tail   *peer.RecordBuffer // newest records, for peers that cannot read the log

	pools     *pools
	sched     *sched.Set
	forwarder *proxy.Forwarder
	entry     *entry.Server
	jobs      *jobs
	claims    *claims.Node

	vms     *vmlist.Client
	control *control
	gone    *goneEntries

	admin         *admin.Server
	adminListener net.Listener
	stats         *stats.Stats
	faults        *peer.Faults
	traffic       *peer.Stats

	foldMu   sync.Mutex             // orders the log reader and relaying peers
	viewed   atomic.Int64           // offset of the view that routing uses, -1 before the first
	slotSelf atomic.Pointer[string] // member whose slots this entry uses; nil before the first view

	viewMu  sync.Mutex // one view is pushed at a time
	version int        // of the configuration last pushed
	viewKey viewKey    // of the view last pushed
	// workerAddrs are the addresses of the workers in the view last pushed.
	workerAddrs map[string]bool
	work        sync.WaitGroup
}

// New returns a daemon that is not running yet.
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
		addrs:       &addrBook{own: s.Peer, fixed: s.Peers},
		leaving:     &leavingSet{clock: cfg.Clock},
		health:      newVMHealth(),
		stats:       stats.New(),
		faults:      peer.NewFaults(s.FaultInjection),

		viewKey: viewKey{offset: -2},
	}
	d.viewed.Store(-1)
	d.store = NewStore(d.log, d.observe)
	d.group = newGroup(groupConfig{
		Member: fleet.Member{VM: s.VM, Addr: s.Peer, Admin: s.Admin, DC: s.DC, Region: s.Region},
		Clock:  cfg.Clock, Store: d.store,
		Viewed: d.viewed.Load,
		ListOK: func() bool { return d.vms.Err() == nil },
	})
	d.client = oplog.NewClient(oplog.Config{Base: s.Platform, ClientID: s.VM})
	d.writer = oplog.NewWriter(oplog.WriterConfig{Client: d.client, Clock: cfg.Clock, Writer: s.VM})
	d.vms = vmlist.New(vmlist.Config{Base: s.Platform, ClientID: s.VM, Clock: cfg.Clock, Slow: d.followsList})
	d.control, d.gone = newControl(d), newGoneEntries(d)
	d.buildLinks()
	d.buildAdmin()
	if err := d.buildPath(); err != nil {
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

// cutPeers cuts this entry off from peers, for tests.
func (d *Daemon) cutPeers(raw json.RawMessage) error {
	var req peer.CutRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return eris.Wrap(err, "decode the peers to cut off")
	}
	d.faults.Set(req.Peers)
	return nil
}

func (d *Daemon) buildLinks() {
	d.traffic = peer.NewStats()
	server := peer.NewServer(peer.ServerConfig{Listen: d.cfg.Settings.Peer, Cut: d.faults, Stats: d.traffic, Log: d.log})
	pool := peer.NewPool(peer.PoolConfig{From: d.group.Self, Cut: d.faults, Stats: d.traffic, Log: d.log})
	d.tail = peer.NewRecordBuffer(d.cfg.Clock, 0, tailRecords, tailBytes)
	d.links = newLinks(d, server, pool)
}

func (d *Daemon) buildPath() error {
	d.pools = newPools(poolsConfig{Clock: d.cfg.Clock, DC: d.cfg.Settings.DC, Fresh: d.group.Fresh})
	d.sched = sched.NewSet(sched.SetConfig{Clock: d.cfg.Clock, Exchanger: d.links, Self: d.slotMember})
	d.forwarder = proxy.New(proxy.Config{Name: d.cfg.Settings.VM})
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

		HeaderTimeout: time.Duration(limits.ReadHeaderTimeout),
		IdleTimeout:   time.Duration(limits.IdleTimeout),
		HeaderBytes:   limits.MaxHeaderBytes,
		BodyBytes:     int64(limits.MaxBodyBytes),
	})
	d.entry = srv
	return err
}

// slotMember returns the member ID under which this entry shares slots.
func (d *Daemon) slotMember() string {
	if id := d.slotSelf.Load(); id != nil {
		return *id
	}
	return d.group.Self()
}

// observe passes the fold's results on to those who wait for them.
func (d *Daemon) observe(r fleet.Result) {
	switch {
	case r.Duplicate:
		d.writer.ObserveDuplicate(r.ID)
	case r.ID != "":
		d.writer.Observe(r.ID, r.Offset, r.Accepted, r.Reason)
	}
}

// stopLimit bounds a graceful stop: the longest deadline of a request, and the hand-over.
const stopLimit = 24 * time.Hour

const (
	leaveTimeout = 5 * time.Second // bounds the wait for the log when an entry leaves
	leavePause   = 50 * time.Millisecond
	foldTimeout  = 2 * time.Second // bounds the wait for the others to fold the Leave
)

// Run serves until ctx ends and then stops gracefully. It returns an error if the entry cannot start.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.ctx = background
	callers, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.background(func() { _ = d.links.server.Run(background) })
	d.background(func() { d.serveAdmin(background) })
	if err := d.start(ctx); err != nil {
		return eris.Wrap(err, "stopped before there was a state to serve from")
	}
	d.runLoops(background)
	failed := make(chan error, 1)
	d.background(func() { failed <- d.entry.Serve(callers) })
	d.log.Info("serving", zap.String("Listen", callers.Addr().String()), zap.Int64("Offset", d.store.Offset()))
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	err = d.stop(background)
	cancel()
	d.claims.Close()
	d.work.Wait()
	return err
}

// listen opens the sockets. The peer socket comes first: it keeps a second process off this VM's identity.
func (d *Daemon) listen(ctx context.Context) (net.Listener, error) {
	if err := d.links.server.Listen(ctx); err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", d.cfg.Settings.Peer)
	}
	var lc net.ListenConfig
	admins, err := lc.Listen(ctx, "tcp", d.cfg.Settings.Admin)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s", d.cfg.Settings.Admin)
	}
	d.adminListener = admins
	ln, err := lc.Listen(ctx, "tcp", d.cfg.Settings.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for callers on %s", d.cfg.Settings.Listen)
	}
	return netutil.LimitListener(ln, d.cfg.Settings.Limits.MaxConnections), nil
}

func (d *Daemon) runLoops(ctx context.Context) {
	d.reader = oplog.NewReader(oplog.ReaderConfig{Client: d.client, Sink: logSink{d}, Clock: d.cfg.Clock, From: d.store.Offset() + 1})
	for _, loop := range []func(context.Context){
		d.reader.Run, d.writer.Run, d.links.loop, d.links.heart.Run, d.sched.Run,
		d.viewLoop, d.memberLoop, d.leaveLoop, d.snapshotLoop, d.jobs.loop,
		d.vms.Run, d.control.loop, d.probeLoop,
	} {
		d.background(func() { loop(ctx) })
	}
	for range appenders {
		d.background(func() { d.appendLoop(ctx) })
	}
}

func (d *Daemon) background(run func()) {
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		run()
	}()
}

// stop ends the service without cutting off a request.
func (d *Daemon) stop(ctx context.Context) error {
	d.log.Info("stopping")
	d.group.Stopping()
	d.jobs.stop()
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	err := d.entry.Stop(ctx, time.Duration(d.cfg.Settings.BalancerWait))
	d.jobs.drain(ctx)
	if lost := d.claims.Leave(ctx); lost != nil {
		d.log.Warn("not all idempotency keys were handed over", zap.Error(lost))
	}
	d.leave(ctx)
	return eris.Wrap(err, "requests were still in progress at the stop limit")
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
		d.log.Warn("left without a record; the other entries will evict this one", zap.String("Outcome", string(out.Verdict)), zap.Error(err))
		return
	}
	d.awaitFold(ctx, out.Offset)
}

// awaitFold waits until the other entries have folded a record. Until then they still ask this
// entry about idempotency keys, and would refuse callers if it were gone.
func (d *Daemon) awaitFold(ctx context.Context, offset int64) {
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	for !d.group.FoldedByAll(offset) {
		select {
		case <-ctx.Done():
			return
		case <-d.after(leavePause):
		}
	}
}

// after returns a channel that fires after the pause.
func (d *Daemon) after(pause time.Duration) <-chan time.Time { return time.After(pause) }

package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sassafrasvalve/io/stats"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sassafrasvalve/core/assign"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/feed"
	"sassafrasvalve/io/jobapi"
	"sassafrasvalve/io/logs"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/io/peer"
	"sassafrasvalve/io/tail"
	"sassafrasvalve/io/vmreg"
	"sassafrasvalve/platform"
)

// Life cycle of an entry.
const (
	// configWait is how long the store holds a read of the configuration back at most.
	configWait = 900 * time.Millisecond
	// configSlack is left of the bound on the configuration's age for late answers and a busy processor, in ms.
	configSlack = 300
	// leaveWait is how long an entry that is no longer ready goes on accepting, until the balancer has
	// missed two checks.
	leaveWait = 2300 * time.Millisecond
	// finishWait bounds the wait for open requests at a stop.
	finishWait = 2500 * time.Millisecond
	// readyAge is the age of the configuration, in ms, up to which an entry reports itself ready. An entry that cannot read the log
	// may still reach owners that can write it, but others serve callers better.
	readyAge = 2500
	// memoryShare is the part of the memory limit that the runtime keeps to, in percent.
	memoryShare = 70
	// gcPercent trades memory, which is priced at its peak, against processor time.
	gcPercent = 100
	// headerTimeout and idleTimeout hold until a configuration sets others.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

// Node is one entry on the platform.
type Node struct {
	cfg      *Settings
	log      *zap.Logger
	level    zap.AtomicLevel
	sink     *logs.Sink
	member   string
	store    *platform.Store
	cloud    *platform.Cloud
	policy   *platform.Policy
	catalog  *catalog
	shards   *shards
	waves    *waves
	regis    *vmreg.Registry
	peers    *owners
	roster   *tail.Directory
	stats    *stats.Stats
	owned    atomic.Int64
	claiming sync.Mutex // of the owners
	leaving  atomic.Bool

	ctx          context.Context // of the followers and of owners
	owners       sync.WaitGroup
	cancelOwners context.CancelFunc
	ownersCtx    context.Context
}

// Main runs an entry with the settings at path until ctx ends, then stops it gracefully.
func Main(ctx context.Context, path string) error {
	s, err := LoadSettings(path)
	if err != nil {
		return err
	}
	n, err := New(s)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// New returns an entry that does not run yet.
func New(s *Settings) (*Node, error) {
	sink := logs.NewSink(os.Stdout)
	log, level, err := logs.New(sink, s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("LogLevel: %w", err)
	}
	setMemoryLimit(s.MemoryMB)
	debug.SetGCPercent(gcPercent)
	n := &Node{
		cfg: s, log: log, level: level, member: fmt.Sprintf("%s#%d", s.Node, time.Now().UnixMilli()),
		sink: sink, store: platform.NewStore(s.Store.Addr), stats: stats.New(),
	}
	n.roster = tail.NewDirectory(n.store, s.CPUShare > 0 && s.CPUShare < weakShare, log)
	n.peers = newOwners(n.member, n.roster, log)
	n.policy = platform.NewPolicy(s.Policy)
	n.cloud = platform.NewCloud(s.Cloud.Addr, n.member)
	n.waves = &waves{log: log, store: n.store, waves: map[int]pools.Wave{}, told: map[int]string{}}
	n.catalog = &catalog{log: log, waves: n.waves}
	n.catalog.feed = feed.New(feed.Config{
		Store: n.store, Topic: platform.TopicOperator, Wait: configWaitFor(s.Times.ConfigMs), Log: log, Apply: n.catalog.take,
	})
	n.addGauges()
	n.shards = newShards(shardsConfig{Store: n.store, Parts: s.Store.Parts, Log: log, Open: n.open})
	return n, nil
}

// configWaitFor returns how long the store may hold a read of the configuration back. What was read gets as old as two waits.
func configWaitFor(configMs int64) time.Duration {
	most := (jobapi.MaxConfigAgeMs(configMs) - configSlack) / 2
	return min(configWait, time.Duration(max(most, 0))*time.Millisecond)
}

// Run serves until ctx ends, then hands the shards over, finishes open requests and returns.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("entry starts", zap.String("member", n.member), zap.String("dc", n.cfg.DC))
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.ctx = base
	n.ownersCtx, n.cancelOwners = context.WithCancel(base)
	n.regis = vmreg.New(base, vmreg.Config{Store: n.store, Log: n.log})
	var listen net.ListenConfig
	front, err := listen.Listen(ctx, "tcp", n.cfg.Front)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ready, err := listen.Listen(ctx, "tcp", n.cfg.Ready)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	n.newRelays(base)
	calls := peer.NewServer(peer.ServerConfig{Listen: n.cfg.Peer, ServeRaw: n.peers.relays.Serve, Log: n.log})
	n.peers.serve(calls)
	rel := &relief{n: n}
	handle(calls, methodRelieve, func(ctx context.Context, req relieveRequest) any { return rel.relieve(ctx, req) })
	if err := calls.Listen(base); err != nil {
		return err
	}
	go n.catalog.feed.Run(base)
	go n.roster.Run(base)
	go n.shards.loop(base, n.catalog.Current)
	go n.peers.relays.Run(base)
	go rel.Run(base)
	go (&offers{n: n, next: map[string]time.Time{}}).Run(base)
	d := jobapi.New(jobapi.Config{Owners: n.peers, Store: n.store, Catalog: n.catalog, Shards: n.shards, ConfigUpdateMs: n.cfg.Times.ConfigMs, Log: n.log, Stats: n.stats})
	server := &http.Server{
		Handler: &platform.Front{JobAPI: d, Log: n.log}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	checks := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 4)
	go func() {
		if err := calls.Run(base); err != nil {
			failed <- err
		}
	}()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go n.serve(server, front, failed)
	go n.serve(checks, ready, failed)
	n.serveMetrics(failed)
	if err := n.loop(ctx, reload, failed); err != nil {
		return err
	}
	n.stop(server)
	_ = checks.Close() // the process ends
	n.log.Info("entry stops", zap.String("member", n.member), zap.Int64("linesDropped", n.sink.Dropped()))
	n.sink.Close()
	return nil
}

// loop waits for the end of ctx, and reloads the settings on SIGHUP.
func (n *Node) loop(ctx context.Context, reload <-chan os.Signal, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-reload:
			n.reload()
		}
	}
}

// reload puts the settings in force that can change while an entry runs.
func (n *Node) reload() {
	s, err := LoadSettings(n.cfg.path)
	if err != nil {
		n.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	if l, err := zapcore.ParseLevel(s.LogLevel); err == nil {
		n.level.SetLevel(l)
	}
	setMemoryLimit(s.MemoryMB)
	restart := s.Front != n.cfg.Front || s.Ready != n.cfg.Ready || s.Store != n.cfg.Store || s.Cloud != n.cfg.Cloud
	n.log.Info("settings reloaded", zap.Bool("restartNeeded", restart))
}

// setMemoryLimit has the runtime keep to its part of the machine's limit in MB; 0 sets none.
func setMemoryLimit(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(mb * memoryShare / 100 << 20)
	}
}

func (n *Node) serve(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// stop ends an entry gracefully: shards first, since nothing is placed until another owner has them.
func (n *Node) stop(server *http.Server) {
	n.log.Info("stop requested", zap.Int64("owned", n.owned.Load()))
	n.leaving.Store(true)
	n.peers.relays.AnnounceStop()
	n.cancelOwners()
	until := time.Now().Add(leaveWait)
	n.owners.Wait()
	time.Sleep(time.Until(until))
	ctx, cancel := context.WithTimeout(context.Background(), finishWait)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("requests open at the end of the stop", zap.Error(err))
	}
}

// open takes part in the ownership of a shard.
func (n *Node) open(service string, part int) {
	o := owner.New(owner.Config{
		Member: n.member, Addr: n.cfg.Peer, Peers: n.peers, Service: service, Part: part, Store: n.store, Directory: n.roster,
		Runner: n.runner(service), OwnedCount: &n.owned, ClaimMu: &n.claiming, CPUShare: n.cfg.CPUShare, Log: n.log, Stats: n.stats,
		ClaimDelay: func(owned int64) time.Duration { return claimDelay(n.cfg.CPUShare, owned) },
	})
	n.peers.add(part, o)
	n.owners.Add(1)
	go func() {
		defer n.owners.Done()
		o.Run(n.ownersCtx)
	}()
}

// Processor of a machine, in cores.
const (
	// weakShare is the share below which a machine leaves the watch over owners to others.
	weakShare = 0.35
	// fullShare is the share from which a machine claims shards without delay.
	fullShare = 0.8
	// offerSlope is by how much a machine of no share at all delays what it offers to others.
	offerSlope = 460 * time.Millisecond
	// claimSlope is the delay of a claim for each time that a shard would have less processor than in a full machine of its own.
	claimSlope = 130 * time.Millisecond
	// claimMost bounds the delay, so that the last machines left do not keep callers waiting.
	claimMost = 900 * time.Millisecond
)

// claimDelay returns by how much a machine with a share of a core and some shards delays its claims: the one in which a shard gets
// most processor claims first. A share that is not known counts as a full one.
func claimDelay(share float64, owned int64) time.Duration {
	if share <= 0 || share > fullShare {
		share = fullShare
	}
	less := fullShare*float64(owned+1)/share - 1
	return min(time.Duration(float64(claimSlope)*less), claimMost)
}

// handicap returns by how much a machine with a share of a core delays what it offers to others.
func handicap(share float64) time.Duration {
	if share <= 0 || share >= fullShare {
		return 0
	}
	// The square keeps the delay short where all machines are of the middle size.
	lacks := (fullShare - share) / fullShare
	return time.Duration(float64(offerSlope) * lacks * lacks)
}

// runner returns what the owner of a shard does.
func (n *Node) runner(service string) owner.Runner {
	if service == keeperShard {
		return owner.NewControllerRunner(owner.ControllerConfig{
			Cloud: n.cloud, Waves: n.waves.list, Demands: n.posts, Upkeeps: n.roster.Upkeeps,
			ReportWave: n.waves.tell, LeaseMs: n.cfg.Times.LeaseMs, OrdersPerS: n.cfg.Cloud.CallsPerS, Stats: n.stats,
		})
	}
	return owner.NewPoolRunner(owner.PoolConfig{
		Service: service, Registry: n.regis, Catalog: n.catalog.Current, VMsToVacate: n.roster.VMsToVacate, ReportDemand: n.tell,
		Relay: n.relayed, DirectVMs: n.peers.helpers.DirectVMs(),
		ListMachines: n.cloud.ListMachines, QueryPolicy: n.policy.Query, Stats: n.stats,
		Engine: shard.Config{
			StatusRetentionMs: n.cfg.Times.StatusMs + statusMargin, MaxEarlyStartMs: n.cfg.Times.EarlyMs, ThrottleEffectMs: n.cfg.Times.PaceMs,
			MaxOverTargetMs: n.cfg.Times.HarmMs, MaxAbsenceMs: n.cfg.Times.NoticeMs, StopEffectMs: n.cfg.Times.StopMs,
		},
	})
}

// posts returns what the owners of the pools told last.
func (n *Node) posts() []assign.PoolDemand {
	c := n.catalog.Current()
	if c == nil {
		return nil
	}
	list := make([]assign.PoolDemand, 0, len(c.Pools))
	for i := range c.Pools {
		p := assign.PoolDemand{Service: c.Pools[i].Service, Spare: c.Pools[i].Spare}
		if part, ok := n.shards.Part(p.Service); ok {
			p.Report = n.peers.post(p.Service, n.roster.Shard(part).Demand)
		}
		list = append(list, p)
	}
	return list
}

// tell hands a pool's post to the machine controller, which reads its record later otherwise.
func (n *Node) tell(service string, p jobs.DemandReport) {
	if part, ok := n.shards.Part(keeperShard); ok {
		go n.peers.tell(n.roster.Shard(part).Claim, service, p)
	}
}

// statusMargin is how much longer than asked a finished job stays known, in ms.
const statusMargin = 20_000

// serveReady answers the balancer's checks.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) unready() string {
	c, age := n.catalog.Catalog()
	switch {
	case n.leaving.Load():
		return "the entry is stopping"
	case c == nil:
		return "no configuration has been read yet"
	case age > readyAge:
		return "the configuration cannot be read at present"
	}
	if n.roster.Position().NextOffset < 0 {
		return "the owners of the shards are not known yet"
	}
	for i := range c.Queues {
		if _, ok := n.shards.Part(c.Queues[i].Service); !ok {
			return "a service has no shard yet"
		}
	}
	return ""
}

// addGauges registers what is read at each scrape.
func (n *Node) addGauges() {
	n.stats.Gauge("sassafrasvalve_shards_owned", nil, func() float64 { return float64(n.owned.Load()) })
	n.stats.Gauge("sassafrasvalve_log_lines_dropped", nil, func() float64 { return float64(n.sink.Dropped()) })
	n.stats.Gauge("sassafrasvalve_config_age_seconds", nil, func() float64 {
		_, age := n.catalog.Catalog()
		return float64(age) / 1000
	})
	n.stats.Gauge("sassafrasvalve_config_version", nil, func() float64 {
		if c := n.catalog.Current(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

// serveMetrics serves counters and histograms as text, if the settings name an address.
func (n *Node) serveMetrics(failed chan<- error) {
	addr, path, _ := strings.Cut(n.cfg.Metrics, "/")
	if addr == "" {
		return
	}
	l, err := new(net.ListenConfig).Listen(n.ctx, "tcp", addr)
	if err != nil {
		n.log.Error("metrics are not served", zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/"+path, func(w http.ResponseWriter, _ *http.Request) {
		if err := n.stats.WriteText(w); err != nil {
			n.log.Info("metrics not written", zap.Error(err))
		}
	})
	go n.serve(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, l, failed)
}

var _ jobapi.Catalog = (*catalog)(nil)

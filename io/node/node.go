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

// Timeouts and limits of an entry.
const (
	// maxConfigReadWait bounds the time for which the store holds back a read of the configuration.
	maxConfigReadWait = 900 * time.Millisecond
	// configAgeReserveMs is the part of the maximum configuration age that is kept for late answers and a busy CPU.
	configAgeReserveMs = 300
	// acceptAfterStop is the time for which a stopping entry still accepts requests. The balancer removes the entry after
	// two failed checks.
	acceptAfterStop = 2300 * time.Millisecond
	// shutdownTimeout bounds the wait for open requests at a stop.
	shutdownTimeout = 2500 * time.Millisecond
	// maxReadyConfigAgeMs is the maximum age of the configuration at which an entry reports itself ready. An entry that
	// cannot read the log may still reach owners that can write to it, but other entries serve callers better.
	maxReadyConfigAgeMs = 2500
	// memoryLimitPercent is the percentage of the settings' memory limit that the Go runtime uses as its own limit.
	memoryLimitPercent = 70
	// gcPercent trades memory against CPU time. Memory is priced at its peak.
	gcPercent = 100
	// headerTimeout and idleTimeout apply until a configuration sets others.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

// Node runs one entry on the platform.
type Node struct {
	cfg       *Settings
	log       *zap.Logger
	level     zap.AtomicLevel
	sink      *logs.Sink
	member    string
	store     *platform.Store
	cloud     *platform.Cloud
	policy    *platform.Policy
	catalog   *catalog
	shards    *shardMap
	waves     *waves
	registry  *vmreg.Registry
	peers     *shardOwners
	directory *tail.Directory
	stats     *stats.Stats
	// accountStates holds the client accounts of the pools whose shards owners in this process own.
	accountStates *owner.AccountStates
	ownedCount    atomic.Int64 // number of shards that owners in this process own
	claimMu       sync.Mutex   // held by an owner in this process while it claims a shard
	leaving       atomic.Bool  // the entry is stopping

	ctx          context.Context // of all goroutines of the entry
	owners       sync.WaitGroup  // of the owners' goroutines
	cancelOwners context.CancelFunc
	ownersCtx    context.Context // of the owners, which stop before the rest
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

// New returns an entry with the given settings. Run starts it.
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
	n.directory = tail.NewDirectory(n.store, s.CPUShare > 0 && s.CPUShare < lowCPUShare, log)
	n.peers = newShardOwners(n.member, n.directory, log)
	n.policy = platform.NewPolicy(s.Policy)
	n.cloud = platform.NewCloud(s.Cloud.Addr, n.member)
	n.waves = &waves{log: log, store: n.store, waves: map[int]pools.Wave{}, reported: map[int]string{}}
	n.catalog = &catalog{log: log, stats: n.stats, waves: n.waves}
	n.catalog.feed = feed.New(feed.Config{
		Store: n.store, Topic: platform.TopicOperator, Wait: configReadWait(s.Times.ConfigMs), Log: log, Apply: n.catalog.apply,
	})
	n.accountStates = &owner.AccountStates{}
	n.accountStates.AddGauges(n.stats)
	n.addGauges()
	n.shards = newShardMap(shardMapConfig{Store: n.store, Parts: s.Store.Parts, Log: log, Open: n.openShard})
	return n, nil
}

// configReadWait returns the time for which the store may hold back a read of the configuration. A configuration gets as
// old as two such waits before the next read renews it.
func configReadWait(configMs int64) time.Duration {
	maxMs := (jobapi.MaxConfigAgeMs(configMs) - configAgeReserveMs) / 2
	return min(maxConfigReadWait, time.Duration(max(maxMs, 0))*time.Millisecond)
}

// Run serves until ctx ends, then releases the shards, finishes open requests and returns.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("entry starts", zap.String("member", n.member), zap.String("dc", n.cfg.DC))
	n.log.Info("bounds in force", n.cfg.Times.boundFields()...)
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.ctx = base
	n.ownersCtx, n.cancelOwners = context.WithCancel(base)
	n.registry = vmreg.New(base, vmreg.Config{Store: n.store, Log: n.log})
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
	calls := peer.NewServer(peer.ServerConfig{Listen: n.cfg.Peer, ServeRaw: n.peers.relayServer.Serve, Log: n.log})
	n.peers.serve(calls)
	reb := &rebalancer{n: n}
	handle(calls, methodRelieve, func(ctx context.Context, req relieveRequest) any { return reb.handOver(ctx, req) })
	if err := calls.Listen(base); err != nil {
		return err
	}
	go n.catalog.feed.Run(base)
	go n.directory.Run(base)
	go n.shards.loop(base, n.catalog.Current)
	go n.peers.relayServer.Run(base)
	go reb.Run(base)
	go (&relayOffers{n: n, nextOffer: map[string]time.Time{}}).Run(base)
	api := jobapi.New(jobapi.Config{
		Owners: n.peers, Store: n.store, Catalog: n.catalog, Shards: n.shards,
		Routes: &routeShards{store: n.store, directory: n.directory, log: n.log}, ConfigUpdateMs: n.cfg.Times.ConfigMs, Log: n.log, Stats: n.stats,
		Limits: n.cfg.Store.limits(),
	})
	server := &http.Server{
		Handler: &platform.Front{JobAPI: api, Log: n.log}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
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

// loop waits until ctx ends or a server fails, and reloads the settings on SIGHUP.
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

// reload reads the settings again and applies those that can change while an entry runs: the log level and the memory
// limit.
func (n *Node) reload() {
	s, err := LoadSettings(n.cfg.path)
	if err != nil {
		n.log.Error("reload settings failed", zap.Error(err))
		return
	}
	if l, err := zapcore.ParseLevel(s.LogLevel); err == nil {
		n.level.SetLevel(l)
	}
	setMemoryLimit(s.MemoryMB)
	restart := s.Front != n.cfg.Front || s.Ready != n.cfg.Ready || s.Store != n.cfg.Store || s.Cloud != n.cfg.Cloud
	n.log.Info("settings reloaded", zap.Bool("restartNeeded", restart))
}

// setMemoryLimit sets the Go runtime's memory limit from the limit of the process in MB. 0 sets none.
func setMemoryLimit(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(mb * memoryLimitPercent / 100 << 20)
	}
}

func (n *Node) serve(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// stop ends an entry gracefully. It releases the shards first, since their jobs are not placed until another entry owns
// them.
func (n *Node) stop(server *http.Server) {
	n.log.Info("stop requested", zap.Int64("owned", n.ownedCount.Load()))
	n.leaving.Store(true)
	n.peers.relayServer.AnnounceStop()
	n.cancelOwners()
	until := time.Now().Add(acceptAfterStop)
	n.owners.Wait()
	time.Sleep(time.Until(until))
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("requests still open at the end of the stop", zap.Error(err))
	}
}

// openShard starts to take part in the election of a shard's owner.
func (n *Node) openShard(service string, part int) {
	o := owner.New(owner.Config{
		Member: n.member, Addr: n.cfg.Peer, Peers: n.peers, Service: service, Part: part, Store: n.store, Directory: n.directory,
		Runner: n.runner(service), OwnedCount: &n.ownedCount, ClaimMu: &n.claimMu, CPUShare: n.cfg.CPUShare, Log: n.log, Stats: n.stats,
		ClaimDelay: n.claimDelay, Limits: n.cfg.Store.limits(),
	})
	n.peers.add(part, o)
	n.owners.Add(1)
	go func() {
		defer n.owners.Done()
		o.Run(n.ownersCtx)
	}()
}

// CPU shares of entries, in cores, and the delays that follow from them.
const (
	// lowCPUShare is the share below which an entry reads the owners' partition less often and leaves the detection of
	// silent owners to others.
	lowCPUShare = 0.35
	// fullCPUShare is the share from which an entry without shards claims without delay.
	fullCPUShare = 0.8
	// maxOfferDelay is the limit of offerDelay as the share approaches 0.
	maxOfferDelay = 460 * time.Millisecond
	// claimDelayUnit is the unit of claim delays. A shard that would get 1/(1+n) of fullCPUShare is claimed after n units.
	claimDelayUnit = 130 * time.Millisecond
	// maxClaimDelay bounds the claim delay. It keeps the wait of callers short when only slow entries are left.
	maxClaimDelay = 900 * time.Millisecond
	// noConfigDelay is the further claim delay of an entry that has read no configuration, and so starts no items. Entries
	// that have one claim first.
	noConfigDelay = 500 * time.Millisecond
)

// claimDelay returns the delay of a claim by this entry, which owns the given number of shards.
func (n *Node) claimDelay(owned int64) time.Duration {
	delay := claimDelay(n.cfg.CPUShare, owned)
	if n.catalog.Current() == nil {
		delay += noConfigDelay
	}
	return delay
}

// claimDelay returns the delay of claims by an entry with a share of a core that owns the given number of shards. The
// entry in which the shard would get the most CPU claims first. An unknown share, 0, counts as fullCPUShare.
func claimDelay(share float64, owned int64) time.Duration {
	if share <= 0 || share > fullCPUShare {
		share = fullCPUShare
	}
	units := fullCPUShare*float64(owned+1)/share - 1
	return min(time.Duration(float64(claimDelayUnit)*units), maxClaimDelay)
}

// offerDelay returns the delay of offers and of requests for shards by an entry with a share of a core. Callers multiply it
// by offerDelayFactor. It is 0 for an unknown share.
func offerDelay(share float64) time.Duration {
	if share <= 0 || share >= fullCPUShare {
		return 0
	}
	// The square keeps the delay short if all entries have a medium share.
	missing := (fullCPUShare - share) / fullCPUShare
	return time.Duration(float64(maxOfferDelay) * missing * missing)
}

// runner returns the runner of a service's shard: the machine controller or a pool.
func (n *Node) runner(service string) owner.Runner {
	if service == controllerShard {
		return owner.NewControllerRunner(owner.ControllerConfig{
			Cloud: n.cloud, Waves: n.waves.list, Demands: n.demands, Upkeeps: n.directory.Upkeeps,
			Accounts: n.accounts, ShardOwners: n.shardOwners, ReportWave: n.waves.reportStatus,
			SettleMs: n.cfg.Times.LeaseMs, OrdersPerS: n.cfg.Cloud.CallsPerS, MoveMs: n.cfg.Times.MoveMs, UpkeepMs: n.cfg.Times.UpkeepMs, Stats: n.stats,
		})
	}
	return owner.NewPoolRunner(owner.PoolConfig{
		Service: service, Registry: n.registry, Catalog: n.catalog.Current, CatalogFresh: n.catalogFresh,
		Allocation: &allocation{n}, AccountStates: n.accountStates, FleetVMs: n.directory.Machines,
		VMsToVacate: n.directory.VMsToVacate, JoinMs: n.joinMs, VMLimit: n.directory.VMLimit, ReportDemand: n.reportDemand, Relay: n.relayClient, DirectVMs: n.peers.relaySet.DirectVMs(),
		ListMachines: n.cloud.ListMachines, QueryPolicy: n.policy.Query, Stats: n.stats,
		Engine: shard.Config{
			StatusRetentionMs: n.cfg.Times.StatusMs + statusMarginMs, MaxEarlyStartMs: n.cfg.Times.EarlyMs,
			ThrottleEffectMs: n.cfg.Times.PaceMs, MaxOverTargetMs: n.cfg.Times.HarmMs, MaxAbsenceMs: n.cfg.Times.NoticeMs,
			StopEffectMs: n.cfg.Times.StopMs, HoldMaxMs: n.cfg.Times.HoldMaxMs, RestoreMs: n.cfg.Times.RestoreMs,
		},
	})
}

// joinMs returns the time that a move takes, as the machine controller measured it, or by the settings before that. It returns 0 if
// both are unknown.
func (n *Node) joinMs() int64 {
	if ms := n.directory.JoinMs(); ms > 0 || n.cfg.Times.MoveMs == 0 {
		return ms
	}
	return n.cfg.Times.MoveMs + joinLagMs
}

// joinLagMs is the time from the end of a move until the machine list shows the machine's VM.
const joinLagMs = 300

// demands returns the newest demand report of each pool in the configuration.
func (n *Node) demands() []assign.PoolDemand {
	c := n.catalog.Current()
	if c == nil {
		return nil
	}
	list := make([]assign.PoolDemand, 0, len(c.Pools))
	for i := range c.Pools {
		p := assign.PoolDemand{Pool: c.Pools[i].Service, Spare: c.Pools[i].Spare}
		if part, ok := n.shards.Part(p.Pool); ok {
			p.Report = n.peers.newestDemand(p.Pool, n.directory.Shard(part).Demand)
		}
		p.Unreported = p.Report.Epoch == 0
		list = append(list, p)
	}
	return list
}

// reportDemand sends a demand report to the machine controller. Without it the controller would learn of the demand only
// from its record, which is written later.
func (n *Node) reportDemand(service string, p jobs.DemandReport) {
	if part, ok := n.shards.Part(controllerShard); ok {
		go n.peers.reportDemand(n.directory.Shard(part).Claim, service, p)
	}
}

// statusMarginMs is the time by which the status of a finished job is kept longer than the settings require.
const statusMarginMs = 20_000

// serveReady answers the balancer's readiness checks.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyReason returns why the entry is not ready, or "" if it is.
func (n *Node) unreadyReason() string {
	c, age := n.catalog.Catalog()
	switch {
	case n.leaving.Load():
		return "the entry is stopping"
	case c == nil:
		return "no configuration has been read yet"
	case age > maxReadyConfigAgeMs:
		return "the configuration cannot be read at present"
	}
	if n.directory.Position().NextOffset < 0 {
		return "the owners of the shards are not known yet"
	}
	for i := range c.Queues {
		if _, ok := n.shards.Part(c.Queues[i].Service); !ok {
			return "a service has no shard yet"
		}
	}
	return ""
}

// addGauges registers the gauges, whose values are read at each scrape.
func (n *Node) addGauges() {
	n.stats.Gauge("sassafrasvalve_shards_owned", nil, func() float64 { return float64(n.ownedCount.Load()) })
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

// serveMetrics serves the metrics as text if the settings name an address.
func (n *Node) serveMetrics(failed chan<- error) {
	addr, path, _ := strings.Cut(n.cfg.Metrics, "/")
	if addr == "" {
		return
	}
	l, err := new(net.ListenConfig).Listen(n.ctx, "tcp", addr)
	if err != nil {
		n.log.Error("listen for metrics failed", zap.String("addr", addr), zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/"+path, func(w http.ResponseWriter, _ *http.Request) {
		if err := n.stats.WriteText(w); err != nil {
			n.log.Info("write metrics failed", zap.Error(err))
		}
	})
	mux.HandleFunc("/explain/{id}", n.explainJob)
	go n.serve(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, l, failed)
}

// explainJob answers an operator's request with the reason for which a job waits, if this process owns its shard.
func (n *Node) explainJob(w http.ResponseWriter, r *http.Request) {
	for _, part := range n.shards.Parts() {
		if own := n.peers.find(part); own != nil {
			if text := own.Explain(r.PathValue("id")); text != "" {
				_, _ = fmt.Fprintln(w, text) // a write error means that the operator has disconnected
				return
			}
		}
	}
	http.Error(w, "this entry owns no shard that has the job", http.StatusNotFound)
}

var _ jobapi.Catalog = (*catalog)(nil)

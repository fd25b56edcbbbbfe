// Package vmreg implements a registry of the VMs that the platform publishes in its VM topic.
package vmreg

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/io/feed"
	"sassafrasvalve/io/owner"
	"sassafrasvalve/platform"
)

// Timing of the reads of the VM topic. Each VM is reported once per heartbeat, so that one read returns the records
// of several VMs.
const (
	readWait     = 500 * time.Millisecond
	readInterval = 300 * time.Millisecond
)

// Config configures a Registry.
type Config struct {
	Store feed.Reader
	Log   *zap.Logger
}

// Registry reads the list of VMs while it has watchers. It is safe for concurrent use.
type Registry struct {
	cfg Config
	ctx context.Context // of the reads

	mu       sync.Mutex
	vms      map[string]pools.VM
	version  int64 // incremented with each change of the list
	loaded   bool  // the list was read since the first watcher came
	watchers map[chan<- struct{}]bool
	cancel   context.CancelFunc // ends the reads
}

// New returns a registry whose reads end with ctx.
func New(ctx context.Context, cfg Config) *Registry {
	return &Registry{cfg: cfg, ctx: ctx, vms: map[string]pools.VM{}, watchers: map[chan<- struct{}]bool{}}
}

// Watch signals w when the list changes, until the returned function is called. It drops a signal that w has no
// room for.
func (r *Registry) Watch(w chan<- struct{}) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[w] = true
	if len(r.watchers) == 1 {
		r.loaded = false
		var ctx context.Context
		ctx, r.cancel = context.WithCancel(r.ctx)
		f := feed.New(feed.Config{
			Store: r.cfg.Store, Topic: platform.TopicVMs, Wait: readWait, Pause: readInterval, Log: r.cfg.Log, Apply: r.apply,
		})
		go f.Run(ctx)
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, w)
		if len(r.watchers) == 0 {
			r.cancel()
		}
	}
}

// apply folds records of the VM topic and signals the watchers if the list has changed. whole means that records
// replace all earlier ones.
func (r *Registry) apply(records []jobs.Record, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.version
	if whole {
		r.vms = map[string]pools.VM{}
		r.version++
	}
	for _, rec := range records {
		vm, err := platform.DecodeVM(rec)
		if err != nil {
			r.cfg.Log.Warn("invalid record of a VM ignored", zap.String("vm", rec.Key), zap.Error(err))
			continue
		}
		if vm.Removed {
			delete(r.vms, vm.ID)
			r.version++
			continue
		}
		if old, ok := r.vms[vm.ID]; !ok || vmChanged(&old, &vm) {
			r.version++
		}
		r.vms[vm.ID] = vm
	}
	r.loaded = true
	if r.version == before {
		return
	}
	for w := range r.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// vmChanged reports whether two records of a VM differ in more than their age.
func vmChanged(a, b *pools.VM) bool {
	return a.Service != b.Service || a.Addr != b.Addr || a.StartedAtMs != b.StartedAtMs || a.Draining != b.Draining ||
		a.CPU != b.CPU || a.MemMB != b.MemMB || a.GPU != b.GPU || len(a.Labels) != len(b.Labels)
}

// VMs returns the list, in no particular order, and its version: nil and -1 until the list was read.
func (r *Registry) VMs() ([]pools.VM, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return nil, -1
	}
	list := make([]pools.VM, 0, len(r.vms))
	for _, v := range r.vms {
		list = append(list, v)
	}
	return list, r.version
}

// Client returns a client that sends polls and orders to a VM.
func (r *Registry) Client(vm pools.VM) owner.VMClient { return platform.NewVMClient(vm.ID, vm.Addr) }

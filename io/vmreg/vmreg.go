// Package vmreg keeps the list of VMs that the platform publishes, while someone needs it.
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

// Timing of the reads of the list. VMs report every heartbeat, so a read brings a batch of them.
const (
	readWait  = 500 * time.Millisecond
	readPause = 300 * time.Millisecond
)

// Config is what a registry needs.
type Config struct {
	Store feed.Reader
	Log   *zap.Logger
}

// Registry follows the list of VMs while it is watched.
type Registry struct {
	cfg Config
	ctx context.Context

	mu       sync.Mutex
	vms      map[string]pools.VM
	version  int64
	loaded   bool
	watchers map[chan<- struct{}]bool
	cancel   context.CancelFunc
}

// New returns a registry whose reads end with ctx.
func New(ctx context.Context, cfg Config) *Registry {
	return &Registry{cfg: cfg, ctx: ctx, vms: map[string]pools.VM{}, watchers: map[chan<- struct{}]bool{}}
}

// Watch signals w when the list changes, until the returned function is called.
func (r *Registry) Watch(w chan<- struct{}) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[w] = true
	if len(r.watchers) == 1 {
		r.loaded = false
		var ctx context.Context
		ctx, r.cancel = context.WithCancel(r.ctx)
		f := feed.New(feed.Config{
			Store: r.cfg.Store, Topic: platform.TopicVMs, Wait: readWait, Pause: readPause, Log: r.cfg.Log, Apply: r.take,
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

// take folds records of the list.
func (r *Registry) take(records []jobs.Record, whole bool) {
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
			r.cfg.Log.Warn("entry of a VM ignored", zap.String("vm", rec.Key), zap.Error(err))
			continue
		}
		if vm.Removed {
			delete(r.vms, vm.ID)
			r.version++
			continue
		}
		if old, ok := r.vms[vm.ID]; !ok || differs(&old, &vm) {
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

// differs reports whether two entries of a VM differ in more than their age.
func differs(a, b *pools.VM) bool {
	return a.Service != b.Service || a.Addr != b.Addr || a.StartedAtMs != b.StartedAtMs || a.Draining != b.Draining ||
		a.CPU != b.CPU || a.MemMB != b.MemMB || a.GPU != b.GPU || len(a.Labels) != len(b.Labels)
}

// VMs returns the list and its version. The list is empty until it was read.
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

// Client returns a client of a VM.
func (r *Registry) Client(vm pools.VM) owner.VMClient { return platform.NewVMClient(vm.ID, vm.Addr) }

package tail

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/platform"
)

// Intervals between the reads of a directory.
const (
	// directoryInterval is the usual interval. It bounds the delay until a lost owner is noticed.
	directoryInterval = 300 * time.Millisecond
	// lowCPUInterval replaces it on a machine with low CPU, which leaves the detection of lost owners to others.
	lowCPUInterval = 900 * time.Millisecond
	// directoryMaxInterval is the longest interval, reached while the store refuses reads. It is below the 2 s after which an
	// owner counts as silent, so that an owner that renews its claim is not taken for silent: the log may refuse only the
	// reads of single machines, and the interval takes ten reads to recover.
	directoryMaxInterval = 1200 * time.Millisecond
)

// Directory follows the owners' partition, which holds the owner of each shard and the reports of the owners and of the
// machine controller.
type Directory struct {
	*Tail
	fold *jobs.Directory
	log  *zap.Logger

	subMu       sync.Mutex
	subscribers []chan struct{}
}

// NewDirectory returns a directory that has read nothing yet. lowCPU is set on a machine that shall not own shards while
// others can; it reads less often.
func NewDirectory(store Reader, lowCPU bool, log *zap.Logger) *Directory {
	d := &Directory{fold: jobs.NewDirectory(), log: log}
	interval := directoryInterval
	if lowCPU {
		interval = lowCPUInterval
	}
	d.Tail = newTail(Config{
		Store: store, Topic: platform.TopicOwners, Interval: interval, MaxInterval: directoryMaxInterval, Log: log,
	}, d.foldRecords, d.notifySubscribers)
	return d
}

// foldRecords applies records and logs those that cannot be applied.
func (d *Directory) foldRecords(records []jobs.Record) {
	for _, rec := range records {
		if err := d.fold.Apply(rec); err != nil {
			d.log.Warn("record skipped", zap.String("topic", platform.TopicOwners), zap.Error(err))
		}
	}
}

// ReadDone returns a new channel that is signalled after each read, also after a failed one.
func (d *Directory) ReadDone() <-chan struct{} {
	c := make(chan struct{}, 1)
	d.subMu.Lock()
	defer d.subMu.Unlock()
	d.subscribers = append(d.subscribers, c)
	return c
}

func (d *Directory) notifySubscribers() {
	d.subMu.Lock()
	defer d.subMu.Unlock()
	for _, c := range d.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Shard returns the recorded state of a shard, and a zero Shard if nothing is recorded.
func (d *Directory) Shard(part int) jobs.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.fold.Shards[part]; s != nil {
		return *s
	}
	return jobs.Shard{}
}

// Claims returns the newest claim of each shard that has or had an owner.
func (d *Directory) Claims() map[int]jobs.Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	claims := make(map[int]jobs.Claim, len(d.fold.Shards))
	for part, s := range d.fold.Shards {
		if s.Claim.Epoch > 0 {
			claims[part] = s.Claim
		}
	}
	return claims
}

// JoinMs returns the time in milliseconds that a move of a machine takes, as the machine controller measured it, or 0 if
// it is unknown.
func (d *Directory) JoinMs() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.Vacate.JoinMs
}

// Machines returns the number of machines of all pools, 0 if the machine controller has not recorded it.
func (d *Directory) Machines() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.Vacate.Machines
}

// VMLimit returns the largest number of VMs that the pool of a service should keep, or 0 if there is no limit.
func (d *Directory) VMLimit(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.Vacate.Limit(service)
}

// VMsToVacate returns the VMs that the machine controller wants their owners to vacate.
func (d *Directory) VMsToVacate() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.Vacate.VMs
}

// RouteShards returns the shards in which jobs of a route may be stored.
func (d *Directory) RouteShards(route string) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.RouteShards(route)
}

// HasName reports whether it is recorded that jobs of the queue with a name may be stored in a shard.
func (d *Directory) HasName(name string, shard int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.HasName(name, shard)
}

// QueueShards returns the shards in which jobs of a queue may be stored, and the local time in ms up to which the list is complete. That
// time is 0 before the partition was read.
func (d *Directory) QueueShards(q jobs.QueueID) (shards []int, asOfMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.QueueShards(q), d.readAtMs
}

// Upkeeps returns the recorded upkeeps; the value is true for those that are done.
func (d *Directory) Upkeeps() map[jobs.Upkeep]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	upkeeps := make(map[jobs.Upkeep]bool, len(d.fold.Upkeeps))
	for u, done := range d.fold.Upkeeps {
		upkeeps[u] = done
	}
	return upkeeps
}

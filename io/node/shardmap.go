package node

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/feed"
	"sassafrasvalve/io/wire"
	"sassafrasvalve/platform"
)

// Intervals and timeouts of the shard map.
const (
	// shardMapInterval is the pause between two reads of the map, which changes only when services are added.
	shardMapInterval = 2 * time.Second
	// missingShardInterval replaces shardMapInterval while a service has no shard.
	missingShardInterval = 20 * time.Millisecond
	// shardMapRetryInterval replaces shardMapInterval after a failed read and before the first configuration.
	shardMapRetryInterval = 200 * time.Millisecond
	// shardMapMaxInterval bounds the pause, which grows with refused reads.
	shardMapMaxInterval = 4 * time.Second
	// shardMapAppendTimeout bounds an append to the map.
	shardMapAppendTimeout = 700 * time.Millisecond
)

// controllerShard is the name under which the map holds the machine controller's shard. No service has that name.
const controllerShard = "#machines"

// shardMap maps each service to its shard, which is the number of a partition. The shard of a service never changes. The
// map is stored in the log and shared by all entries.
type shardMap struct {
	cfg   shardMapConfig
	feed  *feed.Feed
	mu    sync.Mutex     // guards parts
	parts map[string]int // shard by service
}

// shardMapConfig holds the settings and dependencies of a shardMap.
type shardMapConfig struct {
	Store *platform.Store
	Parts int // number of partitions
	Log   *zap.Logger
	// Open is called once for each shard that is found, so that the process takes part in its election.
	Open func(service string, part int)
}

func newShardMap(cfg shardMapConfig) *shardMap {
	m := &shardMap{cfg: cfg, parts: map[string]int{}}
	m.feed = feed.New(feed.Config{Store: cfg.Store, Topic: platform.TopicShards, Log: cfg.Log, Apply: m.apply})
	return m
}

// apply adds records of the shard map. The first record of a service counts.
func (m *shardMap) apply(records []jobs.Record, _ bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		part, err := strconv.Atoi(string(r.Value))
		if err != nil || r.Key == "" {
			m.cfg.Log.Warn("malformed record of the shard map ignored", zap.String("service", r.Key), zap.Error(err))
			continue
		}
		if _, known := m.parts[r.Key]; known {
			continue
		}
		m.parts[r.Key] = part
		m.cfg.Log.Info("shard found", zap.String("service", r.Key), zap.Int("shard", part))
		m.cfg.Open(r.Key, part)
	}
}

// Part returns the shard of a service, and false if it has none yet.
func (m *shardMap) Part(service string) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	part, ok := m.parts[service]
	return part, ok
}

// Parts returns the shards of all services in ascending order, without the machine controller's.
func (m *shardMap) Parts() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]int, 0, len(m.parts))
	for service, part := range m.parts {
		if service != controllerShard {
			list = append(list, part)
		}
	}
	sort.Ints(list)
	return list
}

// loop reads the map until ctx ends, and adds each service that has no shard with the lowest free partition.
func (m *shardMap) loop(ctx context.Context, catalog func() *jobs.Catalog) {
	pacer := wire.ReadPacer{Interval: shardMapInterval, RetryInterval: shardMapRetryInterval, MaxInterval: shardMapMaxInterval}
	for ctx.Err() == nil {
		err := m.feed.ReadOnce(0)
		pause := pacer.Next(err != nil, platform.IsRateLimited(err))
		if err != nil {
			wire.Sleep(ctx, pause)
			continue
		}
		if service := m.missing(catalog()); service != "" {
			m.add(service)
			pause = missingShardInterval
		} else if catalog() == nil {
			pause = shardMapRetryInterval
		}
		wire.Sleep(ctx, pause)
	}
}

// missing returns the first service that has no shard yet, or "" if the map is complete or there is no configuration. The
// machine controller's shard comes first, then the services in the order of their names. A spare pool needs no shard.
func (m *shardMap) missing(c *jobs.Catalog) string {
	if c == nil {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	if _, known := m.parts[controllerShard]; !known {
		return controllerShard
	}
	for i := range c.Pools {
		if _, known := m.parts[c.Pools[i].Service]; !known && !c.Pools[i].Spare {
			names = append(names, c.Pools[i].Service)
		}
	}
	if len(names) == 0 {
		return ""
	}
	sort.Strings(names)
	return names[0]
}

// add appends a record for a service directly after all records that this process has read, so that only one process
// succeeds.
func (m *shardMap) add(service string) {
	part := m.lowestFree()
	if part < 0 {
		m.cfg.Log.Error("no free partition for service", zap.String("service", service), zap.Int("partitions", m.cfg.Parts))
		return
	}
	res, err := m.cfg.Store.Append(platform.AppendRequest{
		Topic: platform.TopicShards, At: m.feed.NextOffset(), Deadline: time.Now().Add(shardMapAppendTimeout),
		Records: []jobs.Record{{Key: service, Value: []byte(strconv.Itoa(part))}},
	})
	if err != nil {
		m.cfg.Log.Warn("append to the shard map failed", zap.String("service", service), zap.Error(err))
		return
	}
	m.cfg.Log.Info("shard assigned to service", zap.String("service", service), zap.Int("shard", part),
		zap.Bool("stored", res.Outcome == platform.Appended))
}

// lowestFree returns the lowest partition that no service has, or -1 if there is none.
func (m *shardMap) lowestFree() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := map[int]bool{}
	for _, p := range m.parts {
		taken[p] = true
	}
	for p := range m.cfg.Parts {
		if !taken[p] {
			return p
		}
	}
	return -1
}

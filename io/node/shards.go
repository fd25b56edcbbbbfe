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

// Timing of the shards' directory.
const (
	// directoryPause is the pause between two reads of the directory, which changes with new services only.
	directoryPause = 2 * time.Second
	// directoryRetry replaces it while a service has no shard.
	directoryRetry = 20 * time.Millisecond
	// directoryAgain replaces it after a failed read, and while there is no configuration to compare with.
	directoryAgain = 200 * time.Millisecond
	// directorySlowest is the pause that refused reads lead to.
	directorySlowest = 4 * time.Second
	// directoryTimeout bounds an append to the directory.
	directoryTimeout = 700 * time.Millisecond
)

// keeperShard names the shard of the machine controller in the directory. No service has such a name.
const keeperShard = "#machines"

// shards is the directory of which service has which partition. An entry of it never changes.
type shards struct {
	cfg   shardsConfig
	feed  *feed.Feed
	mu    sync.Mutex
	parts map[string]int
}

// shardsConfig is what the directory needs.
type shardsConfig struct {
	Store *platform.Store
	Parts int
	Log   *zap.Logger
	// Open has the process take part in the ownership of a shard.
	Open func(service string, part int)
}

func newShards(cfg shardsConfig) *shards {
	s := &shards{cfg: cfg, parts: map[string]int{}}
	s.feed = feed.New(feed.Config{Store: cfg.Store, Topic: platform.TopicShards, Log: cfg.Log, Apply: s.take})
	return s
}

func (s *shards) take(records []jobs.Record, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		part, err := strconv.Atoi(string(r.Value))
		if err != nil || r.Key == "" {
			s.cfg.Log.Warn("entry of the shards' directory ignored", zap.String("service", r.Key), zap.Error(err))
			continue
		}
		if _, known := s.parts[r.Key]; known {
			continue
		}
		s.parts[r.Key] = part
		s.cfg.Log.Info("shard found", zap.String("service", r.Key), zap.Int("shard", part))
		s.cfg.Open(r.Key, part)
	}
}

// Part returns the shard of a service, and false if it has none yet.
func (s *shards) Part(service string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, ok := s.parts[service]
	return part, ok
}

// Parts returns all shards of services.
func (s *shards) Parts() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]int, 0, len(s.parts))
	for service, part := range s.parts {
		if service != keeperShard {
			list = append(list, part)
		}
	}
	sort.Ints(list)
	return list
}

// loop keeps the directory complete: each service gets the lowest free partition.
func (s *shards) loop(ctx context.Context, catalog func() *jobs.Catalog) {
	pace := wire.ReadPacer{Interval: directoryPause, RetryInterval: directoryAgain, MaxInterval: directorySlowest}
	for ctx.Err() == nil {
		err := s.feed.ReadOnce(0)
		pause := pace.Next(err != nil, platform.IsRateLimited(err))
		if err != nil {
			wire.Sleep(ctx, pause)
			continue
		}
		if service := s.missing(catalog()); service != "" {
			s.add(service)
			pause = directoryRetry
		} else if catalog() == nil {
			pause = directoryAgain
		}
		wire.Sleep(ctx, pause)
	}
}

// missing returns a service without a shard, empty if there is none.
func (s *shards) missing(c *jobs.Catalog) string {
	if c == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	if _, known := s.parts[keeperShard]; !known {
		return keeperShard
	}
	for i := range c.Pools {
		if _, known := s.parts[c.Pools[i].Service]; !known && !c.Pools[i].Spare {
			names = append(names, c.Pools[i].Service)
		}
	}
	if len(names) == 0 {
		return ""
	}
	sort.Strings(names)
	return names[0]
}

// add writes an entry behind all that this process has read, so that one process alone succeeds.
func (s *shards) add(service string) {
	part := s.lowestFree()
	if part < 0 {
		s.cfg.Log.Error("no partition is left for a service", zap.String("service", service), zap.Int("partitions", s.cfg.Parts))
		return
	}
	res, err := s.cfg.Store.Append(platform.Append{
		Topic: platform.TopicShards, At: s.feed.NextOffset(), Deadline: time.Now().Add(directoryTimeout),
		Records: []jobs.Record{{Key: service, Value: []byte(strconv.Itoa(part))}},
	})
	if err != nil {
		s.cfg.Log.Warn("entry of the shards' directory not confirmed", zap.String("service", service), zap.Error(err))
		return
	}
	s.cfg.Log.Info("shard given to a service", zap.String("service", service), zap.Int("shard", part),
		zap.Bool("stored", res.Outcome == platform.Appended))
}

func (s *shards) lowestFree() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := map[int]bool{}
	for _, p := range s.parts {
		taken[p] = true
	}
	for p := range s.cfg.Parts {
		if !taken[p] {
			return p
		}
	}
	return -1
}

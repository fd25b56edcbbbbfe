package node

import (
	"sync/atomic"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/io/feed"
	"sassafrasvalve/io/stats"
	"sassafrasvalve/platform"
)

// catalog holds the operator's newest configuration.
type catalog struct {
	log     *zap.Logger
	stats   *stats.Stats
	waves   *waves
	feed    *feed.Feed
	current atomic.Pointer[jobs.Catalog]
}

// apply applies records of the operator's topic: configurations, and waves, which it passes on. A configuration whose
// version is not higher than the current one is ignored.
func (c *catalog) apply(records []jobs.Record, _ bool) {
	for _, r := range records {
		next, err := platform.DecodeCatalog(r)
		if err != nil {
			c.log.Warn("invalid configuration ignored", zap.Error(err))
			c.stats.Count("sassafrasvalve_configs_rejected_total", nil, 1)
			continue
		}
		if next == nil {
			c.waves.apply(r)
			continue
		}
		if old := c.current.Load(); old != nil && next.Version <= old.Version {
			continue
		}
		c.current.Store(next)
		c.log.Info("configuration in force", zap.Int64("version", next.Version), zap.Int("queues", len(next.Queues)),
			zap.Int("accounts", next.Accounts.Len()))
	}
}

// Catalog returns the configuration, nil before the first, and its age in ms.
func (c *catalog) Catalog() (*jobs.Catalog, int64) {
	return c.current.Load(), clock.BootMs() - c.feed.ReadAtMs()
}

// Current returns the configuration, nil before the first.
func (c *catalog) Current() *jobs.Catalog { return c.current.Load() }

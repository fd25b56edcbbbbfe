package tally

import (
	"maps"

	"sassafrasvalve/core/jobs"
)

// Recent holds the newest counts of each queue. It is not safe for concurrent use.
type Recent struct {
	counts map[jobs.QueueID]map[int]Count
}

// NewRecent returns a Recent without counts.
func NewRecent() *Recent { return &Recent{counts: map[jobs.QueueID]map[int]Count{}} }

// Counts returns a copy of the counts of a queue by shard.
func (r *Recent) Counts(q jobs.QueueID) map[int]Count {
	counts := make(map[int]Count, len(r.counts[q]))
	maps.Copy(counts, r.counts[q])
	return counts
}

// Add adds counts of a queue by shard, and drops the expired counts of all queues, so that a queue that is no longer asked for takes no
// memory.
func (r *Recent) Add(q jobs.QueueID, counts map[int]Count, now int64) {
	kept := r.counts[q]
	if kept == nil {
		kept = map[int]Count{}
		r.counts[q] = kept
	}
	for shard, c := range counts {
		addNewer(kept, shard, c)
	}
	for id, counts := range r.counts {
		maps.DeleteFunc(counts, func(_ int, c Count) bool { return c.expired(now) })
		if len(counts) == 0 {
			delete(r.counts, id)
		}
	}
}

// Package tally sums the length of a queue over the shards in which its jobs may be stored. A shard that could not be asked is not
// taken for an empty one.
package tally

import (
	"maps"
	"slices"
)

// MaxAgeMs is the age in ms up to which counts and lists of shards are used. The platform lets the length of a queue be 2 s old.
const MaxAgeMs = 2000

// Count is the number of a queue's waiting jobs in one shard.
type Count struct {
	N int
	// AsOfMs is the local time in ms up to which accepted jobs are counted.
	AsOfMs int64
}

// expired reports whether the count is too old to be used.
func (c Count) expired(now int64) bool { return now-c.AsOfMs > MaxAgeMs }

// Sum adds up the counts of one queue. It is not safe for concurrent use.
type Sum struct {
	shards map[int]bool // in which jobs of the queue may be stored
	asOfMs int64        // local ms up to which shards is complete
	asked  map[int]bool // returned by Unasked
	counts map[int]Count
}

// NewSum returns a sum that knows no shards yet. recent holds earlier counts of the same queue by shard; the sum changes it.
func NewSum(recent map[int]Count) *Sum {
	return &Sum{shards: map[int]bool{}, asked: map[int]bool{}, counts: recent}
}

// AddShards adds shards in which jobs of the queue may be stored. asOfMs is the local time up to which the list is complete.
func (s *Sum) AddShards(list []int, asOfMs int64) {
	for _, shard := range list {
		s.shards[shard] = true
	}
	s.asOfMs = max(s.asOfMs, asOfMs)
}

// AddCount adds the count of a shard, unless a newer one is known.
func (s *Sum) AddCount(shard int, c Count) {
	addNewer(s.counts, shard, c)
}

// addNewer adds the count of a shard, unless counts has a newer one.
func addNewer(counts map[int]Count, shard int, c Count) {
	if last, known := counts[shard]; !known || c.AsOfMs >= last.AsOfMs {
		counts[shard] = c
	}
}

// Counts returns the counts by shard. The caller must not change them.
func (s *Sum) Counts() map[int]Count { return s.counts }

// Outdated reports whether a shard may have been added since the newest list.
func (s *Sum) Outdated(now int64) bool { return now-s.asOfMs > MaxAgeMs }

// Unasked returns the shards of the queue, and the given ones, that it has not returned before, in ascending order.
func (s *Sum) Unasked(others ...int) []int {
	list := slices.AppendSeq(others, maps.Keys(s.shards))
	list = slices.DeleteFunc(list, func(shard int) bool { return s.asked[shard] })
	slices.Sort(list)
	list = slices.Compact(list)
	for _, shard := range list {
		s.asked[shard] = true
	}
	return list
}

// Length is the length of a queue.
type Length struct {
	N       int
	AsOfMs  int64 // local ms up to which accepted jobs are counted
	Missing []int // shards without a count, in ascending order; N leaves them out
	// Outdated is set if the queue may have jobs in shards that are not known, so that N may leave them out.
	Outdated bool
}

// Complete reports whether N leaves nothing out.
func (l *Length) Complete() bool { return !l.Outdated && len(l.Missing) == 0 }

// Length returns the sum of the counts that are not expired.
func (s *Sum) Length(now int64) Length {
	l := Length{AsOfMs: s.asOfMs, Outdated: s.Outdated(now)}
	for shard := range s.shards {
		c, known := s.counts[shard]
		if !known || c.expired(now) {
			l.Missing = append(l.Missing, shard)
			continue
		}
		l.N += c.N
		l.AsOfMs = min(l.AsOfMs, c.AsOfMs)
	}
	slices.Sort(l.Missing)
	return l
}

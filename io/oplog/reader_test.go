package oplog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
)

// Guards against a recovery that is noticed later than within a second, for each kind of outage.
func TestReaderNoticesRecovery(t *testing.T) {
	for _, outage := range []string{cloud.OutageRefuse, cloud.OutageReset, cloud.OutageHang, cloud.OutageDrop} {
		t.Run(outage, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, cloud.Config{}, 0)
			b.put(t, 3)
			b.folder.await(t, "first records", func() bool { return b.folder.next == 3 })
			b.cloud.Inject(cloud.Fault{Outage: outage})
			time.Sleep(2500 * time.Millisecond)
			b.folder.mu.Lock()
			failed, batches := b.folder.failed, len(b.folder.batches)
			b.folder.mu.Unlock()
			assert.Assert(t, failed > 0, "the sink was not told of the outage")
			cleared := time.Now()
			b.cloud.Inject(cloud.Fault{Clear: true})
			b.folder.await(t, "fresh read", func() bool {
				last := b.folder.batches[len(b.folder.batches)-1]
				return len(b.folder.batches) > batches && last.Fresh() && last.Began.After(cleared.Add(-time.Second))
			})
			took := time.Since(cleared)
			t.Logf("%s: recovery noticed after %v, %d failures reported", outage, took, failed)
			assert.Assert(t, took < time.Second)
		})
	}
}

// Guards against an idle log that lets view leases lapse.
func TestReaderReportsFreshnessOfIdleLog(t *testing.T) {
	b := newBench(t, cloud.Config{}, 0)
	time.Sleep(1300 * time.Millisecond)
	c := b.client.Counters()
	t.Logf("%d reads of an idle log: %d bytes sent and %d received each", c.Reads, c.SentBytes/c.Reads, c.ReceivedBytes/(c.Reads-1))
	b.folder.mu.Lock()
	defer b.folder.mu.Unlock()
	assert.Assert(t, len(b.folder.batches) >= 2, "%d batches", len(b.folder.batches))
	for _, batch := range b.folder.batches {
		assert.Assert(t, batch.Fresh() && len(batch.Records) == 0)
	}
}

// Guards against a batch that does not reach the end of the log being taken for a fresh view.
func TestReaderIsNotFreshBeforeTheEnd(t *testing.T) {
	assert.Assert(t, !Batch{Next: 4, End: 5}.Fresh())
	assert.Assert(t, Batch{Next: 5, End: 5}.Fresh())
}

// Guards against silently skipping the offsets that have left the log.
func TestReaderReportsExpiry(t *testing.T) {
	b := newBench(t, cloud.Config{Retain: 10}, 0)
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, Outage: cloud.OutageRefuse})
	b.put(t, 25)
	b.cloud.Inject(cloud.Fault{Clear: true})
	b.folder.await(t, "record 24", func() bool { return b.folder.next == 25 })
	b.folder.mu.Lock()
	defer b.folder.mu.Unlock()
	assert.DeepEqual(t, b.folder.expired, []Span{{15, 25}})
}

// Guards against records that were taken from a peer being handed over again.
func TestReaderAdvance(t *testing.T) {
	b := newBench(t, cloud.Config{}, 0)
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, Outage: cloud.OutageHang})
	b.put(t, 5)
	b.folder.mu.Lock()
	b.folder.next = 3
	b.folder.mu.Unlock()
	b.reader.Advance(3)
	b.reader.Advance(2)
	b.cloud.Inject(cloud.Fault{Clear: true})
	b.folder.await(t, "record 4", func() bool { return b.folder.next == 5 })
	assert.Equal(t, b.reader.Next(), int64(5))
}

// Guards against a platform that needs seconds for each response stopping the reader.
func TestReaderFollowsSlowPlatform(t *testing.T) {
	b := newBench(t, cloud.Config{}, 0)
	b.put(t, 2)
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, DelayMS: 2500})
	time.Sleep(defaultReadWait + 100*time.Millisecond) // until the read that began before the fault has ended
	began := time.Now()
	b.put(t, 1)
	b.folder.await(t, "record 2", func() bool { return b.folder.next == 3 })
	assert.Assert(t, time.Since(began) > time.Second, "the platform was not slow")
}

// Guards against one client's cut from the platform stopping another.
func TestReaderCutOfOneClient(t *testing.T) {
	b := newBench(t, cloud.Config{}, 0)
	b.cloud.Inject(cloud.Fault{Clients: []string{"b"}, Outage: cloud.OutageRefuse})
	b.put(t, 1)
	b.folder.await(t, "record 0", func() bool { return b.folder.next == 1 })
}

// Guards against a read response above the size limit, which would be asked for again without end.
func TestReaderShrinksLargeReads(t *testing.T) {
	b := newBench(t, cloud.Config{AppendRate: 10_000}, 2000) // bytes, about 50 records
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, Outage: cloud.OutageRefuse})
	b.put(t, 200)
	b.cloud.Inject(cloud.Fault{Clear: true})
	b.folder.await(t, "record 199", func() bool { return b.folder.next == 200 })
}

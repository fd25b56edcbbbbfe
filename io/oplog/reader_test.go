package oplog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
)

// Guards against noticing the end of an outage after more than a second, for each kind of outage.
func TestReaderNoticesRecovery(t *testing.T) {
	for _, outage := range []string{cloud.OutageRefuse, cloud.OutageReset, cloud.OutageHang, cloud.OutageDrop} {
		t.Run(outage, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, cloud.Config{}, 0)
			b.appendRaw(t, 3)
			b.sink.await(t, "first records", func() bool { return b.sink.next == 3 })
			b.cloud.Inject(cloud.Fault{Outage: outage})
			time.Sleep(2500 * time.Millisecond)
			b.sink.mu.Lock()
			failed, batches := b.sink.failed, len(b.sink.batches)
			b.sink.mu.Unlock()
			assert.Assert(t, failed > 0, "no failure was reported to the sink during the outage")
			cleared := time.Now()
			b.cloud.Inject(cloud.Fault{Clear: true})
			b.sink.await(t, "fresh read", func() bool {
				last := b.sink.batches[len(b.sink.batches)-1]
				return len(b.sink.batches) > batches && last.Fresh() && last.SentAt.After(cleared.Add(-time.Second))
			})
			took := time.Since(cleared)
			t.Logf("%s: recovery noticed after %v, %d failures reported", outage, took, failed)
			assert.Assert(t, took < time.Second)
		})
	}
}

// Guards against view leases that expire while the log is idle, because reads without records report no batch.
func TestReaderReportsFreshnessOfIdleLog(t *testing.T) {
	b := newFixture(t, cloud.Config{}, 0)
	time.Sleep(1300 * time.Millisecond)
	c := b.client.Counters()
	t.Logf("%d reads of an idle log: %d bytes sent and %d received each", c.Reads, c.SentBytes/c.Reads, c.ReceivedBytes/(c.Reads-1))
	b.sink.mu.Lock()
	defer b.sink.mu.Unlock()
	assert.Assert(t, len(b.sink.batches) >= 2, "%d batches", len(b.sink.batches))
	for _, batch := range b.sink.batches {
		assert.Assert(t, batch.Fresh() && len(batch.Records) == 0)
	}
}

// Guards against treating a batch that does not reach the end of the log as a fresh view.
func TestReaderIsNotFreshBeforeTheEnd(t *testing.T) {
	assert.Assert(t, !Batch{Next: 4, End: 5}.Fresh())
	assert.Assert(t, Batch{Next: 5, End: 5}.Fresh())
}

// Guards against silently skipping offsets that are no longer in the log.
func TestReaderReportsExpiry(t *testing.T) {
	b := newFixture(t, cloud.Config{Retain: 10}, 0)
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, Outage: cloud.OutageRefuse})
	b.appendRaw(t, 25)
	b.cloud.Inject(cloud.Fault{Clear: true})
	b.sink.await(t, "record 24", func() bool { return b.sink.next == 25 })
	b.sink.mu.Lock()
	defer b.sink.mu.Unlock()
	assert.DeepEqual(t, b.sink.expired, []Span{{15, 25}})
}

// Guards against delivering records again that came from a peer.
func TestReaderSkipsRecordsTakenFromPeer(t *testing.T) {
	b := newFixture(t, cloud.Config{}, 0)
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, Outage: cloud.OutageHang})
	b.appendRaw(t, 5)
	b.sink.mu.Lock()
	b.sink.next = 3
	b.sink.mu.Unlock()
	b.reader.Advance(3)
	b.reader.Advance(2)
	b.cloud.Inject(cloud.Fault{Clear: true})
	b.sink.await(t, "record 4", func() bool { return b.sink.next == 5 })
	assert.Equal(t, b.reader.Next(), int64(5))
}

// Guards against a reader that makes no progress while the platform needs seconds for each response.
func TestReaderFollowsSlowPlatform(t *testing.T) {
	b := newFixture(t, cloud.Config{}, 0)
	b.appendRaw(t, 2)
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, DelayMS: 2500})
	time.Sleep(defaultReadWait + 100*time.Millisecond) // until the read that began before the fault has ended
	began := time.Now()
	b.appendRaw(t, 1)
	b.sink.await(t, "record 2", func() bool { return b.sink.next == 3 })
	assert.Assert(t, time.Since(began) > time.Second, "the platform was not slow")
}

// Guards against a reader that stops because another client is disconnected from the platform.
func TestReaderUnaffectedByCutOfOtherClient(t *testing.T) {
	b := newFixture(t, cloud.Config{}, 0)
	b.cloud.Inject(cloud.Fault{Clients: []string{"b"}, Outage: cloud.OutageRefuse})
	b.appendRaw(t, 1)
	b.sink.await(t, "record 0", func() bool { return b.sink.next == 1 })
}

// Guards against requesting a read response above the size limit again and again.
func TestReaderShrinksLargeReads(t *testing.T) {
	b := newFixture(t, cloud.Config{AppendRate: 10_000}, 2000) // bytes, about 50 records
	b.cloud.Inject(cloud.Fault{On: []string{cloud.ScopeRead}, Outage: cloud.OutageRefuse})
	b.appendRaw(t, 200)
	b.cloud.Inject(cloud.Fault{Clear: true})
	b.sink.await(t, "record 199", func() bool { return b.sink.next == 200 })
}

package oplog

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/fake/cloud"
)

// testSink is a sink with a fold that accepts the first record of an ID, unless the ID begins with "reject".
type testSink struct {
	mu      sync.Mutex
	writer  *Writer
	delay   time.Duration // of each batch with records
	next    int64
	gaps    []int64        // offsets that did not follow the previous one
	effects map[string]int // accepted records by ID
	seen    map[string]int // records by ID
	batches []Batch
	expired []Span
	failed  int           // failed reads
	changed chan struct{} // signalled after each batch
}

func newTestSink() *testSink {
	return &testSink{effects: map[string]int{}, seen: map[string]int{}, changed: make(chan struct{}, 1)}
}

func (f *testSink) Batch(ctx context.Context, b Batch) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if len(b.Records) > 0 && delay > 0 {
		time.Sleep(delay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batches = append(f.batches, b)
	for _, e := range b.Records {
		if e.Offset != f.next {
			f.gaps = append(f.gaps, e.Offset)
		}
		f.next = e.Offset + 1
		f.fold(e)
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *testSink) fold(e Entry) {
	rec, err := fleet.Decode(e.Data)
	if err != nil {
		return
	}
	f.seen[rec.ID]++
	if f.seen[rec.ID] > 1 {
		return
	}
	accepted := !strings.HasPrefix(rec.ID, "reject")
	if accepted {
		f.effects[rec.ID]++
	}
	if f.writer != nil {
		f.writer.Observe(rec.ID, e.Offset, accepted, "by name")
	}
}

func (f *testSink) Expired(_ context.Context, first, next int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expired = append(f.expired, Span{first, next})
	f.next = first
	return first, nil
}

func (f *testSink) Failed(error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed++
}

// await waits until cond holds. It calls cond with mu held.
func (f *testSink) await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		f.mu.Lock()
		ok := cond()
		f.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-f.changed:
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatalf("no %s within 10 s", what)
		}
	}
}

// fixture has a fake platform with a client, a reader and a writer.
type fixture struct {
	cloud  *cloud.Server
	client *Client
	reader *Reader
	sink   *testSink
	writer *Writer
}

func newFixture(t testing.TB, cfg cloud.Config, maxResponse int64) *fixture {
	t.Helper()
	b := &fixture{cloud: cloud.New(cfg), sink: newTestSink()}
	srv := httptest.NewServer(b.cloud.Handler())
	b.client = NewClient(Config{Base: srv.URL, ClientID: "a", MaxResponse: maxResponse})
	b.writer = NewWriter(WriterConfig{Client: b.client, Writer: "a#1"})
	b.sink.writer = b.writer
	b.reader = NewReader(ReaderConfig{Client: b.client, Sink: b.sink})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { b.reader.Run(ctx) })
	wg.Go(func() { b.writer.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		b.client.http.CloseIdleConnections()
		srv.Close()
		assert.Equal(t, len(b.sink.gaps), 0, "offsets skipped or repeated: %v", b.sink.gaps)
	})
	return b
}

// appendRaw appends n records without the writer.
func (b *fixture) appendRaw(t *testing.T, n int) {
	t.Helper()
	for range n {
		_, err := b.client.Append(context.Background(), [][]byte{[]byte("{}")})
		assert.NilError(t, err)
	}
}

package oplog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/fake/cloud"
)

// Guards against wrong outcomes and repeated effects of appends under faults. It runs the scripts in testdata/writer; the
// first line of each states the failure that it guards against.
func TestWriterScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/writer/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := &script{fixture: newFixture(t, cloud.Config{Seed: 1}, 0), timeout: 5 * time.Second}
			for line := range strings.Lines(string(data)) {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					s.run(t, line)
				}
			}
		})
	}
}

// script runs the lines of one script. The timeout applies to each append.
type script struct {
	*fixture
	timeout time.Duration
}

func (s *script) run(t *testing.T, line string) {
	t.Helper()
	verb, rest, _ := strings.Cut(line, " ")
	args := strings.Fields(rest)
	switch verb {
	case "fault":
		var f cloud.Fault
		assert.NilError(t, json.Unmarshal([]byte(rest), &f))
		s.cloud.Inject(f)
	case "timeout", "folddelay":
		d, err := time.ParseDuration(rest)
		assert.NilError(t, err)
		if verb == "timeout" {
			s.timeout = d
			return
		}
		s.sink.mu.Lock()
		s.sink.delay = d
		s.sink.mu.Unlock()
	case "append":
		s.append(t, args[:len(args)-1], Verdict(args[len(args)-1]), "")
	case "give-up":
		s.giveUp(t, args[0], Verdict(args[1]))
	case "large":
		s.writer.cfg.MaxRecord = 1 << 20
		s.append(t, args[:1], Verdict(args[1]), strings.Repeat("x", 300<<10))
	case "copies", "effects":
		s.count(t, verb, args)
	default:
		t.Fatalf("unknown verb in %q", line)
	}
}

func (s *script) append(t *testing.T, ids []string, want Verdict, reason string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			out, err := s.writer.Append(ctx, fleet.Record{ID: id, Reason: reason})
			assert.Check(t, out.Verdict == want, "%s: %s (%v), want %s", id, out.Verdict, err, want)
			assert.Check(t, errors.Is(err, ErrNotAppended) == (want == NotAppended), "%s: %v", id, err)
			assert.Check(t, errors.Is(err, ErrUnknown) == (want == Unknown), "%s: %v", id, err)
		})
	}
	wg.Wait()
}

// giveUp appends a record and abandons it after a refused append, while no other append of it is in progress: at that moment
// the writer knows that the record is not in the log. With a mere time limit, an append could be in progress by chance.
func (s *script) giveUp(t *testing.T, id string, want Verdict) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		out, err := s.writer.Append(ctx, fleet.Record{ID: id})
		assert.Check(t, out.Verdict == want, "%s: %s (%v), want %s", id, out.Verdict, err, want)
		assert.Check(t, errors.Is(err, ErrNotAppended) == (want == NotAppended), "%s: %v", id, err)
	})
	for abandoned := false; !abandoned && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		s.writer.mu.Lock()
		if it := s.writer.items[id]; it != nil && it.tries > 0 && !it.sending {
			s.writer.finishUnresolved(it, context.DeadlineExceeded)
			abandoned = true
		}
		s.writer.mu.Unlock()
	}
	wg.Wait()
	assert.NilError(t, ctx.Err(), "no append of %s was refused", id)
}

// count checks the number of copies of a record in the log, or of its effects in the fold.
func (s *script) count(t *testing.T, verb string, args []string) {
	t.Helper()
	low, err := strconv.Atoi(args[1])
	assert.NilError(t, err)
	if verb == "effects" {
		s.sink.mu.Lock()
		defer s.sink.mu.Unlock()
		assert.Equal(t, s.sink.effects[args[0]], low)
		return
	}
	high, err := strconv.Atoi(args[2])
	assert.NilError(t, err)
	n := 0
	for _, e := range s.cloud.State().Records {
		if bytes.Contains(e.Data, []byte(`"ID":"`+args[0]+`"`)) {
			n++
		}
	}
	assert.Assert(t, low <= n && n <= high, "%d copies of %s in the log, want %d to %d", n, args[0], low, high)
}

// Guards against one append per record, which would exceed the append rate of the platform.
func TestWriterGroupsRecords(t *testing.T) {
	b := newFixture(t, cloud.Config{}, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 20 {
				out, err := b.writer.Append(ctx, fleet.Record{Kind: fleet.KindAck})
				assert.Check(t, err == nil && out.Verdict == Accepted, "%s %v", out.Verdict, err)
			}
		})
	}
	began := time.Now()
	wg.Wait()
	c := b.client.Counters()
	t.Logf("1000 records in %v with %d appends, %d bytes sent", time.Since(began), c.Appends, c.SentBytes)
	assert.Assert(t, c.Appends <= 100, "%d appends", c.Appends)
}

// Guards against a queue that grows without bound during a long outage.
func TestWriterQueueIsBounded(t *testing.T) {
	w := NewWriter(WriterConfig{Client: NewClient(Config{}), Queue: 2})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _ = w.Append(ctx, fleet.Record{}) })
	}
	for w.Counters().Pending < 2 {
		time.Sleep(time.Millisecond)
	}
	out, err := w.Append(ctx, fleet.Record{})
	assert.Assert(t, errors.Is(err, ErrQueueFull) && errors.Is(err, ErrNotAppended))
	assert.Equal(t, out.Verdict, NotAppended)
	cancel()
	wg.Wait()
	assert.Equal(t, w.Counters().Pending, 0)
}

// Guards against appending an ID again after the fold has forgotten it, which would repeat its effect.
func TestWriterForgetsOldRecords(t *testing.T) {
	b := newFixture(t, cloud.Config{}, 0)
	fresh, old := &item{id: "fresh", maybeAppended: true, endAtFirstSend: 10}, &item{id: "old", maybeAppended: true, endAtFirstSend: 5, done: make(chan struct{})}
	b.writer.mu.Lock()
	b.writer.items["fresh"], b.writer.items["old"] = fresh, old
	b.writer.logEnd = 10 + maxRepeatOffsets
	b.writer.mu.Unlock()
	kept := b.writer.checkRepeats(context.Background(), []*item{fresh, old})
	assert.Assert(t, len(kept) == 1 && kept[0] == fresh)
	assert.Equal(t, old.outcome.Verdict, Unknown)
	b.writer.mu.Lock()
	delete(b.writer.items, "fresh")
	b.writer.mu.Unlock()
}

// BenchmarkWriter measures the records per second that one writer brings into the fold at the default append rate.
func BenchmarkWriter(b *testing.B) {
	f := newFixture(b, cloud.Config{}, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b.SetParallelism(100)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := f.writer.Append(ctx, fleet.Record{Kind: fleet.KindAck}); err != nil {
				b.Error(err)
			}
		}
	})
	c := f.client.Counters()
	b.ReportMetric(float64(c.Appends)/b.Elapsed().Seconds(), "appends/s")
	b.ReportMetric(float64(c.AppendRecords)/b.Elapsed().Seconds(), "records/s")
}

package feed

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/platform"
)

// quietLog has no new records. It refuses a number of reads first.
type quietLog struct{ refuse atomic.Int64 }

func (l *quietLog) Read(r platform.Read) (platform.Page, error) {
	if l.refuse.Add(-1) >= 0 {
		return platform.Page{}, &platform.CallError{Call: "read", Status: http.StatusTooManyRequests}
	}
	time.Sleep(time.Duration(r.WaitMs) * time.Millisecond)
	return platform.Page{Next: r.From, End: r.From}, nil
}

func (l *quietLog) Newest(string, int, time.Time) (platform.Page, error) {
	return platform.Page{}, nil
}

// TestSlowedReaderKeepsItsAge guards against refusals long after the log answers again: the pause between two reads came on top of
// two waits, so for 10 s after refused reads entries took their configuration for too old (4 to 27 refused requests a second on
// kegel-live-grown, refused-reads --vary --seed 772178764796).
func TestSlowedReaderKeepsItsAge(t *testing.T) {
	const oldest = 1900 // ms, where a new configuration must be in force within 2 s
	l := &quietLog{}
	f := New(Config{
		Store: l, Topic: "t", Wait: 800 * time.Millisecond, Log: zap.NewNop(), Apply: func([]jobs.Record, bool) {},
	})
	l.refuse.Store(4)
	go f.Run(t.Context())
	for until := time.Now().Add(5 * time.Second); l.refuse.Load() >= 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the log was not read")
	}
	first := clock.BootMs()
	for f.ReadAtMs() < first-1000 {
		time.Sleep(time.Millisecond)
	}
	var worst int64
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		worst = max(worst, clock.BootMs()-f.ReadAtMs())
	}
	assert.Assert(t, worst < oldest, "what was read got %d ms old though the log answers", worst)
}

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

// quietLog is a log without new records. It refuses the given number of reads first.
type quietLog struct{ refuse atomic.Int64 }

func (l *quietLog) Read(r platform.ReadRequest) (platform.Page, error) {
	if l.refuse.Add(-1) >= 0 {
		return platform.Page{}, &platform.CallError{Call: "read", Status: http.StatusTooManyRequests}
	}
	time.Sleep(time.Duration(r.WaitMs) * time.Millisecond)
	return platform.Page{Next: r.From, End: r.From}, nil
}

func (l *quietLog) Newest(string, int, time.Time) (platform.Page, error) {
	return platform.Page{}, nil
}

// TestSlowedReaderLimitsItsAge guards against requests that are refused although the log answers again: when the longer pause
// after refused reads was added to two waits, entries considered their configuration too old for 10 s and refused 4 to 27
// requests a second.
func TestSlowedReaderLimitsItsAge(t *testing.T) {
	const maxAgeMs = 1900 // a new configuration must be in force within 2 s
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
	var worstMs int64
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		worstMs = max(worstMs, clock.BootMs()-f.ReadAtMs())
	}
	assert.Assert(t, worstMs < maxAgeMs, "the newest read got %d ms old although the log answers", worstMs)
}

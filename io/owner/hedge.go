package owner

import (
	"time"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/platform"
)

// Timing and number of the calls of a hedged append.
const (
	// hedgeAfter is the minimum time without an answer before the first copy is sent. A healthy store answers within
	// 30 ms.
	hedgeAfter = 120 * time.Millisecond
	// hedgeGrowth is the factor by which the pause grows from copy to copy.
	hedgeGrowth = 2
	// maxHedgeCalls bounds the calls of one append, the first included, so that a silent store is not overloaded.
	maxHedgeCalls = 4
)

// Appender appends records to the log.
type Appender interface {
	Append(a platform.AppendRequest) (platform.AppendResult, error)
}

// Hedge appends records and sends copies of the call while no answer arrives. The first copy is sent after pause, but not
// before hedgeAfter. Hedge returns the first answer of the store and how long that call took, or an error whose verdict
// says whether any of the calls may have stored the records. The records must be safe to store twice, or the append must
// carry a producer, by which the store recognises copies.
func Hedge(store Appender, a platform.AppendRequest, pause time.Duration) (platform.AppendResult, time.Duration, error) {
	type answer struct {
		res  platform.AppendResult
		took time.Duration
		err  error
	}
	answers := make(chan answer, maxHedgeCalls)
	send := func() {
		startedAt := time.Now()
		res, err := store.Append(a)
		answers <- answer{res, time.Since(startedAt), err}
	}
	go send()
	sent, open := 1, 1
	pause = max(pause, hedgeAfter)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	var failed error
	for {
		select {
		case ans := <-answers:
			if ans.err == nil {
				return ans.res, ans.took, nil
			}
			if open--; failed == nil || platform.VerdictOf(ans.err) != retry.NotRun {
				failed = ans.err
			}
			if open == 0 {
				return platform.AppendResult{}, ans.took, failed
			}
		case <-timer.C:
			if pause *= hedgeGrowth; sent < maxHedgeCalls && time.Now().Before(a.Deadline) {
				go send()
				sent, open = sent+1, open+1
				timer.Reset(pause)
			}
		}
	}
}

package owner

import (
	"time"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/platform"
)

// Copies of an append without an answer.
const (
	// hedgeAfter is the time without an answer after which the first copy is sent. A healthy store answers within 30 ms.
	hedgeAfter = 120 * time.Millisecond
	// hedgeGrowth is by how many times the pause before each further copy is longer than the one before.
	hedgeGrowth = 2
	// hedgeCopies bounds the copies of one append that wait for their answers, so that a silent store is not flooded.
	hedgeCopies = 4
)

// Appender stores records in the log.
type Appender interface {
	Append(a platform.Append) (platform.AppendResult, error)
}

// Hedge appends, and sends copies while no answer comes: the first after pause, but not before hedgeAfter. It returns the first
// answer of the store and how long that copy took, or an error that says whether any of the copies may have stored the records. The
// records must be safe to store twice, or the append must carry a producer, which has the store recognise copies.
func Hedge(store Appender, a platform.Append, pause time.Duration) (platform.AppendResult, time.Duration, error) {
	type answer struct {
		res  platform.AppendResult
		took time.Duration
		err  error
	}
	answers := make(chan answer, hedgeCopies)
	send := func() {
		begun := time.Now()
		res, err := store.Append(a)
		answers <- answer{res, time.Since(begun), err}
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
			if pause *= hedgeGrowth; sent < hedgeCopies && time.Now().Before(a.Deadline) {
				go send()
				sent, open = sent+1, open+1
				timer.Reset(pause)
			}
		}
	}
}

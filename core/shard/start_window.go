package shard

// Limits of the starts without a reply. On an overloaded owner or connection all replies are late: leases of running
// items expire, and runs count as missing. The number of unanswered starts is therefore limited, so that polls and stops
// are still handled in time.
const (
	// initialWindow is the number of unanswered starts allowed before the latency of any reply was measured.
	initialWindow = 64
	// minWindow lets a pool continue in which all starts are slow.
	minWindow = 8
	// maxWindow is more than the starts that the largest pool in use can execute at once.
	maxWindow = 4096
	// windowIntervalMs is the interval at which the window is adapted.
	windowIntervalMs = 100
	// slowStartMs is the latency above which the reply to a start counts as slow. Through a relay a reply takes about
	// 50 ms, directly from a VM 5 ms; after 300 ms it counts as lost.
	slowStartMs = 200
	// maxSlowPercent is the percentage of slow replies above which the window shrinks. A single rack that does not
	// reply stays below it.
	maxSlowPercent = 20
	// windowCutPercent is the percentage of the window that is left after it shrinks.
	windowCutPercent = 70
)

// startWindow limits the number of unanswered starts by the latency of the replies.
type startWindow struct {
	size       int
	unanswered int // starts without a reply
	fast, slow int // replies since adaptedAt
	adaptedAt  int64
}

// recordReply records the reply to a start that was sent at the time sent, also a missing one.
func (w *startWindow) recordReply(sent, now int64) {
	w.unanswered = max(w.unanswered-1, 0)
	if now-sent > slowStartMs {
		w.slow++
	} else {
		w.fast++
	}
}

// adapt grows or shrinks the window by the replies since its last change.
func (w *startWindow) adapt(now int64) {
	if now-w.adaptedAt < windowIntervalMs {
		return
	}
	all := w.fast + w.slow
	switch {
	case w.slow > 0 && w.slow*100 > all*maxSlowPercent:
		w.size = max(w.size*windowCutPercent/100, minWindow)
	case w.unanswered+all >= w.size:
		// The window was fully used, so it grows with the number of replies in time.
		w.size = min(w.size+max(w.fast/2, 1), maxWindow)
	}
	w.fast, w.slow, w.adaptedAt = 0, 0, now
}

// available returns how many more starts may be sent.
func (w *startWindow) available() int { return max(w.size-w.unanswered, 0) }

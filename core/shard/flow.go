package shard

// Bounds of the starts that are under way. An owner or a link that is overloaded answers late for everything: leases
// of running items lapse, and runs count as missing, so new starts take only what is left beside polls and stops.
const (
	// windowFirst is the number of starts under way before anything is known of their pace.
	windowFirst = 64
	// windowLeast keeps a pool going whose starts are all slow.
	windowLeast = 8
	// windowMost is above the starts that the largest pool of today can take at once.
	windowMost = 4096
	// windowEvery is the time over which answers are judged, in milliseconds.
	windowEvery = 100
	// slowStartMs is how late an answer to a start may be. By way of another entry one takes about 50 ms, from a VM
	// itself 5 ms; after 300 ms it counts as lost.
	slowStartMs = 200
	// slowShare is the part of slow answers above which fewer starts are sent, in percent. A dark rack alone stays below it.
	slowShare = 20
	// windowCut is what is left of the window then, in percent.
	windowCut = 70
)

// flow bounds the starts that are under way by the pace at which they are answered.
type flow struct {
	window     int
	open       int // starts without an answer
	fast, slow int // answers since judgedAt
	judgedAt   int64
}

// answered notes an answer to a start that was sent at a time.
func (f *flow) answered(sent, now int64) {
	f.open = max(f.open-1, 0)
	if now-sent > slowStartMs {
		f.slow++
	} else {
		f.fast++
	}
}

// judge adapts the window to the newest answers.
func (f *flow) judge(now int64) {
	if now-f.judgedAt < windowEvery {
		return
	}
	all := f.fast + f.slow
	switch {
	case f.slow > 0 && f.slow*100 > all*slowShare:
		f.window = max(f.window*windowCut/100, windowLeast)
	case f.open+all >= f.window:
		// The window was in use; it grows with what was answered in time.
		f.window = min(f.window+max(f.fast/2, 1), windowMost)
	}
	f.fast, f.slow, f.judgedAt = 0, 0, now
}

// room returns how many more starts may be sent.
func (f *flow) room() int { return max(f.window-f.open, 0) }

package share

// WindowMs is the time in milliseconds over which the work of an account counts: one turn, the peak phase of a pool.
const WindowMs = 4000

const (
	windowParts = 16
	partMs      = WindowMs / windowParts
)

// Window holds the work of one account within the last WindowMs. The zero value holds none.
type Window struct {
	parts  [windowParts]int64 // work by time, as a ring
	newest int64              // number of the newest part since time 0
}

// Add adds work that was done until now. now must not decrease.
func (w *Window) Add(work, now int64) {
	w.advance(now)
	w.parts[w.newest%windowParts] += work
}

// Sum returns the work within the last WindowMs, less the part that is not full.
func (w *Window) Sum(now int64) int64 {
	w.advance(now)
	var sum int64
	for _, p := range w.parts {
		sum += p
	}
	return sum
}

// advance drops the parts that have left the window.
func (w *Window) advance(now int64) {
	part := max(now/partMs, w.newest)
	if part-w.newest >= windowParts {
		w.parts = [windowParts]int64{}
		w.newest = part
	}
	for w.newest < part {
		w.newest++
		w.parts[w.newest%windowParts] = 0
	}
}

package relay

// delayWindowMs is the length of the window over which the least clock difference is kept. The window before counts as well,
// so that frames that are read after a suspension of any length are compared with those before it. Two clocks whose rates
// differ by 2% cause an error of at most 0.2 s over both windows.
const delayWindowMs = 5000

// delayEstimator estimates how long a frame lay in the buffers of a suspended process or an interrupted connection. The
// clocks of the two sides have different origins, so each frame is compared with the fastest recent one.
type delayEstimator struct {
	startMs           int64 // start of the current window
	minDiffMs         int64 // least difference of the clocks in the current window
	previousMinDiffMs int64 // least difference of the clocks in the window before
	started           bool  // false before the first frame
}

// update records a frame by the sender's and the receiver's clock and returns its extra delay over the fastest recent
// frame. All times are in ms.
func (d *delayEstimator) update(sent, received int64) int64 {
	diff := received - sent
	switch {
	case !d.started:
		*d = delayEstimator{startMs: received, minDiffMs: diff, previousMinDiffMs: diff, started: true}
	case received-d.startMs >= delayWindowMs:
		d.startMs, d.previousMinDiffMs, d.minDiffMs = received, d.minDiffMs, diff
	}
	d.minDiffMs = min(d.minDiffMs, diff)
	return diff - min(d.minDiffMs, d.previousMinDiffMs)
}

package relay

// delaySpan is the time over which the quickest frame is known, in milliseconds. The one before counts as well, so frames that
// are read after a suspension of any length are compared with those before it. Clocks that run apart by 2% make 0.2 s of it.
const delaySpan = 5000

// delay tells how late frames come that lay in the buffers of a suspended process or a cut link. The clocks of both sides
// begin at times of their own, so a frame is compared with the quickest one of the last while.
type delay struct {
	begun   int64 // of the present span
	present int64 // least difference of the clocks in the present span
	before  int64 // and in the one before
	known   bool
}

// of returns by how much longer than the quickest frame one took, in milliseconds.
func (d *delay) of(sent, received int64) int64 {
	diff := received - sent
	switch {
	case !d.known:
		*d = delay{begun: received, present: diff, before: diff, known: true}
	case received-d.begun >= delaySpan:
		d.begun, d.before, d.present = received, d.present, diff
	}
	d.present = min(d.present, diff)
	return diff - min(d.present, d.before)
}

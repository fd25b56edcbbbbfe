package wire

import "time"

// ReadPacer spaces the reads of a follower. Many followers share the rate that the store allows: while it refuses reads
// for their number, each reads less often instead of trying again soon, so that reads that callers wait for pass.
type ReadPacer struct {
	Interval      time.Duration // between two reads
	RetryInterval time.Duration // after a failed read
	MaxInterval   time.Duration // after refused reads

	slow time.Duration // in force instead of Every, 0 for none
}

// slowPart is the part by which a slowed pace recovers with each answered read: one in slowPart.
const slowPart = 8

// Next returns the pause after a read. refused says that it failed because there were too many.
func (p *ReadPacer) Next(failed, refused bool) time.Duration {
	switch {
	case refused:
		p.slow = min(max(2*p.slow, p.Interval, p.RetryInterval), p.MaxInterval)
		return Backoff(p.slow, p.slow, 0)
	case failed:
		return p.RetryInterval
	case p.slow == 0:
		return p.Interval
	}
	p.slow -= p.slow / slowPart
	if p.slow <= p.Interval || p.slow < p.RetryInterval {
		p.slow = 0
	}
	return max(p.slow, p.Interval)
}

package wire

import "time"

// ReadPacer returns the pauses between the reads of a follower. All followers share the rate of reads that the store
// allows. While the store refuses reads because there are too many, each follower reads less often instead of
// retrying soon, so that reads on which callers wait succeed.
type ReadPacer struct {
	Interval      time.Duration // pause between two reads
	RetryInterval time.Duration // pause after a failed read
	MaxInterval   time.Duration // upper bound of the pause after refused reads

	slowInterval time.Duration // replaces Interval after a refused read; 0 for none
}

// recoveryDivisor divides slowInterval into the part by which each successful read reduces it.
const recoveryDivisor = 8

// Next returns the pause after a read. refused means that the read failed because there were too many reads.
func (p *ReadPacer) Next(failed, refused bool) time.Duration {
	switch {
	case refused:
		p.slowInterval = min(max(2*p.slowInterval, p.Interval, p.RetryInterval), p.MaxInterval)
		return Backoff(p.slowInterval, p.slowInterval, 0)
	case failed:
		return p.RetryInterval
	case p.slowInterval == 0:
		return p.Interval
	}
	p.slowInterval -= p.slowInterval / recoveryDivisor
	if p.slowInterval <= p.Interval || p.slowInterval < p.RetryInterval {
		p.slowInterval = 0
	}
	return max(p.slowInterval, p.Interval)
}

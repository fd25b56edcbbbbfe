package shard

// Parameters of the estimate of the rate of arrivals.
const (
	// minRateSpanMs and maxRateSpanMs bound the time over which the rate and its trend are measured.
	minRateSpanMs = 1000
	maxRateSpanMs = 4000
	// rateSpanArrivals is the number of newest arrivals whose time span is the measured one, within these bounds.
	rateSpanArrivals = 80
	// sizedArrivals is the number of newest arrivals from which the mean work of a job is derived.
	sizedArrivals = 60
)

// arrivalRate estimates the work that arrives per second. It takes the number of arrivals and their mean work apart:
// the numbers follow the load, while the sizes of the jobs differ widely but change little in the mean.
type arrivalRate struct {
	arrivals  []sample // the value is the work in core-milliseconds; oldest first
	startedAt int64    // time of the first measurement, before which nothing is known
}

// add records an arrival.
func (r *arrivalRate) add(workMs, now int64) { r.arrivals = append(r.arrivals, sample{now, workMs}) }

// forecast returns the core-milliseconds that will arrive per second aheadMs from now, if the present trend goes on. It
// deletes arrivals that no forecast needs any more.
func (r *arrivalRate) forecast(now, aheadMs int64) int64 {
	if r.startedAt == 0 {
		r.startedAt = now
	}
	if extra := len(r.arrivals) - max(sizedArrivals, rateSpanArrivals); extra > 0 && r.arrivals[extra-1].at < now-maxRateSpanMs {
		r.arrivals = append(r.arrivals[:0], r.arrivals[extra:]...)
	}
	if len(r.arrivals) == 0 {
		return 0
	}
	span := min(r.span(now), max(now-r.startedAt, minRateSpanMs))
	return int64(max(r.perSecond(now, span, aheadMs), 0) * float64(r.meanWork()))
}

// span returns the time over which the rate is measured, in milliseconds.
func (r *arrivalRate) span(now int64) int64 {
	if len(r.arrivals) < rateSpanArrivals {
		return maxRateSpanMs
	}
	return min(max(now-r.arrivals[len(r.arrivals)-rateSpanArrivals].at, minRateSpanMs), maxRateSpanMs)
}

// perSecond returns the arrivals per second aheadMs from now by a linear fit over a span. The trend of a constant rate
// varies by chance, with the variance of a Poisson process; only what exceeds that counts.
func (r *arrivalRate) perSecond(now, spanMs, aheadMs int64) float64 {
	span, n, moment := float64(spanMs)/1000, 0.0, 0.0
	for i := len(r.arrivals) - 1; i >= 0 && r.arrivals[i].at > now-spanMs; i-- {
		n++
		moment += float64(r.arrivals[i].at-now)/1000 + span/2
	}
	mean := n / span
	if n == 0 {
		return 0
	}
	trend := 12 * moment / (span * span * span)
	variance := 12 * mean / (span * span * span)
	trend *= max(1-variance/(trend*trend), 0)
	return mean + trend*(span/2+float64(aheadMs)/1000)
}

// meanWork returns the mean work of the newest arrivals, in core-milliseconds.
func (r *arrivalRate) meanWork() int64 {
	newest := r.arrivals[max(len(r.arrivals)-sizedArrivals, 0):]
	var sum int64
	for _, a := range newest {
		sum += a.value
	}
	return sum / int64(len(newest))
}

// countSince returns the number of arrivals after a time.
func (r *arrivalRate) countSince(t int64) int64 {
	n := int64(0)
	for i := len(r.arrivals) - 1; i >= 0 && r.arrivals[i].at > t; i-- {
		n++
	}
	return n
}

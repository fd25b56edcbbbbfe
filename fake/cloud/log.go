package cloud

import (
	"errors"
	"time"

	"golang.org/x/time/rate"
)

var errTooMany = errors.New("append rate is above the limit")

// Entry is one record of the log.
type Entry struct {
	Offset int64
	Data   []byte
}

// Span is a range of offsets; Next is not part of it.
type Span struct {
	First, Next int64
}

// applog is an append-only log with limited retention. It is guarded by its server's mutex.
type applog struct {
	limiter   *rate.Limiter // appends, not records
	retain    int           // records
	retainAge time.Duration
	first     int64
	records   [][]byte
	at        []time.Time // of the append of each record
	appends   int64
}

func (l *applog) next() int64 { return l.first + int64(len(l.records)) }

// append adds a batch of records as a whole.
func (l *applog) append(now time.Time, batch [][]byte) (Span, error) {
	if !l.limiter.AllowN(now, 1) {
		return Span{}, errTooMany
	}
	l.appends++
	return l.add(now, batch), nil
}

func (l *applog) add(now time.Time, batch [][]byte) Span {
	first := l.next()
	for _, data := range batch {
		l.records = append(l.records, data)
		l.at = append(l.at, now)
	}
	span := Span{first, l.next()}
	l.expire(now)
	return span
}

// expire drops the records beyond the retention.
func (l *applog) expire(now time.Time) {
	drop := max(0, len(l.records)-l.retain)
	if l.retainAge > 0 {
		for drop < len(l.at) && now.Sub(l.at[drop]) > l.retainAge {
			drop++
		}
	}
	l.first += int64(drop)
	l.records, l.at = l.records[drop:], l.at[drop:]
}

// read returns at most limit records from an offset on and at most size bytes, but always one if there is one.
func (l *applog) read(from int64, limit, size int) []Entry {
	var out []Entry
	for i := from - l.first; i < int64(len(l.records)) && len(out) < limit; i++ {
		data := l.records[i]
		if size -= len(data); size < 0 && len(out) > 0 {
			break
		}
		out = append(out, Entry{l.first + i, data})
	}
	return out
}

package cloud

import (
	"errors"
	"time"

	"golang.org/x/time/rate"
)

var errRateLimited = errors.New("append rate is above the limit")

// Entry is one record of the log.
type Entry struct {
	Offset int64
	Data   []byte
}

// Span is the range of offsets from First up to, but not including, Next.
type Span struct {
	First, Next int64
}

// applog is an append-only log with limited retention. The mutex of the server guards it.
type applog struct {
	limiter    *rate.Limiter // limits appends; each append takes one token for all its records
	retain     int           // maximum number of records
	retainAge  time.Duration
	first      int64
	records    [][]byte
	appendedAt []time.Time // by index in records
	appends    int64
}

func (l *applog) next() int64 { return l.first + int64(len(l.records)) }

// append adds all records of a batch, or none and returns errRateLimited if the append rate is above the limit.
func (l *applog) append(now time.Time, batch [][]byte) (Span, error) {
	if !l.limiter.AllowN(now, 1) {
		return Span{}, errRateLimited
	}
	l.appends++
	return l.add(now, batch), nil
}

// add appends a batch without counting it against the rate.
func (l *applog) add(now time.Time, batch [][]byte) Span {
	first := l.next()
	for _, data := range batch {
		l.records = append(l.records, data)
		l.appendedAt = append(l.appendedAt, now)
	}
	span := Span{first, l.next()}
	l.expire(now)
	return span
}

// expire removes the records that are beyond the retention by number or age.
func (l *applog) expire(now time.Time) {
	drop := max(0, len(l.records)-l.retain)
	if l.retainAge > 0 {
		for drop < len(l.appendedAt) && now.Sub(l.appendedAt[drop]) > l.retainAge {
			drop++
		}
	}
	l.first += int64(drop)
	l.records, l.appendedAt = l.records[drop:], l.appendedAt[drop:]
}

// read returns at most limit records that start at an offset and have at most size bytes together. The first
// record is returned even if it is larger.
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

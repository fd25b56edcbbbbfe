package spec

import (
	"fmt"
	"strings"
	"time"
)

// daysPerWeek is the period of a finish deadline, in days.
const daysPerWeek = 7

// Finish is a weekly moment in UTC.
type Finish struct {
	Weekday time.Weekday
	Hour    int
	Minute  int
}

// ParseFinish reads a weekday and a time such as "Sat 06:00" or "Saturday 06:00".
// It returns an error for any other text.
func ParseFinish(s string) (Finish, error) {
	bad := fmt.Errorf("%q is not a weekday and a time in UTC such as \"Sat 06:00\"", s)
	day, clock, ok := strings.Cut(s, " ")
	if !ok || len(clock) != len("15:04") {
		return Finish{}, bad
	}
	t, err := time.Parse("15:04", clock)
	if err != nil {
		return Finish{}, bad
	}
	for d := time.Sunday; d <= time.Saturday; d++ {
		if strings.EqualFold(day, d.String()) || strings.EqualFold(day, d.String()[:3]) {
			return Finish{Weekday: d, Hour: t.Hour(), Minute: t.Minute()}, nil
		}
	}
	return Finish{}, bad
}

// Next returns the first such moment after now.
func (f Finish) Next(now time.Time) time.Time {
	now = now.UTC()
	days := (int(f.Weekday-now.Weekday()) + daysPerWeek) % daysPerWeek
	at := time.Date(now.Year(), now.Month(), now.Day()+days, f.Hour, f.Minute, 0, 0, time.UTC)
	if !at.After(now) {
		at = at.AddDate(0, 0, daysPerWeek)
	}
	return at
}

// NextFinish returns the moment by which a deferrable job accepted at now must be
// done. It is zero for a class that is not deferrable or whose FinishBy is invalid.
func NextFinish(c Class, now time.Time) time.Time {
	if !c.Deferrable {
		return time.Time{}
	}
	f, err := ParseFinish(c.FinishBy)
	if err != nil {
		return time.Time{}
	}
	return f.Next(now)
}

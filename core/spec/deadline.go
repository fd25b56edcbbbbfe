package spec

import (
	"fmt"
	"strings"
	"time"
)

// daysPerWeek is the period of a Finish in days.
const daysPerWeek = 7

// Finish is a weekly deadline in UTC.
type Finish struct {
	Weekday time.Weekday
	Hour    int
	Minute  int
}

// ParseFinish reads a weekday and a time such as "Sat 06:00" or "Saturday 06:00".
// It returns an error for any other text.
func ParseFinish(s string) (Finish, error) {
	errFormat := fmt.Errorf("%q is not a weekday and a time in UTC such as \"Sat 06:00\"", s)
	day, clock, ok := strings.Cut(s, " ")
	if !ok || len(clock) != len("15:04") {
		return Finish{}, errFormat
	}
	t, err := time.Parse("15:04", clock)
	if err != nil {
		return Finish{}, errFormat
	}
	for d := time.Sunday; d <= time.Saturday; d++ {
		if strings.EqualFold(day, d.String()) || strings.EqualFold(day, d.String()[:3]) {
			return Finish{Weekday: d, Hour: t.Hour(), Minute: t.Minute()}, nil
		}
	}
	return Finish{}, errFormat
}

// Next returns the first occurrence of the deadline after now.
func (f Finish) Next(now time.Time) time.Time {
	now = now.UTC()
	days := (int(f.Weekday-now.Weekday()) + daysPerWeek) % daysPerWeek
	at := time.Date(now.Year(), now.Month(), now.Day()+days, f.Hour, f.Minute, 0, 0, time.UTC)
	if !at.After(now) {
		at = at.AddDate(0, 0, daysPerWeek)
	}
	return at
}

// NextFinish returns the deadline of a deferrable job of class c that is accepted at now.
// It returns the zero time for a class that is not deferrable or whose FinishBy is invalid.
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

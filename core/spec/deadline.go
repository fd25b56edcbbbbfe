package spec

import (
	"fmt"
	"strings"
	"time"
)

// daysPerWeek is the period of a WeeklyDeadline in days.
const daysPerWeek = 7

// WeeklyDeadline is a weekly deadline in UTC.
type WeeklyDeadline struct {
	Weekday time.Weekday
	Hour    int
	Minute  int
}

// ParseWeeklyDeadline reads a weekday and a time such as "Sat 06:00" or "Saturday 06:00".
// It returns an error for any other text.
func ParseWeeklyDeadline(s string) (WeeklyDeadline, error) {
	errFormat := fmt.Errorf("%q is not a weekday and a time in UTC such as \"Sat 06:00\"", s)
	day, clock, ok := strings.Cut(s, " ")
	if !ok || len(clock) != len("15:04") {
		return WeeklyDeadline{}, errFormat
	}
	t, err := time.Parse("15:04", clock)
	if err != nil {
		return WeeklyDeadline{}, errFormat
	}
	for d := time.Sunday; d <= time.Saturday; d++ {
		if strings.EqualFold(day, d.String()) || strings.EqualFold(day, d.String()[:3]) {
			return WeeklyDeadline{Weekday: d, Hour: t.Hour(), Minute: t.Minute()}, nil
		}
	}
	return WeeklyDeadline{}, errFormat
}

// Next returns the first occurrence of the deadline after now.
func (d WeeklyDeadline) Next(now time.Time) time.Time {
	now = now.UTC()
	days := (int(d.Weekday-now.Weekday()) + daysPerWeek) % daysPerWeek
	at := time.Date(now.Year(), now.Month(), now.Day()+days, d.Hour, d.Minute, 0, 0, time.UTC)
	if !at.After(now) {
		at = at.AddDate(0, 0, daysPerWeek)
	}
	return at
}

// NextDeadline returns the deadline of a deferrable job of class c that is accepted at now.
// It returns the zero time for a class that is not deferrable or whose FinishBy is invalid.
func NextDeadline(c Class, now time.Time) time.Time {
	if !c.Deferrable {
		return time.Time{}
	}
	d, err := ParseWeeklyDeadline(c.FinishBy)
	if err != nil {
		return time.Time{}
	}
	return d.Next(now)
}

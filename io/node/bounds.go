package node

import (
	"cmp"
	"fmt"
	"math"

	"go.uber.org/zap"

	"sassafrasvalve/core/assign"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/io/jobapi"
)

// Ranges of the bounds in the settings. A value outside of its range is most likely in another unit, or no number.
const (
	minHoldMaxMs = 1000
	// maxBoundMs is the largest time of an action of the platform.
	maxBoundMs      = 600_000
	maxRemoteFactor = 100
)

// problems checks the bounds and returns a line for each problem. 0 stands for a missing key. A HoldMaxMs above
// shard.DefaultHoldMaxMs is refused: new owners do not wait for a longer lease, and an item could run twice.
func (t *TimeSettings) problems() []string {
	var list []string
	check := func(key string, value, least, most float64) {
		if value != 0 && !(value >= least && value <= most) { // also true for NaN
			list = append(list, fmt.Sprintf("Times.%s = %v must be from %v to %v, or missing", key, value, least, most))
		}
	}
	check("HoldMaxMs", float64(t.HoldMaxMs), minHoldMaxMs, shard.DefaultHoldMaxMs)
	check("RemoteFactor", t.RemoteFactor, 1, maxRemoteFactor)
	for _, b := range []struct {
		key string
		ms  int64
	}{{"StopMs", t.StopMs}, {"LeaseMs", t.LeaseMs}, {"RestoreMs", t.RestoreMs}} {
		check(b.key, float64(b.ms), 0, maxBoundMs)
	}
	for _, b := range t.inSeconds() {
		check(b.key+"Ms", float64(*b.ms), 1, maxBoundMs)
		check(b.key+"S", b.s, 0.001, maxBoundMs/1000)
		if *b.ms != 0 && b.s != 0 {
			list = append(list, fmt.Sprintf("Times.%sMs and Times.%sS are both given: give one of them", b.key, b.key))
		}
	}
	return list
}

// secondsBound is a bound that is given in milliseconds or in seconds.
type secondsBound struct {
	key string // without its unit
	ms  *int64
	s   float64
}

func (t *TimeSettings) inSeconds() []secondsBound {
	return []secondsBound{
		{"Checkpoint", &t.CheckpointMs, t.CheckpointS}, {"Move", &t.MoveMs, t.MoveS}, {"Upkeep", &t.UpkeepMs, t.UpkeepS},
	}
}

// convertSeconds sets the bounds in milliseconds that are given in seconds.
func (t *TimeSettings) convertSeconds() {
	for _, b := range t.inSeconds() {
		if b.s != 0 {
			*b.ms = int64(math.Round(b.s * 1000))
		}
	}
}

// boundFields returns the bounds in force, with the constants that stand for missing ones, for logs. 0 is an unknown one.
func (t *TimeSettings) boundFields() []zap.Field {
	return []zap.Field{
		zap.Int64("holdMaxMs", cmp.Or(t.HoldMaxMs, shard.DefaultHoldMaxMs)), zap.Int64("stopMs", cmp.Or(t.StopMs, shard.DefaultStopEffectMs)),
		zap.Int64("leaseMs", t.LeaseMs), zap.Int64("moveMs", cmp.Or(t.MoveMs, assign.DefaultMoveMs)),
		zap.Int64("upkeepMs", cmp.Or(t.UpkeepMs, assign.DefaultUpkeepMs)), zap.Int64("checkpointMs", t.CheckpointMs),
		zap.Int64("restoreMs", t.RestoreMs), zap.Float64("remoteFactor", t.RemoteFactor),
		zap.Int64("configMaxAgeMs", jobapi.MaxConfigAgeMs(t.ConfigMs)),
	}
}

package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/platform"
)

// statusTimeout bounds an append of a wave's status.
const statusTimeout = 1500 * time.Millisecond

// waves holds the operator's waves of upkeep and reports their status.
type waves struct {
	log   *zap.Logger
	store *platform.Store

	mu       sync.Mutex         // guards the following
	waves    map[int]pools.Wave // by number
	reported map[int]string     // last status record written by this process, by number
}

// apply adds or replaces the wave of a record of the operator's topic. It ignores other records.
func (w *waves) apply(r jobs.Record) {
	wave, ok, err := platform.DecodeWave(r, clock.BootMs())
	if err != nil {
		w.log.Warn("invalid wave ignored", zap.Error(err))
		return
	}
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old, known := w.waves[wave.Number]
	if known {
		wave.DueMs = old.DueMs // the due time counts from the first read of the wave
	} else {
		w.log.Info("wave requested", zap.Int("wave", wave.Number), zap.Int("machines", len(wave.Machines)), zap.Int("maxDown", wave.MaxDown))
	}
	w.waves[wave.Number] = wave
}

// list returns all waves in no particular order.
func (w *waves) list() []pools.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]pools.Wave, 0, len(w.waves))
	for _, wave := range w.waves {
		list = append(list, wave)
	}
	return list
}

// reportStatus appends the status of a wave for the operator if this process has not written the same status already.
func (w *waves) reportStatus(wave int, complete bool) {
	rec := platform.WaveStatusRecord(wave, complete)
	w.mu.Lock()
	known := w.reported[wave] == string(rec.Value)
	w.mu.Unlock()
	if known {
		return
	}
	_, err := w.store.Append(platform.AppendRequest{
		Topic: platform.TopicStatus, Records: []jobs.Record{rec}, At: -1, Deadline: time.Now().Add(statusTimeout),
	})
	if err != nil {
		w.log.Warn("append of wave status failed", zap.Int("wave", wave), zap.Error(err))
		return
	}
	w.mu.Lock()
	w.reported[wave] = string(rec.Value)
	w.mu.Unlock()
	w.log.Info("wave status reported", zap.Int("wave", wave), zap.Bool("complete", complete))
}

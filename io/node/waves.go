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

// waves keeps the operator's waves of upkeep.
type waves struct {
	log   *zap.Logger
	store *platform.Store

	mu    sync.Mutex
	waves map[int]pools.Wave
	told  map[int]string // status written by this process
}

// take folds a record of the operator's topic.
func (w *waves) take(r jobs.Record) {
	wave, ok, err := platform.DecodeWave(r, clock.BootMs())
	if err != nil {
		w.log.Warn("wave ignored", zap.Error(err))
		return
	}
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old, known := w.waves[wave.N]
	if known {
		wave.DueMs = old.DueMs // a record that is read again is not younger
	} else {
		w.log.Info("wave asked for", zap.Int("wave", wave.N), zap.Int("machines", len(wave.Machines)), zap.Int("maxDown", wave.MaxDown))
	}
	w.waves[wave.N] = wave
}

// list returns the waves.
func (w *waves) list() []pools.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]pools.Wave, 0, len(w.waves))
	for _, wave := range w.waves {
		list = append(list, wave)
	}
	return list
}

// tell writes the status of a wave once it changes.
func (w *waves) tell(wave int, complete bool) {
	rec := platform.WaveStatusRecord(wave, complete)
	w.mu.Lock()
	known := w.told[wave] == string(rec.Value)
	w.mu.Unlock()
	if known {
		return
	}
	_, err := w.store.Append(platform.Append{
		Topic: platform.TopicStatus, Records: []jobs.Record{rec}, At: -1, Deadline: time.Now().Add(statusTimeout),
	})
	if err != nil {
		w.log.Warn("status of a wave not confirmed", zap.Int("wave", wave), zap.Error(err))
		return
	}
	w.mu.Lock()
	w.told[wave] = string(rec.Value)
	w.mu.Unlock()
	w.log.Info("status of a wave told", zap.Int("wave", wave), zap.Bool("complete", complete))
}

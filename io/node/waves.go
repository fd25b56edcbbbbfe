package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/shard"
	"sassafrasvalve/platform"
)

// Times of the waves.
const (
	// machinesEvery is the pause between two reads of the list of machines while a wave is open.
	machinesEvery = 700 * time.Millisecond
	// machinesTimeout bounds a read of the list.
	machinesTimeout = 2 * time.Second
	// upkeepTimeout bounds an order to take a machine down.
	upkeepTimeout = 1500 * time.Millisecond
	// statusTimeout bounds an append of a wave's status.
	statusTimeout = 1500 * time.Millisecond
)

// waves keeps the operator's waves of upkeep and the list of machines while a wave is open.
type waves struct {
	log    *zap.Logger
	store  *platform.Store
	cloud  *platform.Cloud
	shards *shards
	owns   func() bool // whether this process owns a shard
	first  func() bool // whether it owns the shard that speaks for the waves

	mu       sync.Mutex
	waves    map[int]pools.Wave
	machines []pools.Machine
	at       int64
	told     map[int]string // status written by this process
}

// take folds a record of the operator's topic.
func (w *waves) take(r jobs.Record) {
	wave, ok, err := platform.DecodeWave(r)
	if err != nil {
		w.log.Warn("wave ignored", zap.Error(err))
		return
	}
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.waves[wave.N]; !known {
		w.log.Info("wave asked for", zap.Int("wave", wave.N), zap.Int("machines", len(wave.Machines)), zap.Int("maxDown", wave.MaxDown))
	}
	w.waves[wave.N] = wave
}

// Upkeeps returns the state of the waves.
func (w *waves) Upkeeps() shard.Upkeeps {
	w.mu.Lock()
	u := shard.Upkeeps{Machines: w.machines, At: w.at}
	for _, wave := range w.waves {
		u.Waves = append(u.Waves, wave)
	}
	w.mu.Unlock()
	if len(u.Waves) == 0 {
		return u
	}
	u.Over = map[jobs.Upkeep]bool{}
	for _, t := range w.shards.All() {
		t.Upkeeps(u.Over)
	}
	return u
}

// loop reads the list of machines while a wave is open, and tells the operator how far the waves are.
func (w *waves) loop(ctx context.Context) {
	ticker := time.NewTicker(machinesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !w.owns() {
			continue
		}
		u := w.Upkeeps()
		open := false
		for i := range u.Waves {
			complete := u.Complete(&u.Waves[i])
			open = open || !complete
			if w.first() {
				w.tell(u.Waves[i].N, complete)
			}
		}
		if open {
			w.read()
		}
	}
}

func (w *waves) read() {
	begun := clock.BootMs()
	list, err := w.cloud.Machines(time.Now().Add(machinesTimeout))
	if err != nil {
		w.log.Warn("machines cannot be listed", zap.Error(err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines, w.at = list, begun
}

// tell writes the status of a wave once it changes.
func (w *waves) tell(wave int, complete bool) {
	rec := platform.WaveStatus(wave, complete)
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

// Upkeep takes a machine down.
func (w *waves) Upkeep(o pools.Order) pools.Reply {
	reply, err := w.cloud.Upkeep(o, time.Now().Add(upkeepTimeout))
	if err != nil {
		w.log.Warn("upkeep unanswered", zap.String("machine", o.Item), zap.Error(err))
		return pools.Reply{Kind: pools.NoReply}
	}
	return reply
}

package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// maxEndedWaves bounds the stored waves that have ended.
const maxEndedWaves = 50

func (s *State) changeWave(r Record) error {
	c := *r.Wave
	if c.Action == WavePlan {
		return s.planWave(c)
	}
	w := s.Waves[c.ID]
	if w == nil {
		return fmt.Errorf("wave %q does not exist", c.ID)
	}
	from, to, err := waveTransition(c.Action)
	if err != nil {
		return err
	}
	if !slices.Contains(from, w.Phase) {
		return fmt.Errorf("wave %q is %s, %s does not apply", w.ID, w.Phase, c.Action)
	}
	if err := s.checkWaveChange(w, c.Action); err != nil {
		return err
	}
	w.Phase, w.Reason, w.Gen = to, r.Reason, s.Offset
	return nil
}

// waveTransition returns the phases in which an action is allowed and the phase that follows it.
func waveTransition(a WaveAction) ([]WavePhase, WavePhase, error) {
	switch a {
	case WaveStart:
		return []WavePhase{Planned}, Running, nil
	case WavePause:
		return []WavePhase{Running}, Paused, nil
	case WaveResume:
		return []WavePhase{Paused, Stopped}, Running, nil
	case WaveAbort:
		return []WavePhase{Planned, Running, Paused, Stopped}, Aborted, nil
	case WaveStop:
		return []WavePhase{Running, Paused}, Stopped, nil
	case WaveDone:
		return []WavePhase{Running}, Done, nil
	case WavePlan:
	}
	return nil, "", fmt.Errorf("wave action %q is unknown", a)
}

func (s *State) checkWaveChange(w *Wave, a WaveAction) error {
	switch a {
	case WaveStart, WaveResume:
		return s.checkWaveOverlap(w)
	case WaveDone:
		return s.checkWaveDone(w)
	default:
		return nil
	}
}

// checkWaveOverlap returns an error if another running or paused wave has a pool of this wave.
// Together they could take out two racks of the pool at once.
func (s *State) checkWaveOverlap(w *Wave) error {
	for _, id := range sortedKeys(s.Waves) {
		o := s.Waves[id]
		if o == w || o.Phase != Running && o.Phase != Paused {
			continue
		}
		for _, p := range w.Pools {
			if slices.Contains(o.Pools, p) {
				return fmt.Errorf("wave %q is %s on pool %q", o.ID, o.Phase, p)
			}
		}
	}
	return nil
}

// checkWaveDone returns an error if VMs are out for the wave or a pending VM is active. Pending VMs that are
// unavailable for another reason, such as failed ones, do not prevent the end of the wave.
func (s *State) checkWaveDone(w *Wave) error {
	if len(w.Out) > 0 {
		return fmt.Errorf("wave %q has %d VMs out", w.ID, len(w.Out))
	}
	for _, id := range w.Pending {
		if vm := s.VMs[id]; vm != nil && vm.Phase == Active {
			return fmt.Errorf("VM %q of wave %q is active and still pending", id, w.ID)
		}
	}
	return nil
}

func (s *State) planWave(c WaveChange) error {
	if c.ID == "" || s.Waves[c.ID] != nil {
		return fmt.Errorf("wave ID %q is empty or taken", c.ID)
	}
	if len(c.Pools) == 0 || c.Batch < 0 || c.MaxBatch < 0 || c.MaxFailed < 0 {
		return fmt.Errorf("wave %q needs pools, and Batch, MaxBatch and MaxFailed of at least 0", c.ID)
	}
	w := &Wave{ID: c.ID, Batch: max(c.Batch, 1), MaxFailed: c.MaxFailed, Phase: Planned, Gen: s.Offset}
	w.MaxBatch = max(c.MaxBatch, w.Batch)
	for _, p := range c.Pools {
		if _, ok := s.Pool(p); !ok {
			return fmt.Errorf("pool %q does not exist", p)
		}
		w.Pools = insertSorted(w.Pools, p)
	}
	for _, p := range w.Pools {
		for id := range s.pools[p] {
			w.Pending = append(w.Pending, id)
		}
	}
	slices.Sort(w.Pending)
	s.Waves[w.ID] = w
	return nil
}

// checkWaveDrain returns an error if the drain of the VM would exceed MaxBatch
// or take out a second rack of the pool.
func (s *State) checkWaveDrain(id string, vm *VM) error {
	w := s.Waves[id]
	if w == nil {
		return fmt.Errorf("wave %q does not exist", id)
	}
	if w.Phase != Running {
		return fmt.Errorf("wave %q is %s", id, w.Phase)
	}
	if _, pending := slices.BinarySearch(w.Pending, vm.ID); !pending {
		return fmt.Errorf("VM %q is not pending in wave %q", vm.ID, id)
	}
	if len(w.Out) >= w.MaxBatch {
		return fmt.Errorf("wave %q has %d VMs out, its limit", id, len(w.Out))
	}
	for _, out := range w.Out {
		o := s.VMs[out]
		if o != nil && o.Pool == vm.Pool && (o.Rack != vm.Rack || o.DC != vm.DC) {
			return fmt.Errorf("wave %q has VM %q of rack %s out in pool %q", id, out, o.Rack, vm.Pool)
		}
	}
	return nil
}

func (s *State) markWaveOut(id, vm string) {
	w := s.Waves[id]
	w.Pending, _ = removeSorted(w.Pending, vm)
	w.Out = insertSorted(w.Out, vm)
	w.Gen = s.Offset
}

func (s *State) markWaveFinished(vm *VM) {
	w := s.Waves[vm.Wave]
	if w == nil {
		return
	}
	var out bool
	if w.Out, out = removeSorted(w.Out, vm.ID); out {
		w.Finished = insertSorted(w.Finished, vm.ID)
		w.Gen = s.Offset
	}
}

func (s *State) markWaveFailed(vm *VM, reason string) {
	w := s.Waves[vm.Wave]
	if w == nil {
		return
	}
	var out bool
	if w.Out, out = removeSorted(w.Out, vm.ID); !out {
		return
	}
	w.Failed = insertSorted(w.Failed, vm.ID)
	w.Gen = s.Offset
	if len(w.Failed) > w.MaxFailed && (w.Phase == Running || w.Phase == Paused) {
		w.Phase = Stopped
		w.Reason = fmt.Sprintf("%d VMs failed, more than MaxFailed %d; the last is %q: %s", len(w.Failed), w.MaxFailed, vm.ID, reason)
	}
}

func (s *State) removeFromWaves(vm string) {
	for _, w := range s.Waves {
		w.Pending, _ = removeSorted(w.Pending, vm)
		w.Out, _ = removeSorted(w.Out, vm)
	}
}

// pruneWaves deletes the waves that ended first if more than maxEndedWaves have ended.
// Waves with VMs out are kept.
func (s *State) pruneWaves() {
	if len(s.Waves) <= maxEndedWaves {
		return
	}
	var ended []*Wave
	for _, w := range s.Waves {
		if (w.Phase == Done || w.Phase == Aborted) && len(w.Out) == 0 {
			ended = append(ended, w)
		}
	}
	slices.SortFunc(ended, func(a, b *Wave) int { return cmp.Or(cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.ID, b.ID)) })
	for len(ended) > maxEndedWaves {
		delete(s.Waves, ended[0].ID)
		ended = ended[1:]
	}
}

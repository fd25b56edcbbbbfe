package assign

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sassafrasvalve/core/pools"
)

// Parameters of reports about waves.
const (
	// lateEventMs is the shortest interval between two events about a late wave.
	lateEventMs = 1000
	// maxNamedMachines bounds the machines that such an event names.
	maxNamedMachines = 8
	// upkeepLagMs is the time of an upkeep beside the machine's own: until the order is sent, and until the list shows its end.
	upkeepLagMs = 700
	// recoveryMs is the least time that a machine which is down needs until an upkeep can be ordered.
	recoveryMs = 1000
)

// WaveProgress compares a wave with the steady pace that ends it in time.
type WaveProgress struct {
	Wave    int
	Left    int // machines whose upkeep is not done
	Planned int // those that should be left by now

	seenAt, lateAt int64 // local ms of the first plan, and of the last event that it is late
	total          int   // Left at seenAt
}

// WaveProgress returns the progress of the waves with a due time that have machines left, sorted by number, as of the last call of
// Plan.
func (c *Controller) WaveProgress() []WaveProgress {
	var list []WaveProgress
	for _, n := range slices.Sorted(maps.Keys(c.progress)) {
		if p := c.progress[n]; p.Left > 0 {
			list = append(list, *p)
		}
	}
	return list
}

// updateProgress updates the progress of a wave with these machines left, and reports early if it can't be done in time.
func (c *Controller) updateProgress(w *pools.Wave, due []*machine, down int, now int64) {
	left := len(due) + down
	if w.DueMs == 0 {
		return
	}
	p := c.progress[w.Number]
	if p == nil {
		p = &WaveProgress{Wave: w.Number, seenAt: now, total: left}
		c.progress[w.Number] = p
	}
	p.Left = left
	p.Planned = int(int64(p.total) * max(w.DueMs-waveReserveMs-now, 0) / max(w.DueMs-waveReserveMs-p.seenAt, 1))
	late := c.lateMachines(w, due, down, now)
	if len(late) == 0 || p.lateAt > 0 && now-p.lateAt < lateEventMs {
		return
	}
	p.lateAt = now
	names := make([]string, 0, maxNamedMachines)
	for _, m := range late[:min(len(late), maxNamedMachines)] {
		names = append(names, strings.TrimSpace(m.ID+" "+m.VM))
	}
	c.addEvent("", "wave late", fmt.Sprintf("%d of %d machines left are in the way: %s", len(late), left, strings.Join(names, ", ")), w.Number)
}

// lateMachines returns the machines of a wave that will not be done in time at the usual speed. As many as may be down go at once; VMs in use of one pool are vacated minVacatingVMs at a time
// while they hold its persistent items.
func (c *Controller) lateMachines(w *pools.Wave, due []*machine, down int, now int64) []*machine {
	var late []*machine
	inUse := map[string]int{}
	cycleMs := c.cfg.UpkeepMs + upkeepLagMs
	for i, m := range due {
		ms := cycleMs * int64((i+down)/max(w.MaxDown, 1)+1)
		switch {
		case m.State == pools.MachineDown:
			ms = max(ms, recoveryMs+cycleMs)
		case m.State != pools.MachineUp || c.interruptsNoWork(m):
		default:
			turn := 0
			if p := c.poolDemand(m.Pool); p != nil && inUse[m.Pool] < p.Report.Min {
				turn = inUse[m.Pool] / minVacatingVMs
			}
			inUse[m.Pool]++
			waitMs := vacateMs * int64(turn+1)
			if c.isVacating(m) {
				waitMs -= vacateMs // it may be vacated at any time now
			}
			ms = max(ms, waitMs+cycleMs)
		}
		if now+ms > w.DueMs {
			late = append(late, m)
		}
	}
	return late
}

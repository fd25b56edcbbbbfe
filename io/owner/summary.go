package owner

import (
	"time"

	"go.uber.org/zap"

	"sassafrasvalve/io/stats"
)

// summaryIntervalMs is the interval of the summaries of a pool in the log.
const summaryIntervalMs = 1000

// tickStats counts the ticks of a pool's loop. A job waits for a tick when it is accepted, when its next step may start
// and when its end is recorded, so long ticks and the pauses behind them make all jobs late.
type tickStats struct {
	count          int
	total, longest time.Duration
}

// add records the duration of a tick.
func (t *tickStats) add(took time.Duration) {
	t.count++
	t.total += took
	t.longest = max(t.longest, took)
}

// logState logs and counts the engine's events, and logs a summary of the pool every summaryIntervalMs. It is called with
// mu held.
func (r *poolRun) logState(now int64) {
	if now-r.summaryAtMs >= summaryIntervalMs {
		r.summaryAtMs = now
		c := r.engine.Counts(now)
		r.load.Store(int64(c.Runs + c.Jobs))
		accounts := zap.Skip()
		if list := r.updateAccounts(now); len(list) > 0 {
			accounts = zap.Any("accounts", list)
		}
		r.log.Info("pool state", zap.Int("jobs", c.Jobs), zap.Int("waiting", c.Waiting), zap.Int("runs", c.Runs),
			zap.Int("waitingItems", c.WaitingItems), zap.Int("noRoom", c.NoRoom),
			zap.Int("vms", c.VMs), zap.Int("usable", c.Usable), zap.Int("want", c.Want), zap.Int64("freeCPU", c.FreeCPU),
			zap.Int("closed", c.Closed), zap.Int64("closedFreeCPU", c.ClosedFreeCPU), zap.Int("offered", c.Offered),
			zap.Int("starting", c.Starting), zap.Int("mostStarting", c.MostStarting), zap.Int("held", c.Held),
			zap.Int("unasked", c.Unasked), zap.Int("unrecorded", c.Unrecorded), zap.Duration("turns", r.ticks.total),
			zap.Int("turnCount", r.ticks.count), zap.Duration("longestTurn", r.ticks.longest),
			zap.Int64("confirmedAgo", now-r.o.health.confirmedAtMs.Load()), zap.Int64("readAgo", now-r.jobLog.Position().ReadAtMs), accounts)
		r.ticks = tickStats{}
	}
	for _, ev := range r.engine.TakeEvents() {
		r.log.Info(ev.Name, zap.String("job", ev.JobID), zap.String("vm", ev.VM), zap.String("reason", ev.Reason), zap.Int("n", ev.N))
		r.cfg.Stats.Count("sassafrasvalve_decisions_total", stats.Labels{{Name: "what", Value: ev.Name}}, 1)
	}
}

package owner

import (
	"go.uber.org/zap"

	"sassafrasvalve/io/stats"
)

// stateEvery is the pause between two summaries of a pool in the log, in milliseconds.
const stateEvery = 1000

// report writes the engine's decisions to the log, and a summary now and then.
func (r *run) report(now int64) {
	if now-r.stateAt >= stateEvery {
		r.stateAt = now
		c := r.engine.Counts(now)
		r.work.Store(int64(c.Runs + c.Jobs))
		r.log.Info("pool state", zap.Int("jobs", c.Jobs), zap.Int("waiting", c.Waiting), zap.Int("runs", c.Runs),
			zap.Int("vms", c.VMs), zap.Int("usable", c.Usable), zap.Int("want", c.Want), zap.Int64("freeCPU", c.FreeCPU),
			zap.Int("starting", c.Starting), zap.Int("mostStarting", c.MostStarting), zap.Int("held", c.Held),
			zap.Int("unasked", c.Unasked), zap.Int("unrecorded", c.Unrecorded), zap.Duration("turns", r.turns),
			zap.Int64("confirmedAgo", now-r.o.health.confirmed.Load()), zap.Int64("readAgo", now-r.ledger.Position().ReadAtMs))
		r.turns = 0
	}
	for _, n := range r.engine.TakeEvents() {
		r.log.Info(n.Name, zap.String("job", n.JobID), zap.String("vm", n.VM), zap.String("reason", n.Reason), zap.Int("n", n.N))
		r.cfg.Stats.Count("sassafrasvalve_decisions_total", stats.Labels{{Name: "what", Value: n.Name}}, 1)
	}
}

package cmds

import (
	"context"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/io/admin"
)

// waves returns the commands for maintenance waves.
func (b builder) waves() *cli.Command {
	fetch := func(ctx context.Context, c *admin.Client, _ *session) (admin.WaveList, error) { return c.Waves(ctx) }
	return b.group("wave", "Plan and drive maintenance waves",
		b.command("plan", "WAVE", "Plan a wave that reboots the VMs of pools", wavePlan, writeFlags(
			&cli.StringSliceFlag{Name: "pool", Required: true, Usage: "pool to maintain; may be repeated"},
			&cli.IntFlag{Name: "batch", Value: 1, Usage: "VMs out at once at the start"},
			&cli.IntFlag{Name: "max-batch", Value: 1, Usage: "VMs out at once after growth"},
			&cli.IntFlag{Name: "max-failed", Usage: "failed VMs above which the wave stops"})...),
		b.command("start", "WAVE", "Start a planned wave", waveChange(fleet.WaveStart), writeFlags()...),
		b.command("pause", "WAVE", "Pause a running wave; VMs already out come back", waveChange(fleet.WavePause), writeFlags()...),
		b.command("resume", "WAVE", "Resume a paused or stopped wave", waveChange(fleet.WaveResume), writeFlags()...),
		b.command("abort", "WAVE", "End a wave for good; VMs already out come back", waveChange(fleet.WaveAbort), writeFlags()...),
		b.command("list", "", "List the waves", show(fetch, waveRows)),
	)
}

// wavePlan validates the flags and plans a wave.
func wavePlan(ctx context.Context, s *session) error {
	batch, maxBatch, maxFailed := s.cmd.Int("batch"), s.cmd.Int("max-batch"), s.cmd.Int("max-failed")
	if !s.cmd.IsSet("max-batch") {
		maxBatch = max(maxBatch, batch)
	}
	switch {
	case batch < 1:
		return failed(ExitUsage, "--batch %d takes no VM out: use at least 1", batch)
	case maxBatch < batch:
		return failed(ExitUsage, "--max-batch %d is below --batch %d: raise it or leave it out", maxBatch, batch)
	case maxFailed < 0:
		return failed(ExitUsage, "--max-failed %d is negative: use 0 to stop at the first failure", maxFailed)
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	id, err := s.recordID()
	if err != nil {
		return err
	}
	return s.printDecision(c.PlanWave(ctx, admin.WavePlanRequest{
		ID: id, Wave: s.arg(), Pools: s.cmd.StringSlice("pool"), Batch: batch, MaxBatch: maxBatch, MaxFailed: maxFailed,
		Writer: s.cmd.String("writer"), Reason: s.cmd.String("reason"),
	}))
}

// waveChange returns the action that requests a change of a wave's phase.
func waveChange(change fleet.WaveAction) action {
	return func(ctx context.Context, s *session) error {
		c, err := s.client()
		if err != nil {
			return err
		}
		id, err := s.recordID()
		if err != nil {
			return err
		}
		return s.printDecision(c.ChangeWave(ctx, s.arg(), change, admin.WaveRequest{
			ID: id, Writer: s.cmd.String("writer"), Reason: s.cmd.String("reason"),
		}))
	}
}

// waveRows returns the table of waves, with a header and one row per wave.
func waveRows(list admin.WaveList) [][]string {
	rows := rowsOf([]string{"WAVE", "PHASE", "POOLS", "BATCH", "PENDING", "OUT", "FINISHED", "FAILED", "REASON"}, list.Waves, func(v fleet.Wave) []string {
		return []string{
			v.ID, string(v.Phase), strings.Join(v.Pools, " "), strconv.Itoa(v.Batch) + "-" + strconv.Itoa(v.MaxBatch), strconv.Itoa(len(v.Pending)),
			strings.Join(v.Out, " "), strconv.Itoa(len(v.Finished)), strings.Join(v.Failed, " "), v.Reason,
		}
	})
	return rows
}

package cmds

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
	"sassafrasvalve/io/dump"
	"sassafrasvalve/platform"
)

// stored returns the commands that show what entries on the platform have stored.
func (b builder) stored() *cli.Command {
	source := []cli.Flag{
		&cli.StringFlag{Name: "store", Usage: "IP:port of the platform's log"},
		&cli.StringFlag{Name: "dump", Usage: "file that 'stored dump' wrote, instead of the log"},
	}
	list := func(name, usage string, rows func(v *dump.View) [][]string, data func(v *dump.View) any) *cli.Command {
		return b.command(name, "", usage, func(_ context.Context, s *session) error {
			v, err := s.view()
			if err != nil {
				return err
			}
			return s.print(data(v), func(w *strings.Builder) {
				table(w, rows(v)...)
				writeFaults(w, v)
			})
		}, source...)
	}
	return b.group("stored", "Show what entries on the platform have stored in its log",
		b.command("dump", "", "Print the records as JSON lines, to look at later with --dump", func(_ context.Context, s *session) error {
			all, err := s.records()
			if err != nil {
				return err
			}
			return dump.Write(s.streams.Out, all)
		}, source...),
		list("shards", "List who owns the jobs of each service, and how many VMs its pool can use", shardRows,
			func(v *dump.View) any { return v.Shards }),
		list("jobs", "List the jobs", storedJobRows, func(v *dump.View) any { return v.Jobs }),
		b.command("job", "ID", "Show a job with what is recorded of its items", storedJob, source...),
		list("vms", "List the VMs that the platform publishes", vmRows, func(v *dump.View) any { return v.VMs }),
		list("waves", "List the waves of upkeep", storedWaveRows, func(v *dump.View) any { return v.Waves }),
	)
}

// records reads the records from the log or from a dump.
func (s *session) records() ([]dump.Record, error) {
	addr, path := s.cmd.String("store"), s.cmd.String("dump")
	switch {
	case (addr == "") == (path == ""):
		return nil, failed(ExitUsage, "give either --store IP:port, the address of the platform's log, or --dump FILE")
	case path != "":
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, failed(ExitUsage, "--dump: %v", err)
		}
		all, err := dump.Parse(bytes.NewReader(data))
		if err != nil {
			return nil, failed(ExitUsage, "%s: %v: give a file that 'stored dump' wrote", path, err)
		}
		return all, nil
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, failed(ExitUsage, "--store %q is not IP:port; host names are not looked up", addr)
	}
	store := platform.NewStore(addr)
	defer store.Close()
	all, err := dump.Read(store, time.Now().Add(s.cmd.Duration("timeout")))
	if err != nil {
		return nil, failed(ExitUnreachable, "%v\ncheck the address given with --store and that the log answers", err)
	}
	return all, nil
}

// view reads the records and folds them.
func (s *session) view() (*dump.View, error) {
	all, err := s.records()
	if err != nil {
		return nil, err
	}
	return dump.Fold(all), nil
}

// writeFaults writes the errors of records that cannot be decoded.
func writeFaults(w *strings.Builder, v *dump.View) {
	for _, f := range v.Faults {
		fmt.Fprintf(w, "cannot be read: %s\n", sanitize(f))
	}
}

// shardRows returns the table of shards, with a header and one row per shard.
func shardRows(v *dump.View) [][]string {
	return rowsOf([]string{"SERVICE", "SHARD", "OWNER", "PEER", "EPOCH", "REASON", "WANT", "MIN", "OFFERS", "CLEAR"}, v.Shards,
		func(s dump.Shard) []string {
			return []string{
				s.Service, strconv.Itoa(s.Part), s.Claim.Owner, s.Claim.Addr, strconv.FormatInt(s.Claim.Epoch, 10), s.Claim.Reason,
				strconv.Itoa(s.Post.Want), strconv.Itoa(s.Post.Min), strconv.Itoa(len(s.Post.Offers)), strconv.Itoa(len(s.Post.Clear)),
			}
		})
}

// storedJobRows returns the table of jobs, with a header and one row per job.
func storedJobRows(v *dump.View) [][]string {
	return rowsOf([]string{"JOB", "SERVICE", "QUEUE", "STATE", "ACCEPTED", "DONE", "RUNNING"}, v.Jobs, func(j dump.Job) []string {
		queue, accepted := "", ""
		if j.Job != nil {
			queue, accepted = j.Job.Queue, time.UnixMilli(j.Job.AcceptedMs).UTC().Format(time.RFC3339Nano)
		}
		done, running := 0, 0
		for _, it := range j.Progress.Items {
			if it.Done {
				done++
			} else if it.VM != "" {
				running++
			}
		}
		return []string{j.ID, v.Service(j.Part), queue, j.State, accepted, strconv.Itoa(done), strconv.Itoa(running)}
	})
}

// storedJob prints a job with its items.
func storedJob(_ context.Context, s *session) error {
	v, err := s.view()
	if err != nil {
		return err
	}
	j := v.Find(s.arg())
	if j == nil {
		return failed(ExitFailed, "no record is about job %q: it was not accepted, or its records have been removed", sanitize(s.arg()))
	}
	return s.print(j, func(w *strings.Builder) {
		fmt.Fprintf(w, "%s: %s, shard %d (%s)\n", sanitize(j.ID), j.State, j.Part, sanitize(v.Service(j.Part)))
		if j.Cancelled {
			w.WriteString("its cancel is recorded\n")
		}
		if j.Job != nil {
			fmt.Fprintf(w, "handed in at queue %s, accepted at %s, %d steps, %d core-ms\n", sanitize(j.Job.Queue),
				time.UnixMilli(j.Job.AcceptedMs).UTC().Format(time.RFC3339Nano), len(j.Job.Steps), j.Job.CoreMs())
		}
		rows := rowsOf([]string{"ITEM", "RUN", "VM", "DONE", "FAILED RUNS", "CHECKPOINT"}, j.Progress.Items, func(it jobs.ItemState) []string {
			return []string{
				jobs.Item{K: it.K, Step: it.Step, Index: it.Index}.Name(j.ID), strconv.Itoa(it.Run), it.VM,
				strconv.FormatBool(it.Done), strconv.Itoa(len(it.Failed)), it.Ref,
			}
		})
		table(w, rows...)
	})
}

// vmRows returns the table of VMs, with a header and one row per VM.
func vmRows(v *dump.View) [][]string {
	return rowsOf([]string{"VM", "SERVICE", "ADDR", "DC", "LABELS", "CORES", "MB", "DRAINING"}, v.VMs, func(vm pools.VM) []string {
		return []string{
			vm.ID, vm.Service, vm.Addr, vm.DC, strings.Join(vm.Labels, ","), strconv.FormatFloat(float64(vm.CPU)/milliCoresPerCore, 'f', 1, 64),
			strconv.FormatInt(vm.MemMB, 10), strconv.FormatBool(vm.Draining),
		}
	})
}

// milliCoresPerCore converts the CPU of VMs, which is in thousandths of a core.
const milliCoresPerCore = 1000

// storedWaveRows returns the table of waves of upkeep, with a header and one row per wave.
func storedWaveRows(v *dump.View) [][]string {
	return rowsOf([]string{"WAVE", "MACHINES", "MAX DOWN", "ORDERED", "DONE", "LEFT"}, v.Waves, func(wv dump.Wave) []string {
		left := len(wv.Machines) - len(wv.Ordered) - len(wv.Done)
		return []string{
			strconv.Itoa(wv.N), strconv.Itoa(len(wv.Machines)), strconv.Itoa(wv.MaxDown), strconv.Itoa(len(wv.Ordered)),
			strconv.Itoa(len(wv.Done)), strconv.Itoa(left),
		}
	})
}

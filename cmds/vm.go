package cmds

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/io/admin"
)

// vms returns the commands for VMs.
func (b builder) vms() *cli.Command {
	gen := &cli.Int64Flag{Name: "gen", Usage: "expected generation of the VM; rejected if it has changed; 0 takes the present one"}
	return b.group("vm", "Show and change VMs",
		b.command("list", "", "List the VMs", vmList,
			&cli.StringFlag{Name: "pool", Usage: "only VMs of this pool"},
			&cli.StringFlag{Name: "phase", Usage: "only VMs in this phase, such as Draining"}),
		b.command("drain", "VM", "Take a VM out of routing, within the budgets", vmWrite((*admin.Client).Drain), writeFlags(gen,
			&cli.BoolFlag{Name: "reboot", Usage: "reboot the VM when it is drained and return it to its pool"})...),
		b.command("move", "VM", "Drain a VM and put it into another pool", vmWrite((*admin.Client).Move), writeFlags(gen,
			&cli.StringFlag{Name: "to", Required: true, Usage: "target pool"})...),
		b.command("activate", "VM", "Return a VM to routing in its pool", vmWrite((*admin.Client).Activate), writeFlags(gen)...),
		b.command("explain", "VM", "Show every record that changed a VM", vmExplain),
	)
}

// vmList prints the VMs that match --pool and --phase.
func vmList(ctx context.Context, s *session) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	list, err := c.VMs(ctx)
	if err != nil {
		return err
	}
	pool, phase := s.cmd.String("pool"), s.cmd.String("phase")
	matching := []fleet.VM{}
	for _, vm := range list.VMs {
		if (pool == "" || vm.Pool == pool) && (phase == "" || strings.EqualFold(string(vm.Phase), phase)) {
			matching = append(matching, vm)
		}
	}
	list.VMs = matching
	return s.print(list, func(w *strings.Builder) {
		rows := rowsOf([]string{"VM", "POOL", "PHASE", "PURPOSE", "TO", "WAVE", "ADDR", "DC", "RACK", "GEN"}, list.VMs, func(vm fleet.VM) []string {
			return []string{
				vm.ID, vm.Pool, string(vm.Phase), string(vm.Purpose), vm.To, vm.Wave, vm.Addr, vm.DC, vm.Rack, strconv.FormatInt(vm.Gen, 10),
			}
		})
		table(w, rows...)
	})
}

// vmCall is a method of admin.Client that changes a VM.
type vmCall func(c *admin.Client, ctx context.Context, vm string, req admin.VMRequest) (admin.Decision, error) //nolint:revive // method expression

// vmWrite returns the action that calls a method that changes a VM.
func vmWrite(call vmCall) action {
	return func(ctx context.Context, s *session) error {
		c, err := s.client()
		if err != nil {
			return err
		}
		id, err := s.recordID()
		if err != nil {
			return err
		}
		return s.printDecision(call(c, ctx, s.arg(), admin.VMRequest{
			ID: id, Gen: s.cmd.Int64("gen"), To: s.cmd.String("to"), Reboot: s.cmd.Bool("reboot"),
			Writer: s.cmd.String("writer"), Reason: s.cmd.String("reason"),
		}))
	}
}

// vmExplain prints the state and the history of a VM.
func vmExplain(ctx context.Context, s *session) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	d, err := c.VM(ctx, s.arg())
	if err != nil {
		return err
	}
	return s.print(d, func(w *strings.Builder) {
		vm := d.VM
		fmt.Fprintf(w, "%s: %s in pool %s, generation %d, %s rack %s, as of offset %d\n",
			sanitize(vm.ID), vm.Phase, sanitize(vm.Pool), vm.Gen, sanitize(vm.DC), sanitize(vm.Rack), d.Through)
		if len(vm.Acked) > 0 {
			fmt.Fprintf(w, "drain confirmed by %s\n", sanitize(strings.Join(vm.Acked, ", ")))
		}
		for _, h := range d.Holds {
			fmt.Fprintf(w, "- %s\n", strings.ReplaceAll(sanitize(h), "\n", " "))
		}
		rows := rowsOf([]string{"OFFSET", "RECORD", "RULE", "WRITER", "FROM", "PHASE", "POOL", "REASON"}, vm.History, func(h fleet.Step) []string {
			return []string{
				strconv.FormatInt(h.Offset, 10), string(h.Kind), h.Rule, h.Writer, string(h.From), string(h.Phase), h.Pool, h.Reason,
			}
		})
		table(w, rows...)
	})
}

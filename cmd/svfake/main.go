// Command svfake runs the fakes of the platform and of a worker as separate processes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/fake/cloud"
	"sassafrasvalve/fake/worker"
)

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "svfake:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "svfake",
		Usage:    "Run a stand-in of an outside system on a loopback address",
		Commands: []*cli.Command{platformCommand(), workerCommand()},
	}
	return root.Run(ctx, args)
}

// platformCommand returns the command that runs the fake of the platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "cloud",
		Usage: "Run the platform: log, VM list and tasks",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "IP:port"},
			&cli.StringFlag{Name: "vms", Usage: "JSON file with the listed VMs"},
			&cli.DurationFlag{Name: "list-lag", Usage: "by which the VM list lags"},
			&cli.DurationFlag{Name: "reboot-time", Value: 2 * time.Second, Usage: "of a VM"},
			&cli.IntFlag{Name: "retain", Usage: "records kept in the log; 0 means the default"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of random faults"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			vms, err := readVMs(c.String("vms"))
			if err != nil {
				return err
			}
			var lc net.ListenConfig
			ln, err := lc.Listen(ctx, "tcp", c.String("listen"))
			if err != nil {
				return err
			}
			s := cloud.New(cloud.Config{
				Seed: c.Uint64("seed"), VMs: vms, ListLag: c.Duration("list-lag"),
				RebootTime: c.Duration("reboot-time"), Retain: c.Int("retain"),
				OnReboot: func(vm string) { go rebootWorker(ctx, vms, vm, c.Duration("reboot-time")/2) },
			})
			return s.Run(ctx, ln)
		},
	}
}

// rebootWorker requests the worker of a VM to stop serving for the duration down. It prints an error if the request fails.
func rebootWorker(ctx context.Context, vms []cloud.VM, id string, down time.Duration) {
	i := slices.IndexFunc(vms, func(vm cloud.VM) bool { return vm.ID == id })
	if i < 0 {
		return
	}
	url := fmt.Sprintf("http://%s/reboot?down=%s", vms[i].Addr, down)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "reboot:", err)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, "reboot:", err)
		return
	}
	_ = resp.Body.Close()
}

// readVMs reads the VMs to list from a JSON file. An empty path gives none.
func readVMs(path string) ([]cloud.VM, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var vms []cloud.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, fmt.Errorf("decode the VMs in %s: %w", path, err)
	}
	return vms, nil
}

// workerCommand returns the command that runs the fake of a worker.
func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "Run a worker",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "IP:port"},
			&cli.StringFlag{Name: "name", Value: "worker", Usage: "VM name in answers"},
			&cli.BoolFlag{Name: "enforce", Usage: "refuse requests above the slots instead of counting them"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return worker.Run(ctx, worker.Config{Addr: c.String("listen"), Name: c.String("name"), Enforce: c.Bool("enforce")})
		},
	}
}

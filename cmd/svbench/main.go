// Command svbench runs the experiments of the packages bench and bench/fleet, and reads the journal with bench/plays.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/bench"
	"sassafrasvalve/bench/fleet"
	"sassafrasvalve/bench/plays"
)

func main() {
	app := &cli.Command{
		Name:  "svbench",
		Usage: "run experiments with the decision code on a simulated clock",
		Commands: []*cli.Command{{
			Name:  "load",
			Usage: "measure admission and slot sharing under load and failures",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "fleet", Value: "all", Usage: "fleets, separated by commas"},
				&cli.StringFlag{Name: "scenario", Value: "all", Usage: "scenarios, separated by commas"},
				&cli.StringFlag{Name: "policy", Value: "all", Usage: "policies, separated by commas"},
				&cli.StringFlag{Name: "spread", Value: "all", Usage: "spread of arrivals over entries: even, skewed"},
				&cli.IntFlag{Name: "seeds", Value: 5, Usage: "runs per combination"},
				&cli.IntFlag{Name: "parallel", Value: 3, Usage: "runs at once"},
				&cli.BoolFlag{Name: "tenants", Usage: "show a line per tenant"},
				&cli.StringFlag{Name: "csv", Usage: "write all rows to this file"},
			},
			Action: runLoad,
		}, {
			Name:  "fleet",
			Usage: "measure the controller: roll-outs, repair and moves",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "fleet", Value: "all", Usage: "fleets, separated by commas: kegelbaan, apvieniba, target"},
				&cli.StringFlag{Name: "experiment", Value: "all", Usage: "experiments, separated by commas: rollout, buffer, image, days"},
				&cli.IntFlag{Name: "seeds", Value: 5, Usage: "runs per line"},
				&cli.StringFlag{Name: "planner", Value: "all", Usage: "planners, separated by commas"},
				&cli.IntFlag{Name: "spares", Usage: "VMs of the spare pool of a region; 0 means as the fleet has"},
				&cli.IntFlag{Name: "days", Value: 7, Usage: "length of the runs of experiment days"},
				&cli.StringFlag{Name: "csv", Usage: "write all rows to this file"},
			},
			Action: runFleet,
		}, {
			Name:  "plays",
			Usage: "name the days of the journal that need a look",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "journal", Value: "journal", Usage: "folder with the entries of the platform's bench"},
				&cli.IntFlag{Name: "last", Value: 10, Usage: "newest entries to read; 0 means all"},
			},
			Action: runPlays,
		}},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "svbench:", err)
		os.Exit(1)
	}
}

// runLoad runs the load experiments.
func runLoad(_ context.Context, cmd *cli.Command) error {
	results, err := bench.Load(bench.Options{
		Fleets: bench.Split(cmd.String("fleet")), Scenarios: bench.Split(cmd.String("scenario")),
		Policies: bench.Split(cmd.String("policy")), Spreads: bench.Split(cmd.String("spread")),
		Seeds: cmd.Int("seeds"), Parallel: cmd.Int("parallel"),
	})
	if err != nil {
		return err
	}
	if path := cmd.String("csv"); path != "" {
		if err := writeCSV(path, results); err != nil {
			return err
		}
	}
	return bench.WriteTable(os.Stdout, results, cmd.Bool("tenants"))
}

// runFleet runs the experiments of the controller.
func runFleet(_ context.Context, cmd *cli.Command) error {
	cfg := fleet.Config{
		Shapes: bench.Split(cmd.String("fleet")), Experiments: bench.Split(cmd.String("experiment")),
		Planners: bench.Split(cmd.String("planner")), Spares: cmd.Int("spares"),
		Seeds: cmd.Int("seeds"), Days: cmd.Int("days"),
	}
	path := cmd.String("csv")
	if path == "" {
		return fleet.Run(os.Stdout, cfg)
	}
	return toFile(path, func(w io.Writer) error {
		cfg.CSV = w
		return fleet.Run(os.Stdout, cfg)
	})
}

func writeCSV(path string, results []bench.Result) error {
	return toFile(path, func(w io.Writer) error { return bench.WriteCSV(w, results) })
}

// toFile creates a file and calls write for its content.
func toFile(path string, write func(io.Writer) error) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	return write(f)
}

// runPlays prints the days of the journal that plays.Write selects.
func runPlays(_ context.Context, cmd *cli.Command) error {
	list, err := plays.Load(cmd.String("journal"))
	if err != nil {
		return err
	}
	newest := list
	if n := cmd.Int("last"); n > 0 && n < len(list) {
		newest = list[len(list)-n:]
	}
	return plays.Write(os.Stdout, list, newest)
}

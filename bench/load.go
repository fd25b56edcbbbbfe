package bench

import (
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Options selects the runs of the load experiment. An empty list selects all names.
type Options struct {
	Fleets    []string
	Scenarios []string
	Policies  []string
	Spreads   []string
	Seeds     int
	Parallel  int // concurrent runs; each takes up to about 50 MB
}

// Load runs the load experiment and returns one result per fleet, scenario, spread and policy, merged over all seeds.
// It returns an error for an unknown name.
func Load(o Options) ([]Result, error) {
	setups, err := o.setups()
	if err != nil {
		return nil, err
	}
	seeds := max(1, o.Seeds)
	runs := make([][]Result, len(setups))
	var g errgroup.Group
	g.SetLimit(max(1, o.Parallel))
	for i, s := range setups {
		runs[i] = make([]Result, seeds)
		for k := range seeds {
			g.Go(func() error {
				u := s
				u.Seed = uint64(k + 1)
				runs[i][k] = Run(u)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	out := make([]Result, len(setups))
	for i := range runs {
		out[i] = merge(runs[i])
	}
	return out, nil
}

func (o Options) setups() ([]Setup, error) {
	if len(o.Fleets) == 0 {
		o.Fleets = []string{"kegelbaan", "apvieniba"}
	}
	if len(o.Spreads) == 0 {
		o.Spreads = []string{string(Even), string(Skewed)}
	}
	if len(o.Policies) == 0 {
		for _, p := range Policies() {
			o.Policies = append(o.Policies, p.Name)
		}
	}
	var out []Setup
	for _, name := range o.Fleets {
		f, err := fleet(name)
		if err != nil {
			return nil, err
		}
		names := o.Scenarios
		if len(names) == 0 {
			for _, s := range Scenarios(f) {
				names = append(names, s.Name)
			}
		}
		for _, sn := range names {
			s, err := scenario(f, sn)
			if err != nil {
				return nil, err
			}
			for _, sp := range o.Spreads {
				if Spread(sp) != Even && Spread(sp) != Skewed {
					return nil, fmt.Errorf("spread %q does not exist; there are %s and %s", sp, Even, Skewed)
				}
				for _, pn := range o.Policies {
					p, err := policy(pn)
					if err != nil {
						return nil, err
					}
					out = append(out, Setup{Fleet: f, Scenario: s, Policy: p, Spread: Spread(sp)})
				}
			}
		}
	}
	return out, nil
}

// Split splits a list of names at commas. "all" and "" mean all names.
func Split(list string) []string {
	if list == "" || list == "all" {
		return nil
	}
	return strings.Split(list, ",")
}

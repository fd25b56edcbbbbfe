package fleet

import (
	"fmt"

	"sassafrasvalve/core/spec"
)

func (s *State) configure(r Record) error {
	c := *r.Configure
	if c.Base != s.Config.Version {
		return fmt.Errorf("base version %d is not the version in force, %d", c.Base, s.Config.Version)
	}
	if s.cfg.Validate != nil {
		if problems := s.cfg.Validate(c.Fleet); len(problems) > 0 {
			return fmt.Errorf("%d problems, the first: %w", len(problems), problems[0])
		}
	}
	if err := s.checkPlacement(c.Fleet); err != nil {
		return err
	}
	s.Config = Config{Version: c.Base + 1, Offset: s.Offset, Writer: r.Writer, Fleet: c.Fleet}
	return nil
}

// checkPlacement returns an error if pools are defined twice, or if the pool of a service or of an
// existing VM is missing or in another region than the VM.
func (s *State) checkPlacement(f spec.Fleet) error {
	pools := map[string]spec.Pool{}
	for _, p := range f.Pools {
		if _, ok := pools[p.Name]; ok {
			return fmt.Errorf("pool %q is defined twice", p.Name)
		}
		pools[p.Name] = p
	}
	for _, svc := range f.Services {
		if _, ok := pools[svc.Pool]; !ok {
			return fmt.Errorf("service %q is placed on pool %q, which does not exist", svc.Name, svc.Pool)
		}
	}
	for _, id := range sortedKeys(s.VMs) {
		vm := s.VMs[id]
		p, ok := pools[vm.Pool]
		if !ok {
			return fmt.Errorf("pool %q still holds VM %q and cannot be removed", vm.Pool, id)
		}
		if p.Region != "" && p.Region != vm.Region {
			return fmt.Errorf("pool %q is in region %q but holds VM %q of region %q", p.Name, p.Region, id, vm.Region)
		}
	}
	return nil
}

// Pool returns the configuration of a pool, and false if the pool does not exist.
func (s *State) Pool(name string) (spec.Pool, bool) {
	for _, p := range s.Config.Fleet.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return spec.Pool{}, false
}

func (s *State) checkPool(name, region string) error {
	p, ok := s.Pool(name)
	if !ok {
		return fmt.Errorf("pool %q does not exist", name)
	}
	if p.Region != "" && p.Region != region {
		return fmt.Errorf("pool %q is in region %q, the VM is in %q", name, p.Region, region)
	}
	return nil
}

func (s *State) checkJobTarget(j Job) error {
	service, class := false, false
	for _, svc := range s.Config.Fleet.Services {
		service = service || svc.Name == j.Service
	}
	for _, c := range s.Config.Fleet.Classes {
		class = class || c.Name == j.Class && c.Deferrable
	}
	switch {
	case !service:
		return fmt.Errorf("service %q does not exist", j.Service)
	case !class:
		return fmt.Errorf("class %q does not exist or is not deferrable", j.Class)
	}
	return nil
}

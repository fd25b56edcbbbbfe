package sched

import (
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/slots"
	"sassafrasvalve/core/spec"
)

// Worker is a routable VM of a pool.
type Worker struct {
	VM   string
	Addr string // IP:port
	DC   string
}

// View is the part of the folded state that a pool's scheduler uses.
type View struct {
	Self        string   // member ID of this entry
	Members     []string // live members of the region
	Workers     []Worker // active VMs of the pool
	Slots       int      // per worker, over all entries; 0 means spec.DefaultSlots
	Connections int      // per worker, over all entries; 0 means spec.DefaultConnections
	Classes     []spec.Class
	Tenants     []spec.Tenant
}

func (v View) slotsView() slots.View {
	out := slots.View{Self: v.Self, Members: v.Members, Slots: v.Slots, Connections: v.Connections}
	if out.Slots <= 0 {
		out.Slots = spec.DefaultSlots
	}
	if out.Connections <= 0 {
		out.Connections = spec.DefaultConnections
	}
	for _, w := range v.Workers {
		out.Workers = append(out.Workers, w.VM)
	}
	for _, c := range v.Classes {
		out.Classes = append(out.Classes, slots.Class{Name: c.Name, Rank: c.Rank, Share: c.Share, Ceiling: c.Ceiling})
	}
	return out
}

func (v View) admitConfig() admit.Config {
	var out admit.Config
	for _, c := range v.Classes {
		out.Classes = append(out.Classes, admit.Class{
			Name: c.Name, Rank: c.Rank, Share: c.Share, Ceiling: c.Ceiling,
			MaxWait: time.Duration(c.MaxWait), Deferrable: c.Deferrable,
		})
	}
	// Tenant rates apply to all entries together. Each entry grants an equal share.
	n := max(1, len(v.Members))
	for _, t := range v.Tenants {
		burst := t.Burst
		if burst > 0 {
			burst = max(1, burst/n)
		}
		out.Tenants = append(out.Tenants, admit.Tenant{Name: t.Name, Weight: t.Weight, Rate: t.Rate / float64(n), Burst: burst})
	}
	return out
}

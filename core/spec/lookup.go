package spec

import (
	"math"
	"slices"
)

// Pool returns the pool with a name, false if there is none.
func (f Fleet) Pool(name string) (Pool, bool) {
	return find(f.Pools, func(p Pool) bool { return p.Name == name })
}

// Service returns the service with a name, false if there is none.
func (f Fleet) Service(name string) (Service, bool) {
	return find(f.Services, func(s Service) bool { return s.Name == name })
}

// Class returns the class with a name, false if there is none.
func (f Fleet) Class(name string) (Class, bool) {
	return find(f.Classes, func(c Class) bool { return c.Name == name })
}

// Tenant returns the tenant with a name, false if there is none.
func (f Fleet) Tenant(name string) (Tenant, bool) {
	return find(f.Tenants, func(t Tenant) bool { return t.Name == name })
}

// ServicesOn returns the services placed on a pool, in the order of the configuration.
func (f Fleet) ServicesOn(pool string) []Service {
	var out []Service
	for _, s := range f.Services {
		if s.Pool == pool {
			out = append(out, s)
		}
	}
	return out
}

// SpareFor returns the spare pool of a region. A pool without a region matches every region,
// because pools may omit the region only if the fleet has a single one.
func (f Fleet) SpareFor(region string) (Pool, bool) {
	return find(f.Pools, func(p Pool) bool {
		return p.Spare && (p.Region == region || p.Region == "" || region == "")
	})
}

// find returns the first element for which ok is true.
func find[T any](list []T, ok func(T) bool) (T, bool) {
	if i := slices.IndexFunc(list, ok); i >= 0 {
		return list[i], true
	}
	var zero T
	return zero, false
}

// Required returns the number of VMs that must stay active in a pool with this number of VMs.
func (b Budget) Required(vms int) int {
	return max(b.MinAvailable, (b.MinAvailablePercent*vms+99)/100)
}

// MaxOut returns how many VMs of a pool with this number of VMs may be unavailable at once, if all are active now.
// It ignores the bound per data centre. It is negative if the whole pool has fewer VMs than the budget requires.
func (b Budget) MaxOut(vms int) int {
	maxOut := vms - b.Required(vms)
	if b.MaxUnavailable > 0 {
		maxOut = min(maxOut, b.MaxUnavailable)
	}
	return maxOut
}

// Clone returns a copy that shares no memory with f.
func (f Fleet) Clone() Fleet {
	f.Pools = slices.Clone(f.Pools)
	f.Services = slices.Clone(f.Services)
	f.Classes = slices.Clone(f.Classes)
	f.Tenants = slices.Clone(f.Tenants)
	for i := range f.Tenants {
		f.Tenants[i].Keys = slices.Clone(f.Tenants[i].Keys)
	}
	return f
}

// Normalize returns a copy of f with the defaults filled in.
func Normalize(f Fleet) Fleet {
	f = f.Clone()
	for i := range f.Pools {
		p := &f.Pools[i]
		p.Slots = orDefault(p.Slots, DefaultSlots)
		p.Connections = orDefault(p.Connections, DefaultConnections)
	}
	for i := range f.Classes {
		f.Classes[i].Ceiling = orDefault(f.Classes[i].Ceiling, 1)
	}
	for i := range f.Tenants {
		t := &f.Tenants[i]
		t.Weight = orDefault(t.Weight, 1)
		if t.Rate > 0 {
			// A burst of 0 would refuse all requests of a tenant with a rate below one request per second.
			t.Burst = orDefault(t.Burst, max(1, int(math.Ceil(min(t.Rate, MaxRate)))))
		}
	}
	return f
}

// orDefault returns v, or the default if v is zero.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

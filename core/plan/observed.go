package plan

import (
	"time"

	"sassafrasvalve/core/fleet"
)

// ListState is the state of a VM in the platform's list.
type ListState string

// The states of the platform's list.
const (
	Live    ListState = "live"
	Leaving ListState = "leaving"
)

// Observations is what an entry knows besides the folded state.
type Observations struct {
	Region    string // of the entry; only VMs of this region are planned for
	List      VMList
	Reporting int                     // entries of the region whose digest is fresh, this one included
	Reports   map[string]HealthReport // by VM, summed over the reporting entries
	Probes    map[string]time.Time    // last successful own probe of VMs that are not active
}

// VMList is the last list of VMs that was read from the platform.
type VMList struct {
	Read bool      // whether any was ever read
	AsOf time.Time // the platform's time of the list
	VMs  map[string]ListedVM
}

// ListedVM is a VM of the platform's list.
type ListedVM struct {
	State     ListState
	RunsEntry bool // runs an entry, so it is no worker
	Rebooting bool // is being rebooted
	Boots     int  // since the VM was made
	DC        string
	Rack      string
	Region    string
	Addr      string // IP:port
}

// HealthReport counts the entries that hold something against a VM.
type HealthReport struct {
	Ejected int // entries that have ejected it for 30 s
	Refused int // entries that could not connect for 10 s
}

// listFresh reports whether the list is recent enough to act on what it lacks.
func (t *turn) listFresh() bool {
	return t.obs.List.Read && t.now.Sub(t.obs.List.AsOf) <= t.cfg.ListMaxAge
}

// isolated reports whether too few entries report for their reports, or for
// this entry's own view, to stand for the region.
func (t *turn) isolated() bool {
	return 2*t.obs.Reporting <= len(t.st.LiveMembers(t.obs.Region))
}

// leaving reports whether the platform takes the VM away.
func (t *turn) leaving(id string) bool {
	return t.obs.List.Read && t.obs.List.VMs[id].State == Leaving
}

// up reports whether own probes of the VM have succeeded for d without a break.
func (t *turn) up(vm *fleet.VM, d time.Duration) bool {
	s := t.mem.sights[vm.ID]
	l, listed := t.obs.List.VMs[vm.ID]
	return s != nil && !s.upSince.IsZero() && t.now.Sub(s.upSince) >= d &&
		(!listed || !l.Rebooting) && !t.gone(vm.ID)
}

// gone reports whether the list lacks the VM, believed or not.
func (t *turn) gone(id string) bool {
	s := t.mem.sights[id]
	return s != nil && !s.goneSince.IsZero()
}

package plan

import (
	"time"

	"sassafrasvalve/core/fleet"
)

// ListState is the state of a VM in the platform's list.
type ListState string

// The states of the platform's list.
const (
	ListLive    ListState = "live"
	ListLeaving ListState = "leaving"
)

// Observations is what an entry observes in addition to the folded state.
type Observations struct {
	Region    string // of the entry; Plan only considers VMs of this region
	List      VMList
	Reporting int                     // entries of the region with a fresh digest, including this one
	Reports   map[string]HealthReport // by VM ID, summed over the reporting entries
	Probes    map[string]time.Time    // last successful probe by this entry, for VMs that are not active
}

// VMList is the last list of VMs that was read from the platform.
type VMList struct {
	Read bool      // whether a list was ever read
	AsOf time.Time // time of the list by the platform's clock
	VMs  map[string]ListedVM
}

// ListedVM describes a VM of the platform's list.
type ListedVM struct {
	State     ListState
	RunsEntry bool // the VM runs an entry and is not a worker
	Rebooting bool
	Boots     int // boots since the VM was created
	DC        string
	Rack      string
	Region    string
	Addr      string // IP:port
}

// HealthReport counts the entries that report a VM as unhealthy or unreachable.
type HealthReport struct {
	Ejected     int // entries that have ejected it for 30 s
	Unreachable int // entries that could not connect for 10 s
}

// listFresh reports whether the list is recent enough to act on the absence of VMs from it.
func (t *tick) listFresh() bool {
	return t.obs.List.Read && t.now.Sub(t.obs.List.AsOf) <= t.cfg.ListMaxAge
}

// isolated reports whether at most half of the live members report. Their reports and
// the observations of this entry then do not represent the region.
func (t *tick) isolated() bool {
	return 2*t.obs.Reporting <= len(t.st.LiveMembers(t.obs.Region))
}

// leaving reports whether the platform is removing the VM.
func (t *tick) leaving(id string) bool {
	return t.obs.List.Read && t.obs.List.VMs[id].State == ListLeaving
}

// answering reports whether the VM has answered the probes of this entry without a break for d and
// is neither rebooting nor missing from the list.
func (t *tick) answering(vm *fleet.VM, d time.Duration) bool {
	s := t.local.vms[vm.ID]
	l, listed := t.obs.List.VMs[vm.ID]
	return s != nil && !s.upSince.IsZero() && t.now.Sub(s.upSince) >= d &&
		(!listed || !l.Rebooting) && !t.unlisted(vm.ID)
}

// unlisted reports whether fresh lists lack the VM, even if this is not yet trusted.
func (t *tick) unlisted(id string) bool {
	s := t.local.vms[id]
	return s != nil && !s.unlistedSince.IsZero()
}

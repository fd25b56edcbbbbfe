package jobs

// State is the state of a job as reported to callers.
type State int

// States of a job. A job is Queued until its first item is started.
const (
	Queued State = iota
	Running
	Complete
	Failed
	Cancelled
)

// Final reports whether the state is Complete, Failed or Cancelled and can no longer change.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// String returns the name of the state, as it appears in logs.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	default:
		return "unknown"
	}
}

// ItemsPerRecord is the number of work items whose states one record holds. A state takes some 100 bytes, and a checkpoint up to
// MaxRefBytes, so that a record stays below the platform's largest one of 262,144 bytes.
const ItemsPerRecord = 512

// MaxRefBytes is the largest size of a checkpoint that is recorded.
const MaxRefBytes = 256

// Progress is the progress record of a job, written by the owner of its shard. The one with the highest Rev is in force.
// That of a job with more than ItemsPerRecord items holds no items. They are in part records, which are of the same type and
// hold Rev, Items, Crashes and Open only.
type Progress struct {
	Rev   int64       `msg:"r"` // increases with each record of the job
	State State       `msg:"s"`
	Base  int         `msg:"b"` // all occurrences below Base are done and not listed in Items
	Items []ItemState `msg:"i"` // items that were started at least once
	// Crashes holds the items during whose runs VMs crashed. An earlier version skips it.
	Crashes []ItemCrashes `msg:"c"`
	// Open holds the items of which a VM may still execute a start that had no reply. An earlier version skips it.
	Open []ItemOpen `msg:"o"`
}

// ItemState is the recorded state of one work item.
//
//msgp:tuple ItemState
type ItemState struct {
	K      int    // occurrence
	Step   int    // index of the step
	Index  int    // index within the step
	Run    int    // number of its latest run
	VM     string // VM that was ordered to run it; empty if it does not run
	Failed []int  // failed runs of an item that is not persistent
	Done   bool
	Ref    string // newest checkpoint
	VMBorn int64  // start of the VM's lifetime in Unix milliseconds; 0 if unknown
}

// ItemCrashes holds the runs of one work item that ended with the lifetime of their VM.
//
//msgp:tuple ItemCrashes
type ItemCrashes struct {
	K       int   // occurrence
	Step    int   // index of the step
	Index   int   // index within the step
	Crashed []int // runs whose VM crashed
	Lost    []int // runs whose VM was lost for an unknown cause
	GivenUp bool  // the item does not start any more; its job goes on
}

// ItemOpen names the VM that may still execute a start of one work item that had no reply.
//
//msgp:tuple ItemOpen
type ItemOpen struct {
	K       int    // occurrence
	Step    int    // index of the step
	Index   int    // index within the step
	VM      string // ID of the VM
	Machine string // machine that it runs on, empty if unknown
}

// DemandReport is a pool owner's report to the machine controller: the VMs that it wants, offers and has vacated.
type DemandReport struct {
	Epoch  int64    `msg:"e"` // ownership epoch of the reporting owner
	Rev    int64    `msg:"r"` // increases with each report of an epoch
	Want   int      `msg:"w"` // number of VMs that the pool can use now
	Min    int      `msg:"m"` // number of VMs below which the persistent items do not fit
	Urgent int64    `msg:"u"` // value of another VM for the pool; pools with higher values are served first
	Offers []string `msg:"o"` // VMs without runs that the pool does not use
	Clear  []string `msg:"c"` // VMs to vacate that no longer run anything
	// WithinShare is the number of VMs that the pool can use now for work within the shares of its accounts. It is 0 if that is Want.
	WithinShare int `msg:"s,omitempty"`
}

// WantWithinShare returns the number of VMs that the pool can use now for work within the shares of its accounts, at most Want.
func (p *DemandReport) WantWithinShare() int {
	if p.WithinShare <= 0 {
		return p.Want
	}
	return min(p.WithinShare, p.Want)
}

// NewerThan reports whether p was made after o: in a later epoch, or with a higher Rev in the same epoch.
func (p *DemandReport) NewerThan(o *DemandReport) bool {
	return p.Epoch > o.Epoch || p.Epoch == o.Epoch && p.Rev > o.Rev
}

// VacateRequest is what the machine controller tells the owners: the VMs to vacate, how long a move takes, and which pools
// have to give machines up.
type VacateRequest struct {
	VMs    []string    `msg:"v"` // VMs that are due for upkeep and must be vacated
	JoinMs int64       `msg:"j"` // time from a move order until the machine has a VM in its new pool, 0 if unknown
	Limits []PoolLimit `msg:"l"` // pools that have more VMs than their share while there are too few machines
	// Machines is the number of machines of all pools. It is recorded only if the configuration has client accounts.
	Machines int `msg:"n,omitempty"`
}

// PoolLimit is the largest number of VMs that a pool should keep.
type PoolLimit struct {
	Service string `msg:"s"`
	VMs     int    `msg:"n"`
}

// Limit returns the largest number of VMs that the pool of a service should keep, or 0 if there is no limit.
func (v *VacateRequest) Limit(service string) int {
	for _, l := range v.Limits {
		if l.Service == service {
			return max(l.VMs, 1)
		}
	}
	return 0
}

// Claim is the ownership record of a shard.
type Claim struct {
	Epoch  int64   `msg:"e"` // increases with each owner
	Owner  string  `msg:"o"` // empty after a release
	Addr   string  `msg:"a"` // IP:port at which other entries reach the owner
	Reason string  `msg:"r"`
	Share  float64 `msg:"c"` // share of a CPU core that the owner's machine has; 0 if unknown
}

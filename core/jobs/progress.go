package jobs

// State is what a caller sees of a job.
type State int

// The states of a job.
const (
	Queued State = iota
	Running
	Complete
	Failed
	Cancelled
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// String returns the state's word in logs.
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

// Progress is what the owner of a shard records of a job. The newest one counts.
type Progress struct {
	Rev   int64       `msg:"r"` // rises with each record of the job
	State State       `msg:"s"`
	Base  int         `msg:"b"` // occurrences below it are done and not listed
	Items []ItemState `msg:"i"` // items that were started at least once
}

// ItemState is the record of one work item.
//
//msgp:tuple ItemState
type ItemState struct {
	K      int
	Step   int
	Index  int
	Run    int    // number of its last start
	VM     string // VM that was told to run it; empty when it runs nowhere
	Failed []int  // runs that ended failed, of an item that does not last
	Done   bool
	Ref    string // newest checkpoint
	VMBorn int64  // lifetime of VM, unix milliseconds of its start; 0 when unknown
}

// DemandReport is what the owner of a pool tells the machine controller.
type DemandReport struct {
	Epoch  int64    `msg:"e"` // of the ownership
	Rev    int64    `msg:"r"` // rises with each report of an epoch
	Want   int      `msg:"w"` // VMs that the pool can use now
	Min    int      `msg:"m"` // VMs below which what lasts finds no place
	Urgent int64    `msg:"u"` // how much the pool gains from another VM; higher goes first
	Offers []string `msg:"o"` // VMs without runs that the pool does not use
	Clear  []string `msg:"c"` // VMs that were to be vacated and run nothing
}

// Newer reports whether p was told after o.
func (p *DemandReport) Newer(o *DemandReport) bool {
	return p.Epoch > o.Epoch || p.Epoch == o.Epoch && p.Rev > o.Rev
}

// VacateRequest is what the machine controller asks of the owners.
type VacateRequest struct {
	VMs []string `msg:"v"` // that are due for upkeep and have to be emptied
}

// Claim is the ownership record of a shard.
type Claim struct {
	Epoch  int64   `msg:"e"` // rises with each owner
	Owner  string  `msg:"o"` // empty after a release
	Addr   string  `msg:"a"` // IP:port at which other entries reach the owner
	Reason string  `msg:"r"`
	Share  float64 `msg:"c"` // of a core that the owner's machine has, 0 if it is not known
}

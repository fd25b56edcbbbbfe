// Package pools defines the messages between the owner of a shard and the VMs of its pool.
package pools

// VM is an upstream as the platform lists it. Its JSON names are printed by the command "stored vms".
type VM struct {
	ID          string
	Service     string // service whose jobs it runs, which is also the name of its pool
	Addr        string
	DC          string
	Labels      []string // kind and rack
	Machine     string   // ID of the machine that it runs on, empty if unknown
	StartedAtMs int64    `json:"Born"` // start of its lifetime, Unix milliseconds; 0 if unknown
	CPU         int64    // thousandths of a core
	MemMB       int64
	GPU         int64
	Draining    bool
	Removed     bool `json:"Gone"` // it was removed from the platform's list
}

// HasLabel reports whether the VM has a label.
func (v *VM) HasLabel(label string) bool {
	for _, l := range v.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// OrderKind is the action that an order requests.
type OrderKind int

// The kinds of order.
const (
	Start OrderKind = iota
	Stop
	Throttle
	Upkeep // Item is the machine, Run the wave
	Move   // Item is the machine, Spec the pool
)

// Order requests an action from one VM for one run of an item, or from the platform for one machine. The
// kinds of order say what Item, Run and Spec hold for a machine.
type Order struct {
	Kind       OrderKind
	VM         string
	JobID      string
	Item       string // full name
	Run        int
	Spec       string // of a start: the job's specification; of a move: the new pool
	Ref        string // checkpoint to resume from
	DeadlineMs int64  // of a start: the deadline by the VM's clock, after which the VM refuses it
	Fence      int64
	Percent    int    // of a throttle order: the limit as a percentage of full speed
	Token      string // policy token for the VM, empty if the queue needs none
}

// LateCallMs is how long after its caller has given it up a call without a reply may still be executed, by a VM or by the platform.
// The platform says "seconds" and gives no bound; its tests delay calls by up to 12 s.
const LateCallMs = 12_000

// ReplyKind is the result of an order or poll.
type ReplyKind int

// The kinds of reply. The zero value is the safe one: the outcome is unknown.
const (
	NoReply       ReplyKind = iota // the order may be executed, until LateCallMs later
	Done                           // executed
	NotExecuted                    // certainly never executed
	Fenced                         // the VM has seen a higher fence number
	StaleRun                       // the run has ended or was stopped on the VM before
	LeaseExpired                   // the lease in the order has expired
	NoCapacity                     // the item does not fit on the VM
	InvalidToken                   // the policy token is missing or has expired
	OtherLifetime                  // the VM is in another lifetime
	Unhealthy                      // the VM refuses work; nothing was executed
	RateLimited                    // over the platform's rate limit for the orders of all processes
	Rejected                       // malformed
)

// Reply is the answer to an order.
type Reply struct {
	Kind    ReplyKind
	ClockMs int64 // the VM's clock, 0 if unknown
}

// PollRequest asks a VM for its running and ended runs, and may extend its lease.
type PollRequest struct {
	VM         string
	Fence      int64
	AckedSeq   int64 // ends up to this sequence number are recorded
	LeaseEndMs int64 // new end of the lease by the VM's clock; 0 leaves it unchanged
	WaitMs     int64 // how long the VM may delay its reply until a run ends
}

// PollReply lists the running and ended runs of a VM.
type PollReply struct {
	Kind        ReplyKind
	ClockMs     int64
	StartedAtMs int64 // start of the VM's lifetime, Unix milliseconds; 0 if unknown
	Running     []RunStatus
	Ended       []RunEnd
	MoreEnds    bool // Ended may lack the newest ends, which follow once the listed ones are acknowledged
}

// RunStatus is the state of a run on a VM.
type RunStatus struct {
	Item            string
	Run             int
	Ref             string // newest checkpoint
	ProgressPercent int    // work done, in percent; of a persistent item 100 means that it is at work
	Load            int64  // tail latency in ms of a serving item, thousandths of a core of any other item
}

// EndKind is the way in which a run ended.
type EndKind int

// The kinds of end.
const (
	EndStopped EndKind = iota // by an order or the VM; the item may run again
	EndDone
	EndFailed
)

// RunEnd is the end of a run, which a VM lists until it is acknowledged.
type RunEnd struct {
	Seq  int64 // sequence number, increases within a lifetime
	Item string
	Run  int
	Kind EndKind
	Ref  string
}

// Wave requests the upkeep of machines.
type Wave struct {
	Number   int
	Machines []string
	MaxDown  int   // machines that may be down at once for this wave
	DueMs    int64 // local ms by which all upkeeps should be done, 0 if unknown
}

// MachineState is the state of a machine.
type MachineState int

// The states of a machine.
const (
	MachineBusy MachineState = iota // being moved, or in its upkeep
	MachineUp
	MachineDown // failed
)

// Machine is a machine as the platform lists it. It runs one VM at a time, and another VM after a move or an upkeep. A
// VM that restarts may keep its ID; each start begins a new lifetime of the VM.
type Machine struct {
	ID    string
	Pool  string // name of the pool, which is that of the service whose jobs it runs
	VM    string // ID of its VM, empty if none runs
	State MachineState
}

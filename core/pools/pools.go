// Package pools holds what is said between the owner of a shard and the VMs of its pool.
package pools

// VM is an upstream as the platform lists it. Its JSON names are those that the command "stored vms" prints.
type VM struct {
	ID          string
	Service     string
	Addr        string
	DC          string
	Labels      []string // its kind and its rack
	StartedAtMs int64    `json:"Born"` // start of its lifetime, unix milliseconds; 0 when not told
	CPU         int64    // thousandths of a core
	MemMB       int64
	GPU         int64
	Draining    bool
	Removed     bool `json:"Gone"` // its entry was removed
}

// HasLabel reports whether the VM carries a label.
func (v *VM) HasLabel(label string) bool {
	for _, l := range v.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// OrderKind is what an order asks for.
type OrderKind int

// The kinds of order.
const (
	Start OrderKind = iota
	Stop
	Throttle
	Upkeep // Item names the machine, Run the wave
	Move   // Item names the machine, Spec the pool
)

// Order is sent to one VM about one run of an item.
type Order struct {
	Kind       OrderKind
	VM         string
	JobID      string
	Item       string // full name
	Run        int
	Spec       string
	Ref        string // checkpoint to resume from
	LeaseEndMs int64  // end of the lease by the VM's clock; a start that arrives later is refused
	Fence      int64
	Percent    int    // of its speed
	Token      string // of the policy that allows the VM, empty where none is asked
}

// ReplyKind is what became of an order.
type ReplyKind int

// The kinds of reply. The zero value is the cautious one.
const (
	NoReply       ReplyKind = iota // it may be carried out, also seconds later
	Done                           // carried out
	NotExecuted                    // surely never carried out
	Fenced                         // the VM has seen a higher fence number
	StaleRun                       // the run ended or was stopped there before
	LeaseExpired                   // the lease named is over
	NoCapacity                     // it does not fit
	InvalidToken                   // the policy's ticket is missing or over
	OtherLifetime                  // the VM is in another lifetime
	Unhealthy                      // the VM refuses work and has done nothing
	RateLimited                    // refused for the number of orders of all processes
	Rejected                       // malformed for the VM
)

// Reply is the answer to an order.
type Reply struct {
	Kind    ReplyKind
	ClockMs int64 // of the VM, 0 when not told
}

// PollRequest asks a VM what it runs.
type PollRequest struct {
	VM         string
	Fence      int64
	AckedSeq   int64 // ends up to it are recorded
	LeaseEndMs int64 // new end of the lease by the VM's clock; 0 leaves it
	WaitMs     int64 // how long the VM waits for an end
}

// PollReply is what a VM says of its runs.
type PollReply struct {
	Kind        ReplyKind
	ClockMs     int64
	StartedAtMs int64 // start of the VM's lifetime, unix milliseconds; 0 when not told
	Running     []RunStatus
	Ended       []RunEnd
}

// RunStatus is a run that is there.
type RunStatus struct {
	Item    string
	Run     int
	Ref     string // newest checkpoint
	Percent int    // of its speed at which it works; 100 is at work
	Load    int64  // tail latency in ms of a serving item, thousandths of a core of any other
}

// EndKind is how a run ended.
type EndKind int

// The kinds of end.
const (
	EndStopped EndKind = iota // not by its own doing: it may run again
	EndDone
	EndFailed
)

// RunEnd is a run that ended.
type RunEnd struct {
	Seq  int64 // rises within a lifetime
	Item string
	Run  int
	Kind EndKind
	Ref  string
}

// Wave asks for the upkeep of machines.
type Wave struct {
	N        int
	Machines []string
	MaxDown  int   // machines that may be down for it at once
	DueMs    int64 // local ms by which all should have had their upkeep, 0 if not told
}

// MachineState is where a machine stands.
type MachineState int

// The states of a machine.
const (
	MachineBusy MachineState = iota // moving, or in its upkeep
	MachineUp
	MachineDown // it has failed
)

// Machine is a machine as the platform lists it. A VM is one lifetime of a machine.
type Machine struct {
	ID    string
	Pool  string
	VM    string
	State MachineState
}

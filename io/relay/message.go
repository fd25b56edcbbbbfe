package relay

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file message.go -o message_gen.go -tests=false -io=false -unexported=false

//msgp:tuple Batch Call Answers Answer RunStatus RunEnd

// The decoder rejects longer arrays before it allocates them, so that a malformed message cannot exhaust the memory.
//msgp:limit arrays:65536

// The kinds of call. All but callPoll stand for the order kinds of pools that go to a VM.
const (
	callStart uint8 = iota
	callStop
	callThrottle
	callPoll
)

// noSpec is the index of a call that carries no spec.
const noSpec = -1

// Batch carries calls from a pool owner to an entry that relays them to VMs.
type Batch struct {
	SentMs int64    // send time by the owner's steady clock
	Specs  []string // job specs that the start orders refer to by index
	Calls  []Call
}

// Call is one order to a VM, or one poll of it.
type Call struct {
	N        int64 // number of the call on its connection
	Kind     uint8
	VM       string
	Addr     string
	WithinMs int64 // time limit in ms from Batch.SentMs on; the call is not sent to the VM after it
	Fence    int64
	LeaseMs  int64 // end of the lease by the VM's clock
	Item     string
	Run      int
	Spec     int    // index into Batch.Specs, or noSpec
	Ref      string // checkpoint to resume from
	Ticket   string // token of the external policy
	Percent  int    // speed that a throttle order allows
	Acked    int64  // poll only: highest number of a run end that the owner has recorded
	WaitMs   int64  // poll only: how long the VM may hold the poll back
}

// Answers carries the results of calls back to the owner.
type Answers struct {
	List    []Answer
	Leaving bool // the relay is stopping and accepts no more calls
}

// The outcomes of a call, stored in Answer.Fate.
const (
	outcomeAnswered    uint8 = iota // the VM replied
	outcomeNotExecuted              // certainly not executed
	outcomeUnknown                  // may have been executed or may still be
)

// Answer is the result of one call. Kind and the fields after it hold the VM's reply to an answered call.
type Answer struct {
	N       int64 // number of the call
	Fate    uint8 // outcome
	Kind    int   // pools.ReplyKind
	ClockMs int64 // the VM's clock
	Born    int64 // start of the VM's lifetime in ms
	Running []RunStatus
	Ended   []RunEnd
}

// RunStatus describes a run that a VM executes.
type RunStatus struct {
	Item    string
	Run     int
	Ref     string // newest checkpoint
	Percent int    // work done, in percent; of a persistent item 100 means that it is at work
	Load    int64  // tail latency in ms of a serving item, thousandths of a core of any other
}

// RunEnd describes a run that ended on a VM.
type RunEnd struct {
	Seq  int64
	Item string
	Run  int
	How  int // pools.EndKind
	Ref  string
}

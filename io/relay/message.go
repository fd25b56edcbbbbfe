package relay

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file message.go -o message_gen.go -tests=false -io=false -unexported=false

//msgp:tuple Batch Call Answers Answer Row End

// A length that a message claims is not allocated beyond this: a malformed one must not take the memory of the process.
//msgp:limit arrays:65536

// The kinds of call. The first are those of pools.OrderKind.
const (
	callStart uint8 = iota
	callStop
	callPace
	callLook
)

// noSpec is the index of a call that carries no spec.
const noSpec = -1

// Batch is what an owner has an entry send to VMs.
type Batch struct {
	SentMs int64    // by the owner's steady clock
	Specs  []string // of the jobs whose items are started
	Calls  []Call
}

// Call is one order to a VM, or one poll of it.
type Call struct {
	N        int64 // on the connection
	Kind     uint8
	VM       string
	Addr     string
	WithinMs int64 // that the call may take, from Batch.SentMs on; it is not sent later
	Fence    int64
	LeaseMs  int64 // by the VM's clock
	Item     string
	Run      int
	Spec     int // index in Batch.Specs, or noSpec
	Ref      string
	Ticket   string
	Percent  int
	Acked    int64 // of a poll
	WaitMs   int64 // of a poll
}

// Answers are what came back from VMs.
type Answers struct {
	List    []Answer
	Leaving bool // the entry stops; it takes no more calls
}

// The fates of a call.
const (
	fateAnswered uint8 = iota
	fateUnsent         // surely never carried out
	fateUnknown        // it may be carried out
)

// Answer is what became of a call.
type Answer struct {
	N       int64
	Fate    uint8
	Kind    int // pools.ReplyKind
	ClockMs int64
	Born    int64
	Running []RunStatus
	Ended   []RunEnd
}

// RunStatus is a run that is on a VM.
type RunStatus struct {
	Item    string
	Run     int
	Ref     string
	Percent int
	Load    int64
}

// RunEnd is a run that ended on a VM.
type RunEnd struct {
	Seq  int64
	Item string
	Run  int
	How  int // pools.EndKind
	Ref  string
}

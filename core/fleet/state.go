package fleet

import (
	"time"

	"sassafrasvalve/core/spec"
)

// MemberPhase is the phase of an entry process.
type MemberPhase string

// The phases of a member.
const (
	MemberLive    MemberPhase = "Live"
	MemberEvicted MemberPhase = "Evicted" // waits for its fence
)

// Member is an entry process that has joined the fleet.
type Member struct {
	ID      string // see MemberID
	VM      string
	Epoch   int64  // start of the process, a Unix time in milliseconds
	Addr    string // IP:port of its peer server
	Admin   string // IP:port of its operator API
	DC      string
	Region  string
	Version int
	Phase   MemberPhase
	Voting  bool
	Joined  int64 // offset of the Join record
	Through int64 // highest offset that it acknowledged
	Evicted int64 `json:",omitempty"` // offset of the Evict record
}

// Loss is a member that ended without a graceful Leave.
type Loss struct {
	Member string
	Region string
	Offset int64
	At     time.Time // by the clock of the writer of the record that ended it
}

// VMPhase is the phase of a VM. Only active VMs get requests.
type VMPhase string

// The phases of a VM.
const (
	Active    VMPhase = "Active"
	Draining  VMPhase = "Draining" // out of routing, but not yet acknowledged by all entries of its region
	Drained   VMPhase = "Drained"  // acknowledged by all entries of its region: none has a request on it
	Rebooting VMPhase = "Rebooting"
	Failed    VMPhase = "Failed"
	Unknown   VMPhase = "Unknown" // does not respond, but nothing shows that it is dead
)

// VM is a worker machine with its location, pool and phase.
type VM struct {
	ID     string
	Addr   string
	DC     string
	Rack   string
	Region string

	Pool    string
	Phase   VMPhase
	Gen     int64    // offset of the last record that changed the VM
	Purpose Purpose  // reason of its drain; empty while it is Active, Failed or Unknown
	To      string   // target pool of a move
	Wave    string   // ID of the wave that drained it
	Acked   []string // sorted IDs of the members that acknowledged the drain
	Boots   int      `json:",omitempty"` // platform's count of boots before the last reboot
	History []Step   // newest last, at most maxHistorySteps
}

// Step is one change of a VM, as printed by the command "vm explain".
type Step struct {
	Offset int64
	Kind   Kind
	Writer string
	Rule   string
	Reason string
	From   VMPhase
	Phase  VMPhase
	Pool   string
}

// WavePhase is the phase of a maintenance wave.
type WavePhase string

// The phases of a wave.
const (
	Planned WavePhase = "Planned"
	Running WavePhase = "Running"
	Paused  WavePhase = "Paused"
	Stopped WavePhase = "Stopped" // after failures; can be resumed
	Aborted WavePhase = "Aborted" // by an operator; cannot be resumed
	Done    WavePhase = "Done"
)

// Wave is a maintenance run that reboots the VMs of pools in batches.
type Wave struct {
	ID        string
	Pools     []string
	Batch     int
	MaxBatch  int
	MaxFailed int
	Phase     WavePhase
	Reason    string
	Pending   []string // VMs whose drain has not started
	Out       []string // VMs drained or rebooting for the wave
	Finished  []string // VMs that became active again after their drain for the wave
	Failed    []string // VMs that failed while out
	Gen       int64    // offset of the last record that changed the wave
}

// JobPhase is the phase of a deferrable job.
type JobPhase string

// The phases of a job.
const (
	JobQueued  JobPhase = "Queued"
	JobRunning JobPhase = "Running"
	JobEnded   JobPhase = "Ended"
)

// JobState is a job and its progress. The request is deleted when the job has ended.
type JobState struct {
	Job
	Phase   JobPhase
	Member  string  // ID of the member that runs it
	Run     int     // number of the latest run, counted from 1; 0 before the first
	Outcome JobDone // of the last run; set once the job has ended
	Offset  int64   // of the last change
}

// Config is the current configuration of the fleet.
type Config struct {
	Version int
	Offset  int64
	Writer  string
	Fleet   spec.Fleet
}

// Result is the outcome of folding one record.
type Result struct {
	Offset   int64
	ID       string
	Kind     Kind
	Accepted bool
	// Duplicate is set if a record with this ID was folded before, so that this one had no effect.
	Duplicate bool
	// Skipped is set if the record is corrupt or of an unknown kind or version.
	Skipped bool
	Reason  string // why it was rejected or skipped
}

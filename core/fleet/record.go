// Package fleet folds the records of the platform's log into the shared state of all entries.
package fleet

import (
	"time"

	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/spec"
)

// RecordVersion is the version of the record format that this program writes.
const RecordVersion = 1

// Kind names the type of a record.
type Kind string

// The kinds of records. Each has the payload field of the same name in Record.
const (
	KindConfigure Kind = "Configure"
	KindJoin      Kind = "Join"
	KindSuspect   Kind = "Suspect"
	KindEvict     Kind = "Evict"
	KindFence     Kind = "Fence"
	KindLeave     Kind = "Leave"
	KindAck       Kind = "Ack"
	KindObserve   Kind = "Observe"
	KindDrain     Kind = "Drain"
	KindAssign    Kind = "Assign"
	KindReboot    Kind = "Reboot"
	KindActivate  Kind = "Activate"
	KindFail      Kind = "Fail"
	KindRemove    Kind = "Remove"
	KindWave      Kind = "Wave"
	KindJob       Kind = "Job"
	KindJobStart  Kind = "JobStart"
	KindJobDone   Kind = "JobDone"
	KindSnapshot  Kind = "Snapshot"
)

// Record is one entry of the log. Exactly the payload that Kind names is set.
type Record struct {
	ID         string // unique; a repeated append carries the same ID
	Kind       Kind
	Version    int
	MinVersion int       `json:",omitempty"` // oldest reader version that may decide after this record
	Writer     string    // member ID or operator
	At         time.Time // writer's clock; shown to operators, never used by the fold
	Rule       string    `json:",omitempty"` // rule of the controller, such as R-DEAD
	Reason     string    `json:",omitempty"`

	Configure *Configure     `json:",omitempty"`
	Join      *Join          `json:",omitempty"`
	Suspect   *Suspect       `json:",omitempty"`
	Evict     *Evict         `json:",omitempty"`
	Fence     *Fence         `json:",omitempty"`
	Leave     *Leave         `json:",omitempty"`
	Ack       *Ack           `json:",omitempty"`
	Observe   *Observe       `json:",omitempty"`
	Drain     *Drain         `json:",omitempty"`
	Assign    *Assign        `json:",omitempty"`
	Reboot    *Reboot        `json:",omitempty"`
	Activate  *Activate      `json:",omitempty"`
	Fail      *Fail          `json:",omitempty"`
	Remove    *Remove        `json:",omitempty"`
	Wave      *WaveChange    `json:",omitempty"`
	Job       *Job           `json:",omitempty"`
	JobStart  *JobStart      `json:",omitempty"`
	JobDone   *JobDone       `json:",omitempty"`
	Snapshot  *SnapshotChunk `json:",omitempty"`
}

// Configure replaces the configuration if Base is the version in force.
// The first version is 1; its base is 0.
type Configure struct {
	Base  int
	Fleet spec.Fleet
}

// Join makes an entry process a member. It replaces an earlier process on the same VM.
type Join struct {
	Member Member
}

// Suspect says that By no longer promises Target its view lease.
type Suspect struct {
	By, Target string
}

// Evict starts the removal of a member that half of its region suspects
// or whose VM the platform no longer lists.
type Evict struct {
	Target string
	VMGone bool // the platform's list says that the VM is gone
}

// Fence ends an evicted member after its view lease must have lapsed.
type Fence struct {
	Target      string
	EvictOffset int64
}

// Leave ends the member that wrote it.
type Leave struct {
	Member string
}

// Ack says that Member has folded the log up to Through and has
// no request in progress on any of VMs.
type Ack struct {
	Member  string
	Through int64
	VMs     []VMGen
}

// VMGen names a VM at a generation.
type VMGen struct {
	VM  string
	Gen int64
}

// Observe adds a VM that the platform lists, or updates its address and place.
// A new VM enters Pool as Active.
type Observe struct {
	VM     string
	Addr   string // IP:port
	DC     string
	Rack   string
	Region string
	Pool   string
}

// Purpose says why a VM is drained.
type Purpose string

// The purposes of a drain.
const (
	PurposeMove     Purpose = "Move"     // to pool To
	PurposeReboot   Purpose = "Reboot"   // maintenance or repair
	PurposeHold     Purpose = "Hold"     // an operator takes it out
	PurposeLeave    Purpose = "Leave"    // the platform takes it away
	PurposeUnwanted Purpose = "Unwanted" // its pool has more VMs than its size
)

// Drain takes an active VM out of routing.
// A drain with Involuntary set follows the platform and is not held to the budget.
type Drain struct {
	VM          string
	Gen         int64
	Purpose     Purpose
	To          string `json:",omitempty"` // target pool of a move
	Wave        string `json:",omitempty"`
	Involuntary bool   `json:",omitempty"`
}

// Assign puts a drained VM into pool To and makes it active.
type Assign struct {
	VM  string
	Gen int64
	To  string
}

// Reboot says that a drained VM is being rebooted. Boots is the platform's count of its
// boots before that: a higher one shows every controller that the reboot took place.
type Reboot struct {
	VM    string
	Gen   int64
	Boots int `json:",omitempty"`
}

// Activate returns a drained, rebooted, failed or unknown VM to routing in its pool.
type Activate struct {
	VM  string
	Gen int64
}

// Fail says that a VM is dead, sick or flapping.
type Fail struct {
	VM      string
	Gen     int64
	Unknown bool `json:",omitempty"` // no evidence of death, only silence
}

// Remove forgets a VM that the platform no longer lists.
type Remove struct {
	VM  string
	Gen int64
}

// WaveAction is a step in the life of a maintenance wave.
type WaveAction string

// The actions on a wave.
const (
	WavePlan   WaveAction = "Plan"
	WaveStart  WaveAction = "Start"
	WavePause  WaveAction = "Pause"
	WaveResume WaveAction = "Resume"
	WaveAbort  WaveAction = "Abort"
	WaveStop   WaveAction = "Stop" // by rule, after failures
	WaveDone   WaveAction = "Done"
)

// WaveChange plans a wave or changes its phase.
type WaveChange struct {
	ID        string
	Action    WaveAction
	Pools     []string `json:",omitempty"` // for Plan
	Batch     int      `json:",omitempty"` // for Plan: VMs out at once at the start
	MaxBatch  int      `json:",omitempty"` // for Plan: VMs out at once after growth
	MaxFailed int      `json:",omitempty"` // for Plan: failed VMs that stop the wave
}

// Job is a deferrable request that was accepted.
type Job struct {
	ID         string
	Service    string
	Class      string
	Tenant     string
	Idempotent bool
	Deadline   time.Time
	Request    JobRequest
}

// JobRequest is the stored HTTP request of a job.
type JobRequest struct {
	Method string
	Path   string
	Header map[string][]string
	Body   []byte
}

// JobStart claims a job for a member before it is sent. Run counts from 1.
type JobStart struct {
	Job    string
	Member string
	Run    int
}

// JobDone is the outcome of a run. NotRun returns the job to the queue, as does
// Again for an idempotent job with runs left.
type JobDone struct {
	Job     string
	Member  string
	Run     int
	Verdict retry.Verdict
	Status  int  // HTTP status of the answer, 0 without one
	Again   bool `json:",omitempty"` // the run failed and another one may succeed
}

// SnapshotChunk is one part of a snapshot of the state after offset Through.
type SnapshotChunk struct {
	Through  int64
	Snapshot string // ID shared by the chunks
	Index    int
	Count    int
	Checksum uint64 // xxhash of the whole encoded state
	Data     []byte
}

// Package fleet folds the records of the platform's log into the state that all entries share.
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

// Record is one record of the log. Only the payload field that Kind names is set.
type Record struct {
	ID         string // unique; a repeated append has the same ID
	Kind       Kind
	Version    int
	MinVersion int       `json:",omitempty"` // oldest reader version that may decide after this record
	Writer     string    // member ID or operator
	At         time.Time // by the writer's clock; shown to operators, and no decision of the fold depends on it
	Rule       string    `json:",omitempty"` // rule of the planner, such as R-DEAD
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

// Configure replaces the configuration if Base is the current version.
// The first version is 1 and has Base 0.
type Configure struct {
	Base  int
	Fleet spec.Fleet
}

// Join makes an entry process a member. The process replaces an earlier one on the same VM.
type Join struct {
	Member Member
}

// Suspect records that By no longer promises Target its view lease.
type Suspect struct {
	By, Target string
}

// Evict starts the removal of a member that at least half of its region suspects
// or whose VM the platform no longer lists.
type Evict struct {
	Target string
	VMGone bool // the platform's list no longer has the VM
}

// Fence ends an evicted member once its view lease must have expired.
type Fence struct {
	Target      string
	EvictOffset int64
}

// Leave ends the member that wrote it.
type Leave struct {
	Member string
}

// Ack records that Member has folded the log up to Through and has
// no request in progress on any VM of VMs.
type Ack struct {
	Member  string
	Through int64
	VMs     []VMGen
}

// VMGen identifies a VM at a generation.
type VMGen struct {
	VM  string
	Gen int64
}

// Observe adds a VM of the platform's list, or updates its address and location.
// A new VM enters Pool in phase Active.
type Observe struct {
	VM     string
	Addr   string // IP:port
	DC     string
	Rack   string
	Region string
	Pool   string
}

// Purpose is the reason for which a VM is drained.
type Purpose string

// The purposes of a drain.
const (
	PurposeMove     Purpose = "Move"     // move to pool To
	PurposeReboot   Purpose = "Reboot"   // maintenance or repair
	PurposeHold     Purpose = "Hold"     // taken out of service by an operator
	PurposeLeave    Purpose = "Leave"    // removed by the platform
	PurposeUnwanted Purpose = "Unwanted" // surplus: its pool has more VMs than its size
)

// Drain takes a VM out of routing. A drain with Involuntary set follows a decision
// of the platform and is not limited by the budget.
type Drain struct {
	VM          string
	Gen         int64
	Purpose     Purpose
	To          string `json:",omitempty"` // target pool of a move
	Wave        string `json:",omitempty"`
	Involuntary bool   `json:",omitempty"`
}

// Assign moves a drained VM into pool To and makes it active.
type Assign struct {
	VM  string
	Gen int64
	To  string
}

// Reboot records that a drained VM is being rebooted. Boots is the platform's count of its
// boots before that. A higher count tells every planner that the reboot took place.
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

// Fail records that a VM is dead, unhealthy or flapping.
type Fail struct {
	VM      string
	Gen     int64
	Unknown bool `json:",omitempty"` // the VM does not respond, but nothing shows that it is dead
}

// Remove deletes a VM that the platform no longer lists.
type Remove struct {
	VM  string
	Gen int64
}

// WaveAction is an action that changes the phase of a maintenance wave.
type WaveAction string

// The actions on a wave.
const (
	WavePlan   WaveAction = "Plan"
	WaveStart  WaveAction = "Start"
	WavePause  WaveAction = "Pause"
	WaveResume WaveAction = "Resume"
	WaveAbort  WaveAction = "Abort"
	WaveStop   WaveAction = "Stop" // after failures the fold stops the wave itself, without this action
	WaveDone   WaveAction = "Done"
)

// WaveChange plans a wave or changes its phase.
type WaveChange struct {
	ID        string
	Action    WaveAction
	Pools     []string `json:",omitempty"` // for Plan
	Batch     int      `json:",omitempty"` // for Plan: initial limit of VMs out at once
	MaxBatch  int      `json:",omitempty"` // for Plan: highest limit of VMs out at once
	MaxFailed int      `json:",omitempty"` // for Plan: failed VMs above which the wave stops
}

// Job is an accepted deferrable request.
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

// JobStart claims a job for a member before the member sends the request. Run counts from 1.
type JobStart struct {
	Job    string
	Member string
	Run    int
}

// JobDone is the outcome of a run. The verdict NotRun returns the job to the queue.
// Again does so for an idempotent job that has fewer than MaxJobRuns runs.
type JobDone struct {
	Job     string
	Member  string
	Run     int
	Verdict retry.Verdict
	Status  int  // HTTP status of the response, 0 without a response
	Again   bool `json:",omitempty"` // the run failed and another one may succeed
}

// SnapshotChunk is one part of a snapshot of the state at offset Through.
type SnapshotChunk struct {
	Through  int64
	Snapshot string // ID shared by the chunks
	Index    int
	Count    int
	Checksum uint64 // xxhash of the whole encoded state
	Data     []byte
}

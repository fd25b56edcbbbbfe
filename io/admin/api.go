// Package admin implements the operator HTTP API of an entry: its types, its client and its server.
package admin

import (
	"time"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/core/spec"
)

// The paths of the operator API. {id} is the path-escaped ID of the record, VM, wave or job.
const (
	PathConfig     = "/v1/config"            // GET ConfigStatus, POST ApplyRequest → Decision
	PathRecord     = "/v1/records/{id}"      // GET RecordStatus
	PathVMs        = "/v1/vms"               // GET VMList
	PathVM         = "/v1/vms/{id}"          // GET VMDetail
	PathVMDrain    = "/v1/vms/{id}/drain"    // POST VMRequest → Decision
	PathVMMove     = "/v1/vms/{id}/move"     // POST VMRequest → Decision
	PathVMActivate = "/v1/vms/{id}/activate" // POST VMRequest → Decision
	PathPools      = "/v1/pools"             // GET PoolList
	PathServices   = "/v1/services"          // GET ServiceList
	PathWaves      = "/v1/waves"             // GET WaveList, POST WavePlanRequest → Decision
	PathWaveStart  = "/v1/waves/{id}/start"  // POST WaveRequest → Decision
	PathWavePause  = "/v1/waves/{id}/pause"  // POST WaveRequest → Decision
	PathWaveResume = "/v1/waves/{id}/resume" // POST WaveRequest → Decision
	PathWaveAbort  = "/v1/waves/{id}/abort"  // POST WaveRequest → Decision
	PathMembers    = "/v1/members"           // GET MemberList
	PathJob        = "/v1/jobs/{id}"         // GET JobStatus
)

// MaxBodyBytes bounds the body of a request and of an answer.
const MaxBodyBytes = 16 << 20

// Outcome is the result of a request to append a record.
type Outcome string

// The outcomes of a record.
const (
	Accepted Outcome = "accepted" // folded and in force
	Rejected Outcome = "rejected" // folded without effect; Reason says why
	Unknown  Outcome = "unknown"  // not seen in the log yet; it may still be appended
)

// Decision is the answer to every request that writes a record. Its HTTP status is 200 for each outcome.
// A repeated ID gets the outcome of the first record with that ID, so a client may repeat a request to any
// entry.
type Decision struct {
	ID      string // of the record
	Outcome Outcome
	Offset  int64  // of the record; 0 if unknown
	Version int    `json:",omitempty"` // version of the configuration that an accepted Configure created
	Reason  string `json:",omitempty"`
}

// ErrorBody is the body of every answer with a status other than 200.
// With a 4xx status or 503, the answering entry has appended nothing for this request.
// With any other status the outcome is unknown.
type ErrorBody struct {
	Message  string         // what is wrong, where, and what to do
	Problems []spec.Problem `json:",omitempty"` // in a refused configuration
}

// ApplyRequest asks for a new configuration. The operator's client chooses ID, which is also that of the record.
type ApplyRequest struct {
	ID     string // UUID
	Base   int    // version that Fleet replaces; 0 for the first configuration
	Fleet  spec.Fleet
	Writer string // operator, as shown in the history
	Reason string `json:",omitempty"`
}

// ConfigStatus is the configuration in force on the answering entry and
// the version in force on each entry of the fleet.
type ConfigStatus struct {
	Version int // 0 if no configuration was ever applied
	Offset  int64
	Writer  string
	Fleet   spec.Fleet
	Entries []EntryStatus
}

// EntryStatus is the configuration status that an entry last reported to the answering entry.
type EntryStatus struct {
	Member  string
	Admin   string // IP:port of its operator API
	Version int
	Offset  int64     // folded by that entry
	AsOf    time.Time // when the entry reported it
	Silent  bool      `json:",omitempty"` // the entry has stopped reporting; Version and Offset are the last reported ones
}

// RecordStatus is the outcome of a record as far as the answering entry has folded the log. Unknown means that
// the record is not in the log up to Through. A delayed append may still follow, so only a repetition of the
// request with the same ID makes the outcome certain.
type RecordStatus struct {
	Decision
	Kind    fleet.Kind `json:",omitempty"`
	Through int64      // offset that the answering entry has folded
}

// VMList lists every VM of the fleet, without histories.
type VMList struct {
	Through int64
	VMs     []fleet.VM
}

// VMDetail is a VM with its history and what delays it.
type VMDetail struct {
	Through  int64
	VM       fleet.VM
	Waiting  []string `json:",omitempty"` // members whose acknowledgement a drain waits for
	CanDrain bool     `json:",omitempty"` // a voluntary drain would be accepted now
	Holds    []string `json:",omitempty"` // texts for operators: what the VM waits for, or why it cannot be drained
}

// VMRequest drains, moves or activates a VM.
type VMRequest struct {
	ID     string // UUID of the record
	Gen    int64  // expected generation of the VM; 0 means the current one on the answering entry
	To     string `json:",omitempty"` // target pool of a move
	Reboot bool   `json:",omitempty"` // for a drain: reboot the VM and return it to its pool
	Writer string
	Reason string `json:",omitempty"`
}

// PoolStatus is a pool and the phases of its VMs.
type PoolStatus struct {
	Pool     spec.Pool
	Services []string // names of the services that use the pool
	Phases   []PhaseCount
	Total    int // VMs in the pool
}

// PhaseCount is the number of VMs in a phase.
type PhaseCount struct {
	Phase fleet.VMPhase
	Count int
}

// PoolList lists every pool, in the order of the configuration.
type PoolList struct {
	Through int64
	Pools   []PoolStatus
}

// ServiceStatus is a service and the state of its availability budget.
type ServiceStatus struct {
	Service     spec.Service
	Total       int    // VMs in its pool
	Active      int    // VMs in phase Active, which get requests
	Unavailable int    // VMs in any other phase
	Room        int    // VMs that voluntary actions may still take out
	Limit       string `json:",omitempty"` // field of the budget that bounds Room
}

// ServiceList lists every service, in the order of the configuration.
type ServiceList struct {
	Through  int64
	Services []ServiceStatus
}

// WavePlanRequest plans a maintenance wave over the VMs of the given pools.
type WavePlanRequest struct {
	ID        string // UUID of the record
	Wave      string // ID of the new wave
	Pools     []string
	Batch     int
	MaxBatch  int
	MaxFailed int
	Writer    string
	Reason    string `json:",omitempty"`
}

// WaveRequest starts, pauses, resumes or aborts a wave, as its path says.
type WaveRequest struct {
	ID     string // UUID of the record
	Writer string
	Reason string `json:",omitempty"`
}

// WaveList lists every wave, in the order of their last change.
type WaveList struct {
	Through int64
	Waves   []fleet.Wave
}

// MemberList lists every member, ordered by ID.
type MemberList struct {
	Through int64
	Members []fleet.Member
}

// JobStatus is a deferrable job without its request, whose headers and body
// may hold the caller's secrets.
type JobStatus struct {
	ID       string
	Service  string
	Class    string
	Tenant   string
	Deadline time.Time
	Phase    fleet.JobPhase
	Member   string `json:",omitempty"` // entry that runs the job or ran it last
	Run      int
	Verdict  retry.Verdict // of an ended job
	Status   int           `json:",omitempty"` // HTTP status of the answer of an ended job
	Offset   int64         // of the last change
}

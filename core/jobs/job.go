// Package jobs defines the records of jobs and of their owners, and folds them from the log.
package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// Job is a job as a caller submitted it. It is immutable once it is stored.
type Job struct {
	ID         string `msg:"i"`
	Queue      string `msg:"q"` // name of the queue that it was submitted to
	Service    string `msg:"s"` // pool whose VMs run it, as configured for the queue at submission
	Spec       string `msg:"p"` // passed to the VM with each start
	Steps      []Step `msg:"t"`
	Times      int    `msg:"n"` // occurrences; 0 runs the steps once without a due time
	FirstMs    int64  `msg:"f"` // due time of occurrence 0 in Unix milliseconds
	EveryMs    int64  `msg:"e"` // interval between occurrences in milliseconds
	AcceptedMs int64  `msg:"a"` // Unix milliseconds on the clock of the entry that accepted it
	// MaxAttempts and PolicyChecked are those of the queue at submission. They apply once the queue has been removed. Records of
	// earlier versions have neither.
	MaxAttempts   int  `msg:"m"`
	PolicyChecked bool `msg:"c"`
	// Route is the route that it was submitted to, as Queue.Route returns it. Records of earlier versions have none.
	Route string `msg:"r,omitempty"`
	// Account is the name of the client account whose key the job was submitted with. It is empty for a job of a public queue, and
	// in a deployment without accounts.
	Account string `msg:"u,omitempty"`
}

// Step is a set of identical work items of a job.
type Step struct {
	Count       int    `msg:"n"`
	CPU         int64  `msg:"c"` // thousandths of a core per item
	MemMB       int64  `msg:"m"`
	GPU         int64  `msg:"g"`
	EstimateMs  int64  `msg:"e"` // run time as estimated by the caller
	After       []int  `msg:"a"` // indices of earlier steps that must be done before this one starts
	Checkpoint  bool   `msg:"k"`
	Gang        bool   `msg:"G"` // its items start and end together
	SameRack    bool   `msg:"r"`
	Speculative bool   `msg:"x"`
	Persistent  bool   `msg:"P"` // runs until the job is cancelled
	Fill        bool   `msg:"F"` // its CPU is not counted against the capacity of the VM
	Label       string `msg:"l"` // label that the VM must have; empty if any VM may run it
	DataRack    string `msg:"d"` // rack that holds its data; preferred, but not required
	Image       string `msg:"i"`
	MaxPerVM    int    `msg:"v"` // maximum number of items of one occurrence on one VM; 0 means no limit
	TargetMs    int64  `msg:"T"` // target tail latency of a serving item towards its own users
	Budget      int    `msg:"b"` // disruption budget: items that this system may make unavailable at once
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// DueMs returns the due time of occurrence k in Unix milliseconds, or 0 for a job without a schedule.
func (j *Job) DueMs(k int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.FirstMs + int64(k)*j.EveryMs
}

// Persistent reports whether the job has an item that runs until the job is cancelled.
func (j *Job) Persistent() bool {
	for i := range j.Steps {
		if j.Steps[i].Persistent {
			return true
		}
	}
	return false
}

// CoreMs returns the estimated CPU time of one occurrence in core-milliseconds, at most maxCoreMs.
func (j *Job) CoreMs() int64 {
	var sum float64
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.EstimateMs) * float64(s.CPU+milliCoresPerGPU*s.GPU) / 1000
	}
	return int64(min(sum, maxCoreMs))
}

// maxCoreMs keeps sums over jobs and their occurrences within the range of int64.
const maxCoreMs = 1 << 40

// milliCoresPerGPU converts a GPU to thousandths of a core at the rate that the platform charges.
const milliCoresPerGPU = 8000

// Limits on accepted jobs.
const (
	MaxSpecBytes   = 4000   // limit of the platform
	MaxSteps       = 256    // keeps a progress record well below the size limit of a log record
	MaxItems       = 10_000 // work items of one occurrence
	MaxGangItems   = 2000   // work items of a gang: more cannot be started within the time for which they wait for each other
	MaxOccurrences = 100_000
	MaxMilliCPU    = 1 << 30 // thousandths of a core; also limits the memory in MB and the GPUs of a step
	MaxEstimateMs  = 1 << 38 // some years, so that sums over the steps of a job stay within the range of int64
)

// Check validates the job against the limits. It returns an error for the first violation.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec has %d bytes, above %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0:
		return fmt.Errorf("job %s has no steps", j.ID)
	case len(j.Steps) > MaxSteps:
		return fmt.Errorf("job has %d steps, above %d", len(j.Steps), MaxSteps)
	case j.Times < 0 || j.Times > MaxOccurrences:
		return fmt.Errorf("job has %d occurrences, outside 0 to %d", j.Times, MaxOccurrences)
	case j.Times > 1 && j.EveryMs < 0:
		return fmt.Errorf("interval of %d ms is negative", j.EveryMs)
	}
	items := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		items += j.Steps[i].Count
	}
	if items > MaxItems {
		return fmt.Errorf("job has %d work items, above %d", items, MaxItems)
	}
	return nil
}

// CheckGangs validates the gangs of a new job. It returns an error for the first that is wider than MaxGangItems.
func (j *Job) CheckGangs() error {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Gang && s.Count > MaxGangItems {
			return fmt.Errorf("step %d is a gang of %d work items, above %d", i, s.Count, MaxGangItems)
		}
	}
	return nil
}

// check validates the step with index i of its job.
func (s *Step) check(i int) error {
	if s.Count < 1 || s.Count > MaxItems {
		return fmt.Errorf("step %d has %d work items, outside 1 to %d", i, s.Count, MaxItems)
	}
	if s.CPU < 0 || s.CPU > MaxMilliCPU || s.MemMB < 0 || s.MemMB > MaxMilliCPU || s.GPU < 0 || s.GPU > MaxMilliCPU ||
		s.EstimateMs < 0 || s.EstimateMs > MaxEstimateMs {
		return fmt.Errorf("step %d asks for a negative or absurd amount", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return fmt.Errorf("step %d comes after step %d, which is not an earlier one", i, a)
		}
	}
	return nil
}

// ValidID reports whether id is a well-formed job ID: 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Item identifies one work item of a job.
type Item struct {
	K     int // occurrence
	Step  int // index of the step
	Index int // index within the step
}

// Name returns the full name of the item of job id, in the form id.occurrence.step.index.
func (it Item) Name(id string) string {
	b := make([]byte, 0, len(id)+16)
	b = append(b, id...)
	for _, n := range [...]int{it.K, it.Step, it.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseItem parses the full name of an item. It returns false if the name is malformed.
func ParseItem(name string) (id string, it Item, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", Item{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return "", Item{}, false
		}
		n[i] = v
	}
	return parts[0], Item{K: n[0], Step: n[1], Index: n[2]}, true
}

// Package node runs one entry on the platform: it serves callers and takes part in the ownership of the shards.
package node

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sassafrasvalve/platform"
)

// Settings are the settings of one entry. The platform fills them in from a template.
type Settings struct {
	Node     string // name of the host
	DC       string
	Front    string  // IP:port at which callers reach the entry
	Ready    string  // IP:port for the balancer's readiness checks
	Peer     string  // IP:port at which other entries reach the entry
	Policy   string  // IP:port of the policy that decides which VMs may run the steps of some queues; may be empty
	Metrics  string  // IP:port/path of the metrics; empty serves none
	CPUShare float64 // share of a core that the host has, 0 if unknown
	MemoryMB int64   // memory limit of the process, 0 for none
	LogLevel string

	Store StoreSettings
	Cloud CloudSettings
	Times TimeSettings

	path string // file that the settings were read from
}

// StoreSettings describe the platform's log.
type StoreSettings struct {
	Addr        string // IP:port
	Parts       int    // number of partitions of a topic
	RecordBytes int    // largest record with its key, 0 for the usual limit
	CallBytes   int    // largest size of all records of an append, 0 for the usual limit
}

// limits returns the log's limits on sizes.
func (s *StoreSettings) limits() platform.Limits {
	return platform.Limits{RecordBytes: s.RecordBytes, CallBytes: s.CallBytes}
}

// CloudSettings describe the service that moves machines and takes them down for upkeep.
type CloudSettings struct {
	Addr        string  // IP:port
	CallsPerS   float64 // limit on moves and upkeeps per second, of all processes together; 0 for none
	ReadsPerS   float64 // limit on reads per second
	FenceChecks bool    // the service refuses orders with an earlier fence number
}

// TimeSettings are the platform's time limits in milliseconds.
type TimeSettings struct {
	StatusMs int64 // time for which the status of a finished job must be available
	EarlyMs  int64 // maximum time by which an occurrence may start before it is due
	GraceMs  int64 // time between the stop signal and the kill
	NoticeMs int64 // time for which a persistent item may be absent before it counts against its budget
	HarmMs   int64 // time for which a serving item may be above its target
	PaceMs   int64 // time until a throttle order takes effect
	StopMs   int64 // time until a stop that a VM has accepted takes effect, 0 if unknown
	ConfigMs int64 // time within which a new configuration must be in force, 0 if unknown
	LeaseMs  int64 // time for which a machine controller that replaces a silent one sends no orders

	// The following are optional. 0 means the constant that stands for the bound otherwise. Times in seconds may have fractions.
	HoldMaxMs    int64   // longest lease that a VM grants
	CheckpointMs int64   // interval of the checkpoints of an item
	CheckpointS  float64 // the same in seconds
	RestoreMs    int64   // time until an item has loaded its checkpoint
	MoveMs       int64   // time from the order of a move until the machine has a VM in its new pool
	MoveS        float64 // the same in seconds
	UpkeepMs     int64   // time from the order of an upkeep until the machine has a VM again
	UpkeepS      float64 // the same in seconds
	RemoteFactor float64 // factor by which work takes longer away from its data
}

// LoadSettings reads and checks the settings file at path. The error lists all problems.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{LogLevel: "info", path: path}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("decode settings %s: %w", path, err)
	}
	if problems := s.problems(); len(problems) > 0 {
		return nil, fmt.Errorf("the settings in %s are not valid:\n%s", path, strings.Join(problems, "\n"))
	}
	s.Times.convertSeconds()
	return s, nil
}

// problems checks the settings and returns a line for each problem.
func (s *Settings) problems() []string {
	var list []string
	if s.Node == "" {
		list = append(list, "Node is missing: give the name of the machine")
	}
	addrs := []struct{ name, value string }{
		{"Front", s.Front}, {"Ready", s.Ready}, {"Peer", s.Peer}, {"Store.Addr", s.Store.Addr}, {"Cloud.Addr", s.Cloud.Addr},
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			list = append(list, fmt.Sprintf("%s = %q is not IP:port", a.name, a.value))
		}
	}
	if s.Store.Parts < 1 {
		list = append(list, fmt.Sprintf("Store.Parts = %d must be at least 1", s.Store.Parts))
	}
	if s.Store.RecordBytes < 0 || s.Store.CallBytes < 0 {
		list = append(list, "Store.RecordBytes and Store.CallBytes must not be negative")
	}
	if s.Times.StatusMs < 1 || s.Times.GraceMs < 1 {
		list = append(list, "Times.StatusMs and Times.GraceMs must be above 0")
	}
	return append(list, s.Times.problems()...)
}

// Package node runs one entry on the platform: it serves callers and takes part in the ownership of the shards.
package node

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings are what one entry needs on the platform. The platform fills them in from a template.
type Settings struct {
	Node     string // name of the machine
	DC       string
	Front    string  // IP:port for callers
	Ready    string  // IP:port for the balancer's checks
	Peer     string  // IP:port for other entries
	Policy   string  // IP:port of the policy that allows VMs for the steps of some queues; may be empty
	Metrics  string  // IP:port/path; empty serves none
	CPUShare float64 // of a core that the machine has
	MemoryMB int64   // limit of the process
	LogLevel string

	Store StoreSettings
	Cloud CloudSettings
	Times TimeSettings

	path string // of the file
}

// StoreSettings tell about the platform's log.
type StoreSettings struct {
	Addr  string // IP:port
	Parts int    // partitions of a topic
}

// CloudSettings tell about the service that moves machines and takes them down.
type CloudSettings struct {
	Addr        string  // IP:port
	CallsPerS   float64 // moves and upkeeps of all processes together
	ReadsPerS   float64
	FenceChecks bool
}

// TimeSettings are the platform's bounds, in milliseconds.
type TimeSettings struct {
	StatusMs int64 // how long a finished job stays known
	EarlyMs  int64 // how much before its time an occurrence may start
	GraceMs  int64 // between the stop signal and the kill
	NoticeMs int64 // how long a lasting item may be away before it counts against its budget
	HarmMs   int64 // how long a serving item may be over its target
	PaceMs   int64 // until an order to pace takes effect
	StopMs   int64 // until a stop that a VM has accepted is carried out; 0 if it is not known
	ConfigMs int64 // within which a new configuration must be in force; 0 if it is not known
	LeaseMs  int64 // for so long after another process's order a machine is left alone
}

// LoadSettings reads and checks the settings file at path. The error lists all faults.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{LogLevel: "info", path: path}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("decode settings %s: %w", path, err)
	}
	if faults := s.faults(); len(faults) > 0 {
		return nil, fmt.Errorf("the settings in %s are not valid:\n%s", path, strings.Join(faults, "\n"))
	}
	return s, nil
}

// faults returns a line for each fault.
func (s *Settings) faults() []string {
	var f []string
	if s.Node == "" {
		f = append(f, "Node is missing: give the name of the machine")
	}
	addrs := []struct{ name, value string }{
		{"Front", s.Front}, {"Ready", s.Ready}, {"Peer", s.Peer}, {"Store.Addr", s.Store.Addr}, {"Cloud.Addr", s.Cloud.Addr},
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			f = append(f, fmt.Sprintf("%s = %q is not IP:port", a.name, a.value))
		}
	}
	if s.Store.Parts < 1 {
		f = append(f, fmt.Sprintf("Store.Parts = %d must be at least 1", s.Store.Parts))
	}
	if s.Times.StatusMs < 1 || s.Times.GraceMs < 1 {
		f = append(f, "Times.StatusMs and Times.GraceMs must be above 0")
	}
	return f
}

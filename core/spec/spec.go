// Package spec defines the fleet configuration, its defaults and its validation.
package spec

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Defaults of Pool.Slots and Pool.Connections.
const (
	DefaultSlots       = 8  // requests in progress per worker, over all entries
	DefaultConnections = 64 // open connections per worker, over all entries
)

// Fleet is a complete configuration, as operators write it and as the log stores it.
type Fleet struct {
	Pools    []Pool
	Services []Service
	Classes  []Class
	Tenants  []Tenant
}

// Pool is a group of VMs that serve the same services.
type Pool struct {
	Name        string
	Region      string // region of all its VMs; may be empty if the fleet has only one region
	Size        int    // number of VMs that repair maintains in the pool
	Spare       bool   // VMs of this pool replace failed VMs of others
	Slots       int    // per worker; 0 means DefaultSlots
	Connections int    // per worker; 0 means DefaultConnections
}

// Service is what callers send requests to. It runs on one pool.
type Service struct {
	Name   string
	Pool   string
	Public bool `json:",omitempty"` // callers need no API key
	Budget Budget
}

// Budget bounds how many VMs of a service may be made unavailable voluntarily, such as for maintenance.
// A zero field sets no bound.
type Budget struct {
	MinAvailable        int // VMs that must stay active
	MinAvailablePercent int // percentage of the pool's VMs that must stay active, rounded up
	MaxUnavailable      int // VMs that may be unavailable at once
	MaxUnavailablePerDC int // VMs that may be unavailable at once in each data centre
}

// Class is a kind of work with its priority and its share of the slots.
type Class struct {
	Name       string
	Rank       int     // priority: 0 is the most urgent; classes with a higher rank give up slots first
	Share      float64 // guaranteed fraction of a pool's slots, 0 to 1
	Ceiling    float64 // maximum fraction of a pool's slots, including borrowed ones; 0 means 1
	MaxWait    Duration
	Deferrable bool   // accepted into the log and run by FinishBy
	Idempotent bool   // may be run again if the outcome is unknown
	FinishBy   string // weekly deadline of a deferrable class: weekday and time in UTC, such as "Sat 06:00"
}

// Tenant is a team with a quota.
type Tenant struct {
	Name   string
	Weight int     // share among the tenants of a class; 0 means 1
	Rate   float64 // accepted requests per second over all entries; 0 means no limit
	Burst  int     // requests accepted at once above Rate; 0 means the requests of one second at Rate

	// Digests of the API keys of the tenant's callers. If any tenant has keys, callers of services that are not public need one.
	Keys []KeyDigest `json:",omitempty"`

	// Limits of what the tenant may use at once over all pools; 0 means no limit.
	MaxCPU   int `json:",omitempty"` // thousandths of a core
	MaxMemMB int `json:",omitempty"`
	MaxGPU   int `json:",omitempty"`
}

// KeyDigest is the SHA-256 digest of an API key as 64 lower-case hexadecimal digits. A configuration holds digests, since
// its files are reviewed and stored in the log.
type KeyDigest string

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// shownDigits is the number of digits of a digest that String keeps. They tell apart the keys of a tenant.
const shownDigits = 8

// String returns the first digits of the digest, so that formatted configurations do not contain whole digests.
func (d KeyDigest) String() string {
	if len(d) <= shownDigits {
		return string(d)
	}
	return string(d[:shownDigits]) + "…"
}

// valid reports whether the digest has the format that DigestKey returns.
func (d KeyDigest) valid() bool {
	return len(d) == hex.EncodedLen(sha256.Size) && strings.Trim(string(d), "0123456789abcdef") == ""
}

// Duration is a duration that is encoded as text, such as "2.5s".
type Duration time.Duration

// MarshalText encodes the duration in the format of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes the format of time.ParseDuration. It returns an error for any other text.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"2.5s\"", b)
	}
	*d = Duration(v)
	return nil
}

// Problem is one error in a configuration.
type Problem struct {
	Path    string   // path of the invalid element or field, such as `Services["holds"].Budget.MinAvailable`
	Message string   // what is wrong and how to correct it
	Related []string `json:",omitempty"` // paths of the other values involved
}

// Error formats the path and the message on one line.
func (p Problem) Error() string { return p.Path + ": " + p.Message }

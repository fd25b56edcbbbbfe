package daemon

import (
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/slots"
)

// Methods of the calls between entries, beside those of package claims.
const (
	methodPing    = "Ping"
	methodRecords = "Records"
	methodState   = "State"
	methodSlots   = "Slots"
	methodSponsor = "Sponsor"
)

// Digest is what an entry tells the others about itself with each ping.
type Digest struct {
	Member   string
	Offset   int64    // folded
	ReadAge  int64    // ms since its last fresh read of the log began, -1 without one
	Version  int      // of the configuration in force
	Program  int      // record version
	Serving  bool     // holds a view lease
	Ejected  []string `json:",omitempty"` // VMs ejected for failures for at least sickAfter
	Dead     []string `json:",omitempty"` // VMs that refuse connections for at least deadAfter
	Leaving  []string `json:",omitempty"` // VMs that the list or an operator takes away
	Stopping bool     `json:",omitempty"`
	Able     bool     `json:",omitempty"` // reads the log and the VM list itself, not through a peer
}

// Ping is the heartbeat between entries.
type Ping struct {
	Digest
	Addr string // of the caller's peer server
}

// Pong answers a Ping.
type Pong struct {
	Digest
	Promise *member.Promise `json:",omitempty"`
}

// RecordsRequest asks for raw records from an offset on.
type RecordsRequest struct {
	From int64
}

// RecordsReply holds consecutive raw records. Gone says that the first one is not held any more.
type RecordsReply struct {
	Records []entryRecord `json:",omitempty"`
	Gone    bool          `json:",omitempty"`
}

// StateRequest asks for one part of the packed state. An empty Snapshot asks for the newest.
type StateRequest struct {
	Snapshot string
	Part     int
}

// StateReply is one part of a packed state.
type StateReply struct {
	Snapshot string
	Through  int64
	Checksum uint64
	Part     int
	Parts    int
	Data     []byte
}

// SlotsRequest carries the reports of one entry to the owner of the pools.
type SlotsRequest struct {
	Reports []slots.Report
}

// SlotsReply carries the replies in the order of the reports.
type SlotsReply struct {
	Replies []slots.Reply
}

// SponsorRequest asks for a lease for a process that is not a member.
type SponsorRequest struct {
	Guest string
}

// SponsorReply grants a lease of TermMS from when the request was sent; 0 refuses.
type SponsorReply struct {
	TermMS int64
}

package daemon

import (
	"sassafrasvalve/core/member"
	"sassafrasvalve/core/slots"
)

// Methods of the calls between entries that packages peer and claims do not define.
const (
	methodSlots   = "Slots"
	methodSponsor = "Sponsor"
	// methodSlotsPush is a notification with a SlotsReply as its parameters.
	methodSlotsPush = "SlotsPush"
)

// Digest is the state that an entry reports about itself in each Ping and Pong.
type Digest struct {
	Member   string
	Offset   int64    // of the last folded record
	ReadAge  int64    // ms since the start of its last fresh read of the log, -1 without one
	ListAge  int64    // ms since its last read of the VM list, -1 without one
	Version  int      // version of the configuration in force
	Program  int      // newest record version that its program supports
	Serving  bool     // holds a valid lease on its view
	Ejected  []string `json:",omitempty"` // VMs ejected for failures for at least ejectedReportDelay
	Dead     []string `json:",omitempty"` // VMs that refuse connections for at least refusedReportDelay
	Leaving  []string `json:",omitempty"` // VMs that its VM list marks as leaving
	Stopping bool     `json:",omitempty"` // has begun a planned stop
	Able     bool     `json:",omitempty"` // reads the log and the VM list directly, not through a peer
}

// Ping is the request of a heartbeat between entries.
type Ping struct {
	Digest
	Addr string // IP:port of the caller's peer server
}

// Pong answers a Ping. Promise is nil if the peer gives none.
type Pong struct {
	Digest
	Promise *member.Promise `json:",omitempty"`
}

// SlotsRequest carries the slot reports of one entry to the owner of their pools.
type SlotsRequest struct {
	Reports []slots.Report
}

// SlotsReply carries one reply for each report, in the order of the reports.
type SlotsReply struct {
	Replies []slots.Reply
}

// SponsorRequest asks for a lease for Guest, a process that is not a member.
type SponsorRequest struct {
	Guest   string
	Records int64 // number of log records in the view that the guest uses; 0 from programs that do not tell it
}

// SponsorReply grants a lease of TermMS milliseconds from the sending of the request; 0 refuses it.
type SponsorReply struct {
	TermMS int64
}

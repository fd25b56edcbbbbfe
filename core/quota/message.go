package quota

import "sassafrasvalve/core/jobs"

// Use is what the jobs of one account use in one shard.
type Use struct {
	Used    jobs.Amount // running, or started without a reply, or being stopped
	Unknown jobs.Amount // may run in addition without being known
	Want    jobs.Amount // Used and what the waiting items need
	Item    jobs.Amount // what the next waiting item needs; zero if that is not known
}

// Report tells the allocator what one shard holds and uses. Accounts that hold, use and want nothing are left out.
type Report struct {
	Shard     int
	Epoch     int64                    // of the shard's owner
	Seq       int64                    // rises with each report of an epoch
	Allocator int64                    `json:",omitempty"` // highest epoch of an allocator that the owner has seen
	Version   int64                    `json:",omitempty"` // of the configuration that the owner uses
	Unknown   jobs.Amount              `json:",omitzero"`  // may run in addition to Use.Unknown for any account
	Accounts  map[string]AccountReport `json:",omitempty"`
}

// AccountReport is the part of a report for one account.
type AccountReport struct {
	Held    jobs.Amount `json:",omitzero"`
	Used    jobs.Amount `json:",omitzero"`
	Unknown jobs.Amount `json:",omitzero"`
	Want    jobs.Amount `json:",omitzero"` // zero if it equals Used
	Item    jobs.Amount `json:",omitzero"`
	Extra   bool        `json:",omitempty"` // holds the right to the extra item
}

// Grant answers a report. An account that it leaves out gets nothing. The zero Grant is never applied.
type Grant struct {
	Shard    int
	Owner    int64                `json:",omitempty"` // epoch of the report that it answers
	Seq      int64                `json:",omitempty"` // of the report that it answers
	Epoch    int64                `json:",omitempty"` // of the allocator
	Version  int64                `json:",omitempty"` // of the configuration that the allocator uses
	Keep     bool                 `json:",omitempty"` // allowances stay as they are: the allocator does not know enough yet
	Soon     bool                 `json:",omitempty"` // the allocator waits for the next report
	Accounts map[string]Allowance `json:",omitempty"`
}

// Allowance is what one shard may have running of one account.
type Allowance struct {
	Max   jobs.Amount `json:",omitzero"`
	Limit jobs.Amount `json:",omitzero"`  // limit of the account from which Max was computed; 0 means no limit
	Extra bool        `json:",omitempty"` // one item may exceed Max
	Keep  bool        `json:",omitempty"` // the allowance stays as it is
}

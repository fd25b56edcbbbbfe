package owner

import (
	"context"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/retry"
)

// maxIntakes bounds the records that wait for the next append of a shard.
const maxIntakes = 512

// Stored says what became of records that were handed to an owner.
type Stored struct {
	Owner   bool // the process is the owner; otherwise nothing was done
	Verdict retry.Verdict
}

// intake is records that an entry hands in, to be stored with the owner's next batch.
type intake struct {
	records []jobs.Record
	done    chan Stored // of size 1
}

// Store has records stored with the owner's next batch. Records may be stored twice without harm.
func (o *Owner) Store(ctx context.Context, records []jobs.Record) Stored {
	if !o.owning.Load() {
		return Stored{Verdict: retry.NotRun}
	}
	if o.failing.Load() != 0 {
		return Stored{Verdict: retry.NotRun} // the store may still serve the entry that asks
	}
	in := &intake{records: records, done: make(chan Stored, 1)}
	select {
	case o.inbox <- in:
	default:
		return Stored{Owner: true, Verdict: retry.NotRun}
	}
	select {
	case s := <-in.done:
		return s
	case <-ctx.Done():
		return Stored{Owner: true, Verdict: retry.MayHaveRun}
	}
}

// takeIntakes returns what waits in the inbox.
func (o *Owner) takeIntakes() []*intake {
	var list []*intake
	for {
		select {
		case in := <-o.inbox:
			list = append(list, in)
		default:
			return list
		}
	}
}

// answer ends a list of intakes.
func answer(list []*intake, s Stored) {
	for _, in := range list {
		in.done <- s
	}
}

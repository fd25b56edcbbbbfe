package chaos

import (
	"fmt"
	"time"

	"sassafrasvalve/core/fleet"
)

// verdict mirrors oplog.Verdict.
type verdict int

const (
	unknown verdict = iota
	accepted
	rejected
	notAppended
)

// outcome mirrors oplog.Outcome.
type outcome struct {
	verdict verdict
	offset  int64
}

// pendingAppend is a record whose result the fold does not show yet.
type pendingAppend struct {
	data          []byte
	done          []func(outcome)
	mayBeAppended bool // an append without a response may have taken effect
	sending       bool
	appended      bool // the platform confirmed the append
	attempts      int
}

// append mirrors oplog.Writer.Append: it repeats the record with the same ID until the fold shows its result or the
// limit has passed.
func (e *entry) append(r fleet.Record, limit time.Duration, done func(outcome)) {
	if r.ID == "" {
		r.ID = e.w.newID("r")
	}
	r.Version, r.At = fleet.RecordVersion, e.w.now
	if r.Writer == "" {
		r.Writer = e.group.self.ID
	}
	if it := e.appends[r.ID]; it != nil {
		it.done = append(it.done, done)
		return
	}
	data, err := fleet.Encode(r)
	if err != nil {
		e.w.fail("encode: %v", err)
	}
	it := &pendingAppend{data: data, done: []func(outcome){done}}
	e.appends[r.ID] = it
	e.after(20*time.Millisecond, func() { e.send(r.ID, it) })
	e.after(limit, func() {
		if it.mayBeAppended || it.sending || it.appended {
			e.finish(r.ID, it, outcome{unknown, 0})
		} else {
			e.finish(r.ID, it, outcome{notAppended, 0})
		}
	})
}

func (e *entry) send(id string, it *pendingAppend) {
	if e.appends[id] != it || it.appended {
		return
	}
	it.sending = true
	it.attempts++
	pause := min(50*time.Millisecond<<min(it.attempts, 4), 500*time.Millisecond)
	e.platform(2*time.Second, e.w.log.loseShare, func() any {
		if !e.w.log.appendLimited(it.data) {
			return nil
		}
		return true
	}, func(any) {
		it.sending, it.appended = false, true
	}, func() {
		it.sending = false
		e.after(pause, func() { e.send(id, it) })
	}, func() {
		it.sending, it.mayBeAppended = false, true
		e.after(250*time.Millisecond, func() { e.send(id, it) })
	})
}

func (e *entry) finish(id string, it *pendingAppend, o outcome) {
	if e.appends[id] != it {
		return
	}
	delete(e.appends, id)
	for _, f := range it.done {
		e.after(0, func() { f(o) })
	}
}

// observe mirrors Daemon.reportResult and oplog.Writer.Observe.
func (e *entry) observe(r fleet.Result) {
	it := e.appends[r.ID]
	if it == nil || r.ID == "" {
		return
	}
	o := outcome{rejected, r.Offset}
	if r.Accepted {
		o.verdict = accepted
	}
	if r.Duplicate {
		o = outcome{unknown, 0}
	}
	e.finish(r.ID, it, o)
}

// submit mirrors Daemon.submit.
func (e *entry) submit(r fleet.Record, done func(outcome)) {
	key := pendingKey(r)
	if e.pending[key] {
		return
	}
	e.pending[key] = true
	e.append(r, 30*time.Second, func(o outcome) {
		delete(e.pending, key)
		if done != nil {
			done(o)
		}
	})
}

// pendingKey mirrors daemon.pendingKey.
func pendingKey(r fleet.Record) string {
	switch {
	case r.Ack != nil:
		return "Ack"
	case r.Join != nil:
		return "Join " + r.Join.Member.ID
	case r.Suspect != nil:
		return "Suspect " + r.Suspect.Target
	case r.Evict != nil:
		return "Evict " + r.Evict.Target
	case r.Fence != nil:
		return "Fence " + r.Fence.Target
	case r.ID != "":
		return r.ID
	}
	switch r.Kind {
	case fleet.KindObserve:
		return fmt.Sprintf("%s %+v", r.Kind, *r.Observe)
	case fleet.KindDrain:
		return fmt.Sprintf("%s %+v", r.Kind, *r.Drain)
	case fleet.KindAssign:
		return fmt.Sprintf("%s %+v", r.Kind, *r.Assign)
	case fleet.KindReboot:
		return fmt.Sprintf("%s %+v", r.Kind, *r.Reboot)
	case fleet.KindActivate:
		return fmt.Sprintf("%s %+v", r.Kind, *r.Activate)
	case fleet.KindFail:
		return fmt.Sprintf("%s %+v", r.Kind, *r.Fail)
	case fleet.KindRemove:
		return fmt.Sprintf("%s %+v", r.Kind, *r.Remove)
	case fleet.KindWave:
		return fmt.Sprintf("%s %s %s", r.Kind, r.Wave.ID, r.Wave.Action)
	default:
		return fmt.Sprintf("%s %s", r.Kind, r.Reason)
	}
}

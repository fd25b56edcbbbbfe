package daemon

import (
	"fmt"
	"sync"

	"sassafrasvalve/core/fleet"
)

// pendingSet holds the keys of the records that are queued or being appended, so that a loop that finds the same
// record due again does not append it twice. It is safe for concurrent use.
type pendingSet struct {
	mu   sync.Mutex
	keys map[string]bool
}

func newPendingSet() *pendingSet { return &pendingSet{keys: map[string]bool{}} }

// Begin adds the key of r. It returns false if a record with the same key is pending already.
func (p *pendingSet) Begin(r fleet.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := pendingKey(r)
	if p.keys[k] {
		return false
	}
	p.keys[k] = true
	return true
}

// End removes the key of r.
func (p *pendingSet) End(r fleet.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.keys, pendingKey(r))
}

// pendingKey returns the key by which two records count as the same: the member that they are about, their ID
// (records of an operator always have one), or their kind and payload.
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
	return fmt.Sprintf("%s %+v", r.Kind, payload(r))
}

// payload returns the part of a controller's record that identifies it.
func payload(r fleet.Record) any {
	switch r.Kind {
	case fleet.KindObserve:
		return *r.Observe
	case fleet.KindDrain:
		return *r.Drain
	case fleet.KindAssign:
		return *r.Assign
	case fleet.KindReboot:
		return *r.Reboot
	case fleet.KindActivate:
		return *r.Activate
	case fleet.KindFail:
		return *r.Fail
	case fleet.KindRemove:
		return *r.Remove
	case fleet.KindWave:
		return fmt.Sprintf("%s %s", r.Wave.ID, r.Wave.Action)
	default:
		return r.Reason
	}
}

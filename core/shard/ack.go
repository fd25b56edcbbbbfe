package shard

// heldAck is an end as done that is not acknowledged before a time, as a copy of the start of its run may still be executed. To
// the platform an item may run again as long as its end is not acknowledged.
type heldAck struct {
	seq   int64
	until int64
}

// maxHeldEnds is the number of ends that are held back at most. A VM lists 500 ends at a time, and further ones only when these are
// acknowledged.
const maxHeldEnds = 250

// ackableSeq returns the sequence number up to which the ends of a VM may be acknowledged once they are recorded.
func (v *vm) ackableSeq(now int64) int64 {
	if len(v.heldAcks) == 0 || v.seenSeq-v.ackedSeq > maxHeldEnds {
		return v.seenSeq
	}
	seq, kept := v.seenSeq, v.heldAcks[:0]
	for _, h := range v.heldAcks {
		if now < h.until {
			kept = append(kept, h)
			seq = min(seq, h.seq-1)
		}
	}
	v.heldAcks = kept
	return seq
}

// HoldsEnds reports whether recorded ends of a VM are held back, so that it replies to each poll at once.
func (e *Engine) HoldsEnds(id string, now int64) bool {
	v := e.vms[id]
	return v != nil && v.ackableSeq(now) < v.seenSeq
}

// ackIfClean acknowledges the processed ends of a VM if nothing is waiting to be recorded, so that the VM may delete
// them.
func (e *Engine) ackIfClean(v *vm, now int64) {
	if len(e.dirty) == 0 && !e.recording {
		v.ackedSeq = max(v.ackedSeq, v.ackableSeq(now))
	}
}

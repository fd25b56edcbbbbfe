package owner

import "sassafrasvalve/core/clock"

// takeoverMs is the usual time in ms from the moment at which a shard may be claimed until its new owner has read its records.
const takeoverMs = 500

// NextOwnerMs returns the time in ms after which the shard should have another owner if the present one does not answer, or 0 if
// that is not known.
func (o *Owner) NextOwnerMs() int64 {
	at := o.claimableAtMs.Load()
	if at == 0 {
		return 0
	}
	return max(at-clock.BootMs(), 0) + takeoverMs
}

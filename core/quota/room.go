package quota

import "sassafrasvalve/core/jobs"

// Room returns what an account may start while it uses an amount in this shard, and false if it has no limit. A resource without a
// limit has noLimit.
func (h *Holder) Room(account string, used jobs.Amount, noLimit int64) (jobs.Amount, bool) {
	limit := h.limit(account)
	if !limit.hasLimit() {
		return jobs.Amount{}, false
	}
	room := h.held[account].max.sub(toVector(used)).max(vector{})
	for r := range room {
		if limit[r] == unlimited {
			room[r] = noLimit
		}
	}
	return room.amount(), true
}

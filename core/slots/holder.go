package slots

import (
	"slices"
	"time"

	"sassafrasvalve/core/hash"
)

// Load is the number of requests of an entry in a pool, per class in the order of the view.
type Load struct {
	Run  []int // in progress
	Wait []int // queued
}

// Mode tells which slots a holder may use.
type Mode int

// Modes of a holder, from the normal one to the most restricted.
const (
	ModeLeased   Mode = iota // the limits set by the owner
	ModeLapsed               // the leases have ended: the limits, but at most the home slots
	ModeFallback             // no contact with the owner for two TTLs: the home slots
)

// String returns the name of the mode.
func (m Mode) String() string { return [...]string{"leased", "lapsed", "fallback"}[m] }

// Holder uses the slots of one pool at one entry. It is not safe for concurrent use.
type Holder struct {
	policy         Policy
	pool           string
	view           View
	index          map[string]int // VM to index in view.Workers
	owner          string
	listNum        int            // version of the worker list
	home           []int          // home slots per worker
	transitionHome []int          // after a change of members: the smaller of the home slots by the earlier and the new list
	transitionEnd  time.Time      // until then transitionHome counts, as other entries may follow the earlier list
	limits         []int          // slots per worker that the owner has lent
	inUse          map[string]int // requests in progress, also on VMs that are not in the view
	sendWorkers    bool           // the owner needs the worker list
	seq            uint64         // Seq of the newest report
	ackSeq         uint64         // Seq and Num of the reply in force
	ackNum         int
	sent           []sentReport // reports that may still be answered, and the one answered last

	intervalFactor float64   // factor on the report intervals for the entry's own control traffic
	ownerFactor    float64   // factor on the report intervals for the owner's control traffic
	recall         int       // slots to return as they become free
	leaseEnd       time.Time // end of the leases
	fallbackAt     time.Time // start of ModeFallback
	lastReportAt   time.Time // time of the newest report
	dueAt          time.Time // time of the next report
	waiting        bool      // requests are queued
	reportedWait   []int     // queued requests per class in the newest report, or fewer if the queue has shrunk since
	poolRun        Counts    // requests in progress at all entries per class
	poolWait       Counts    // requests queued at all entries per class
}

// sentReport is a report to which the owner may still send a reply or an update.
type sentReport struct {
	seq      uint64
	sentAt   time.Time
	held     Counts // Held of the report
	returned []int  // slots returned since the report, per worker
}

// maxPending is the maximum number of reports and, at the owner, of replies that are kept as pending.
const maxPending = 64

// NewHolder returns a holder without slots. It falls back to its home slots
// two TTLs after now unless an owner replies.
func NewHolder(now time.Time, pool string, p Policy) *Holder {
	p = p.withDefaults()
	return &Holder{
		policy: p, pool: pool,
		index: map[string]int{}, inUse: map[string]int{},
		intervalFactor: 1, ownerFactor: 1, leaseEnd: now, fallbackAt: now.Add(2 * p.TTL), dueAt: now,
	}
}

// SetView sets the workers and members. Workers that are no longer listed get no new requests.
func (h *Holder) SetView(now time.Time, v View) {
	old, oldLimits, oldSelf, oldMembers := h.view.Workers, h.limits, h.view.Self, h.view.Members
	h.view = v.sorted()
	h.limits = make([]int, len(h.view.Workers))
	h.index = make(map[string]int, len(h.view.Workers))
	for i, vm := range h.view.Workers {
		h.index[vm] = i
		if o, ok := slices.BinarySearch(old, vm); ok {
			h.limits[i] = oldLimits[o]
		}
	}
	h.updateHomeSlots(now, old, oldMembers)
	if !slices.Equal(old, h.view.Workers) {
		h.listNum++
		h.sendWorkers = true
		// Replies to earlier reports are in the order of the old list.
		h.sent = nil
	}
	if oldSelf != "" && oldSelf != h.view.Self {
		// The leases of the earlier member ID became void when it was fenced.
		h.owner, h.leaseEnd, h.fallbackAt = "", now, now.Add(2*h.policy.TTL)
	}
	if owner := hash.Owner(h.pool, h.view.Members); owner != h.owner {
		h.owner, h.ackSeq, h.ackNum, h.sendWorkers, h.sent = owner, 0, 0, true, nil
		h.recall = 0
	}
	h.dueAt = now
}

// updateHomeSlots sets the home slots. While entries may disagree on the
// members, only slots that both member lists give to this entry count.
func (h *Holder) updateHomeSlots(now time.Time, oldWorkers, oldMembers []string) {
	before := remap(oldWorkers, h.view.Workers, h.homeSlotsAt(now))
	h.home = h.view.HomeSlots(h.view.Self)
	if len(oldMembers) == 0 || slices.Equal(oldMembers, h.view.Members) {
		h.transitionHome = remap(oldWorkers, h.view.Workers, h.transitionHome)
		for i, vm := range h.view.Workers {
			if _, ok := slices.BinarySearch(oldWorkers, vm); !ok {
				h.transitionHome[i] = h.home[i]
			}
		}
		return
	}
	h.transitionHome = before
	for i := range h.transitionHome {
		h.transitionHome[i] = min(before[i], h.home[i])
	}
	h.transitionEnd = now.Add(2 * h.policy.TTL)
}

// homeSlotsAt returns the home slots that the entry may use at now.
func (h *Holder) homeSlotsAt(now time.Time) []int {
	if now.Before(h.transitionEnd) {
		return h.transitionHome
	}
	return h.home
}

// Owner returns the ID of the member that lends the pool's slots, or "" if there are no members.
func (h *Holder) Owner() string { return h.owner }

// Mode returns the mode at now.
func (h *Holder) Mode(now time.Time) Mode {
	switch {
	case now.Before(h.leaseEnd):
		return ModeLeased
	case now.Before(h.fallbackAt):
		return ModeLapsed
	default:
		return ModeFallback
	}
}

// allowedSlots returns the number of slots of worker i that the entry may use.
func (h *Holder) allowedSlots(now time.Time, i int) int {
	n := h.limits[i]
	switch h.Mode(now) {
	case ModeLapsed:
		n = min(n, h.homeSlotsAt(now)[i])
	case ModeFallback:
		n = h.homeSlotsAt(now)[i]
	case ModeLeased:
	}
	return min(n, h.view.connectionCap())
}

// Free returns the number of additional requests that may be started on vm.
func (h *Holder) Free(now time.Time, vm string) int {
	i, ok := h.index[vm]
	if !ok {
		return 0
	}
	return max(0, h.allowedSlots(now, i)-h.inUse[vm])
}

// Slots returns the number of slots that the entry may use over all workers. It
// includes those of requests in progress, also on VMs that are not in the view.
func (h *Holder) Slots(now time.Time) int {
	n := 0
	for i, vm := range h.view.Workers {
		n += max(h.allowedSlots(now, i), h.inUse[vm])
	}
	for vm, k := range h.inUse {
		if _, ok := h.index[vm]; !ok {
			n += k
		}
	}
	return n
}

// InUse returns the number of requests in progress on vm, which need not be in the view.
func (h *Holder) InUse(vm string) int { return h.inUse[vm] }

// Start takes a slot of vm. It returns false if none is free.
func (h *Holder) Start(now time.Time, vm string) bool {
	if h.Free(now, vm) == 0 {
		return false
	}
	h.inUse[vm]++
	return true
}

// Finish frees a slot of vm. If the owner has recalled slots, the slot is returned and the next report is brought forward.
func (h *Holder) Finish(now time.Time, vm string) {
	if h.inUse[vm]--; h.inUse[vm] <= 0 {
		delete(h.inUse, vm)
	}
	i, ok := h.index[vm]
	if !ok || h.Mode(now) != ModeLeased {
		return
	}
	if h.inUse[vm] >= h.limits[i] {
		h.reportSoon(now) // the limit was lowered below the use, and the owner waits for this slot
		return
	}
	if h.recall > 0 {
		h.recall--
		h.returnSlot(i)
		h.reportSoon(now)
	}
}

// returnSlot lowers the limit of worker i. Limits in later replies to reports that are already sent are lowered as well.
func (h *Holder) returnSlot(i int) {
	h.limits[i]--
	for _, s := range h.sent {
		s.returned[i]++
	}
}

// reportSoon makes the next report due as soon as the minimum time between reports has passed.
func (h *Holder) reportSoon(now time.Time) {
	at := h.lastReportAt.Add(scaled(h.policy.Gap, max(h.intervalFactor, h.ownerFactor)))
	if at.Before(now) {
		at = now
	}
	if at.Before(h.dueAt) {
		h.dueAt = at
	}
}

// SetQueueLengths sets the number of queued requests per class. It brings the
// next report forward when the queue of a class becomes non-empty or has grown
// well beyond the length in the last report.
func (h *Holder) SetQueueLengths(now time.Time, wait []int) {
	h.waiting = sum(wait) > 0
	for c, n := range wait {
		reported := Counts(h.reportedWait).at(c)
		if n < reported {
			h.reportedWait[c] = n // growth counts from the shortest length since the last report
		}
		if n > 0 && (reported == 0 || (!h.policy.NoPush && n >= reported+max(minQueueGrowth, reported/queueGrowthDivisor))) {
			h.reportSoon(now)
			return
		}
	}
}

// A queue is reported again once it has grown by at least minQueueGrowth and by its reported length over
// queueGrowthDivisor.
const (
	minQueueGrowth     = 3
	queueGrowthDivisor = 2
)

// SetIntervalFactor sets the factor on the intervals between reports, as computed by a Pacer.
func (h *Holder) SetIntervalFactor(f float64) { h.intervalFactor = f }

func scaled(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// Due returns the time at which the next report must be sent.
func (h *Holder) Due() time.Time { return h.dueAt }

// PoolLoad returns the slots of the pool, and its requests in progress and
// queued per class at all entries, as of the owner's last reply. All are zero
// without a valid lease.
func (h *Holder) PoolLoad(now time.Time) (slots int, run, wait []int) {
	if h.Mode(now) != ModeLeased {
		return 0, nil, nil
	}
	return len(h.view.Workers) * h.view.Slots, h.poolRun, h.poolWait
}

// Report returns the report to send to the owner now and schedules the next one.
func (h *Holder) Report(now time.Time, d Load) Report {
	h.seq++
	r := Report{
		Pool: h.pool, From: h.view.Self, Seq: h.seq, Behind: h.seq - 1 - h.ackSeq, Num: h.ackNum, List: h.listNum,
		Held: make(Counts, len(h.limits)), Use: make(Counts, len(h.limits)),
		Run: trimZeros(d.Run), Wait: trimZeros(d.Wait),
	}
	if h.sendWorkers {
		r.Workers = h.view.Workers
	}
	for i, vm := range h.view.Workers {
		r.Use[i] = h.inUse[vm]
		r.Held[i] = max(h.allowedSlots(now, i), h.inUse[vm])
	}
	if slices.Equal(r.Use, r.Held) {
		r.Use = nil
	}
	if len(h.sent) == maxPending {
		h.sent = slices.Delete(h.sent, 0, 1)
	}
	h.sent = append(h.sent, sentReport{h.seq, now, r.Held, make([]int, len(h.limits))})
	h.lastReportAt, h.reportedWait = now, slices.Clone(d.Wait)
	h.scheduleReport(now)
	return r
}

// scheduleReport sets the time of the next report, which depends on whether requests are in progress or queued.
func (h *Holder) scheduleReport(now time.Time) {
	period := h.policy.Slow
	if len(h.inUse) == 0 && !h.waiting {
		period = h.policy.Idle
	}
	if h.waiting || h.policy.NoPush && (h.recall > 0 || sum(h.poolWait) > 0) {
		period = min(scaled(h.policy.Fast, max(h.intervalFactor, h.ownerFactor)), h.policy.Slow)
	}
	h.dueAt = h.lastReportAt.Add(period)
	if h.dueAt.Before(now) {
		h.dueAt = now
	}
}

// Apply applies a reply from owner. It ignores replies that are late, repeated,
// out of order or from another owner.
func (h *Holder) Apply(now time.Time, owner string, r Reply) {
	at := slices.IndexFunc(h.sent, func(s sentReport) bool { return s.seq == r.Seq })
	if at < 0 || owner != h.owner || r.Pool != h.pool {
		return
	}
	s := h.sent[at]
	leaseEnd := s.sentAt.Add(h.policy.TTL)
	switch {
	case r.Names:
		h.sendWorkers = true
		h.reportSoon(now)
		return
	case r.Stale, !now.Before(leaseEnd):
		return
	case r.Seq < h.ackSeq, r.Seq == h.ackSeq && r.Num <= h.ackNum:
		return // a newer reply was applied already
	}
	limits := r.Limits
	if len(limits) == 0 {
		limits = s.held
	}
	if len(limits) != len(h.limits) {
		return
	}
	h.sent = slices.Delete(h.sent, 0, at)
	h.sendWorkers = false
	h.ackSeq, h.ackNum = r.Seq, r.Num
	h.leaseEnd = leaseEnd
	h.fallbackAt = now.Add(2 * h.policy.TTL)
	h.poolRun, h.poolWait = r.Run, r.Wait
	h.ownerFactor = max(1, float64(r.Pace)/10)
	h.recall = max(0, r.Recall-sum(s.returned))
	lowered := false
	for i, n := range limits {
		n = max(0, n-s.returned[i])
		lowered = lowered || n < h.limits[i]
		h.limits[i] = n
	}
	switch {
	case r.Num == 0:
		h.scheduleReport(now)
	case lowered:
		h.reportSoon(now) // the owner lends the slots to others once it gets the report
	}
}

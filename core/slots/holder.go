package slots

import (
	"slices"
	"time"

	"sassafrasvalve/core/hash"
)

// Load is what an entry runs and has queued in a pool, per class in the order of the view.
type Load struct {
	Run  []int
	Wait []int
}

// Mode says what a holder's slots rest on.
type Mode int

// The modes, from the normal one to the most restricted.
const (
	ModeLeased   Mode = iota // limits given by the owner
	ModeLapsed               // leases ended: limits, but no more than home slots
	ModeFallback             // no contact for two TTLs: home slots
)

// String returns the name of the mode.
func (m Mode) String() string { return [...]string{"leased", "lapsed", "fallback"}[m] }

// Holder uses the slots of one pool at one entry. It is not safe for concurrent use.
type Holder struct {
	policy Policy
	pool   string
	view   View
	index  map[string]int // VM to position in view.Workers
	owner  string
	list   int // number of the worker list
	home   []int
	spare  []int          // home slots that the earlier member list gave as well
	moved  time.Time      // until when only those count: others may still follow that list
	limit  []int          // slots given by the owner
	use    map[string]int // requests in progress, also on VMs outside the view
	names  bool           // the owner needs the worker list
	seq    uint64
	ack    uint64 // report whose reply is in force, and the number of the reply
	ackNum int
	sent   []sentReport // reports that may still be answered, and the one answered last

	stretch  float64   // factor on the times between reports, by the entry's own traffic
	pace     float64   // the same, by the owner's traffic
	recall   int       // slots to give back as they become free
	lease    time.Time // end of the leases
	fallback time.Time // from when home slots are used
	last     time.Time // newest report
	due      time.Time // next report
	waiting  bool
	told     []int  // queued requests per class in the newest report
	run      Counts // requests in progress at all entries per class
	pressure Counts // requests queued at all entries per class
}

// sentReport is a report that an owner may still answer or update.
type sentReport struct {
	seq   uint64
	at    time.Time
	held  Counts
	given []int // slots given back since, per worker
}

// maxSent bounds the reports that may still be answered.
const maxSent = 64

// NewHolder returns a holder without slots. It falls back to its home slots
// two TTLs from now unless an owner answers.
func NewHolder(now time.Time, pool string, p Policy) *Holder {
	p = p.withDefaults()
	return &Holder{
		policy: p, pool: pool,
		index: map[string]int{}, use: map[string]int{},
		stretch: 1, pace: 1, lease: now, fallback: now.Add(2 * p.TTL), due: now,
	}
}

// SetView takes over a new worker and member list. A worker that is not in it gets no new work.
func (h *Holder) SetView(now time.Time, v View) {
	old, oldLimit, oldSelf, oldMembers := h.view.Workers, h.limit, h.view.Self, h.view.Members
	h.view = v.normal()
	h.limit = make([]int, len(h.view.Workers))
	h.index = make(map[string]int, len(h.view.Workers))
	for i, vm := range h.view.Workers {
		h.index[vm] = i
		if o, ok := slices.BinarySearch(old, vm); ok {
			h.limit[i] = oldLimit[o]
		}
	}
	h.moveHome(now, old, oldMembers)
	if !slices.Equal(old, h.view.Workers) {
		h.list++
		h.names = true
		// Replies to earlier reports follow the order of the old list.
		h.sent = nil
	}
	if oldSelf != "" && oldSelf != h.view.Self {
		// Leases of the earlier identity are void once it was fenced.
		h.owner, h.lease, h.fallback = "", now, now.Add(2*h.policy.TTL)
	}
	if owner := hash.Owner(h.pool, h.view.Members); owner != h.owner {
		h.owner, h.ack, h.ackNum, h.names, h.sent = owner, 0, 0, true, nil
		h.recall = 0
	}
	h.due = now
}

// moveHome takes over home slots. While entries may disagree on the members,
// only slots that both lists give this entry are its home.
func (h *Holder) moveHome(now time.Time, oldWorkers, oldMembers []string) {
	before := remap(oldWorkers, h.view.Workers, h.homeAt(now))
	h.home = h.view.HomeSlots(h.view.Self)
	if len(oldMembers) == 0 || slices.Equal(oldMembers, h.view.Members) {
		h.spare = remap(oldWorkers, h.view.Workers, h.spare)
		for i, vm := range h.view.Workers {
			if _, ok := slices.BinarySearch(oldWorkers, vm); !ok {
				h.spare[i] = h.home[i]
			}
		}
		return
	}
	h.spare = before
	for i := range h.spare {
		h.spare[i] = min(before[i], h.home[i])
	}
	h.moved = now.Add(2 * h.policy.TTL)
}

// homeAt returns the home slots that count at now.
func (h *Holder) homeAt(now time.Time) []int {
	if now.Before(h.moved) {
		return h.spare
	}
	return h.home
}

// Owner returns the member that lends the pool's slots, or "" without members.
func (h *Holder) Owner() string { return h.owner }

// Mode returns what the slots rest on at now.
func (h *Holder) Mode(now time.Time) Mode {
	switch {
	case now.Before(h.lease):
		return ModeLeased
	case now.Before(h.fallback):
		return ModeLapsed
	default:
		return ModeFallback
	}
}

// allowed returns how many slots of worker i the entry may use.
func (h *Holder) allowed(now time.Time, i int) int {
	n := h.limit[i]
	switch h.Mode(now) {
	case ModeLapsed:
		n = min(n, h.homeAt(now)[i])
	case ModeFallback:
		n = h.homeAt(now)[i]
	case ModeLeased:
	}
	return min(n, h.view.connectionCap())
}

// Free returns how many more requests may be started on vm.
func (h *Holder) Free(now time.Time, vm string) int {
	i, ok := h.index[vm]
	if !ok {
		return 0
	}
	return max(0, h.allowed(now, i)-h.use[vm])
}

// Slots returns how many slots the entry may use over all workers,
// those of requests in progress included, also on VMs outside the view.
func (h *Holder) Slots(now time.Time) int {
	n := 0
	for i, vm := range h.view.Workers {
		n += max(h.allowed(now, i), h.use[vm])
	}
	for vm, k := range h.use {
		if _, ok := h.index[vm]; !ok {
			n += k
		}
	}
	return n
}

// InUse returns the requests in progress on vm, also if it has left the view.
func (h *Holder) InUse(vm string) int { return h.use[vm] }

// Start takes a slot of vm. It returns false if there is none.
func (h *Holder) Start(now time.Time, vm string) bool {
	if h.Free(now, vm) == 0 {
		return false
	}
	h.use[vm]++
	return true
}

// Finish frees a slot of vm. A recalled slot is given back and reported soon.
func (h *Holder) Finish(now time.Time, vm string) {
	if h.use[vm]--; h.use[vm] <= 0 {
		delete(h.use, vm)
	}
	i, ok := h.index[vm]
	if !ok || h.Mode(now) != ModeLeased {
		return
	}
	if h.use[vm] >= h.limit[i] {
		h.hurry(now) // the limit was lowered before: the owner waits for this slot
		return
	}
	if h.recall > 0 {
		h.recall--
		h.giveBack(i)
		h.hurry(now)
	}
}

func (h *Holder) giveBack(i int) {
	h.limit[i]--
	for _, s := range h.sent {
		s.given[i]++
	}
}

// hurry makes the next report due as soon as the shortest gap allows.
func (h *Holder) hurry(now time.Time) {
	at := h.last.Add(scaled(h.policy.Gap, max(h.stretch, h.pace)))
	if at.Before(now) {
		at = now
	}
	if at.Before(h.due) {
		h.due = at
	}
}

// SetQueueLengths tells the holder how many requests wait per class. The first wait of a
// class and a queue that grows beyond what the owner was told are reported soon.
func (h *Holder) SetQueueLengths(now time.Time, wait []int) {
	h.waiting = sum(wait) > 0
	for c, n := range wait {
		told := Counts(h.told).at(c)
		if n < told {
			h.told[c] = n // a queue that was served counts as new when it builds up again
		}
		if n > 0 && (told == 0 || (!h.policy.NoPush && n >= told+max(growthMin, told/growthPart))) {
			h.hurry(now)
			return
		}
	}
}

// A queue that grew by at least growthMin and by one growthPart-th is reported again.
const (
	growthMin  = 3
	growthPart = 2
)

// SetIntervalFactor sets the factor on the times between reports, as a Pacer gives it.
func (h *Holder) SetIntervalFactor(f float64) { h.stretch = f }

func scaled(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// Due returns when the next report is to be sent.
func (h *Holder) Due() time.Time { return h.due }

// PoolLoad returns the load of the whole pool per class, as the owner last
// said, and the pool's slots. Slots is 0 while there is no lease.
func (h *Holder) PoolLoad(now time.Time) (slots int, run, wait []int) {
	if h.Mode(now) != ModeLeased {
		return 0, nil, nil
	}
	return len(h.view.Workers) * h.view.Slots, h.run, h.pressure
}

// Report returns the report to send to the owner now.
func (h *Holder) Report(now time.Time, d Load) Report {
	h.seq++
	r := Report{
		Pool: h.pool, From: h.view.Self, Seq: h.seq, Behind: h.seq - 1 - h.ack, Num: h.ackNum, List: h.list,
		Held: make(Counts, len(h.limit)), Use: make(Counts, len(h.limit)),
		Run: trim(d.Run), Wait: trim(d.Wait),
	}
	if h.names {
		r.Workers = h.view.Workers
	}
	for i, vm := range h.view.Workers {
		r.Use[i] = h.use[vm]
		r.Held[i] = max(h.allowed(now, i), h.use[vm])
	}
	if slices.Equal(r.Use, r.Held) {
		r.Use = nil
	}
	if len(h.sent) == maxSent {
		h.sent = slices.Delete(h.sent, 0, 1)
	}
	h.sent = append(h.sent, sentReport{h.seq, now, r.Held, make([]int, len(h.limit))})
	h.last, h.told = now, slices.Clone(d.Wait)
	h.schedule(now)
	return r
}

// schedule sets the time of the next report by the backlog.
func (h *Holder) schedule(now time.Time) {
	period := h.policy.Slow
	if len(h.use) == 0 && !h.waiting {
		period = h.policy.Idle
	}
	if h.waiting || h.policy.NoPush && (h.recall > 0 || sum(h.pressure) > 0) {
		period = min(scaled(h.policy.Fast, max(h.stretch, h.pace)), h.policy.Slow)
	}
	h.due = h.last.Add(period)
	if h.due.Before(now) {
		h.due = now
	}
}

// Apply puts the reply of owner in force. It ignores replies that are late,
// repeated, out of order or of another owner.
func (h *Holder) Apply(now time.Time, owner string, r Reply) {
	at := slices.IndexFunc(h.sent, func(s sentReport) bool { return s.seq == r.Seq })
	if at < 0 || owner != h.owner || r.Pool != h.pool {
		return
	}
	s := h.sent[at]
	lease := s.at.Add(h.policy.TTL)
	switch {
	case r.Names:
		h.names = true
		h.hurry(now)
		return
	case r.Stale, !now.Before(lease):
		return
	case r.Seq < h.ack, r.Seq == h.ack && r.Num <= h.ackNum:
		return // a newer reply is in force
	}
	limits := r.Limits
	if len(limits) == 0 {
		limits = s.held
	}
	if len(limits) != len(h.limit) {
		return
	}
	h.sent = slices.Delete(h.sent, 0, at)
	h.names = false
	h.ack, h.ackNum = r.Seq, r.Num
	h.lease = lease
	h.fallback = now.Add(2 * h.policy.TTL)
	h.run, h.pressure = r.Run, r.Wait
	h.pace = max(1, float64(r.Pace)/10)
	h.recall = max(0, r.Recall-sum(s.given))
	lowered := false
	for i, n := range limits {
		n = max(0, n-s.given[i])
		lowered = lowered || n < h.limit[i]
		h.limit[i] = n
	}
	switch {
	case r.Num == 0:
		h.schedule(now)
	case lowered:
		h.hurry(now) // others wait for the confirmation
	}
}

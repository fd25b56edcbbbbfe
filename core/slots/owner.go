package slots

import (
	"slices"
	"time"

	"sassafrasvalve/core/hash"
)

// Owner lends the slots of one pool to the holders. Every entry has one Owner
// per pool, which answers only while its member owns the pool. Its state is
// rebuilt from the holders' reports, so a new owner starts empty.
// It is not safe for concurrent use.
//
// Safety: whenever the owner raises a limit, the sum of all claims on a worker
// is at most Slots. The claim of a holder is the maximum that it may use by its
// report, by replies that it may still receive, and by its home slots while it
// may fall back to them.
type Owner struct {
	policy         Policy
	pool           string
	view           View
	active         bool
	peers          map[string]*peer
	intervalFactor float64
	members        []string // sorted keys of peers, which make decisions independent of the map order
}

// peer is the owner's state of one holder. Slices are indexed by the workers or classes of the owner's view unless stated
// otherwise.
type peer struct {
	home           []int
	transitionHome []int     // after a change of members: the larger of the home slots by the earlier and the new list
	transitionEnd  time.Time // until then transitionHome counts instead of home
	workers        []string  // the holder's worker list
	listNum        int       // version of workers
	viewIndex      []int     // index in the view of each VM in workers, -1 if it is not there
	seq            uint64    // Seq of the newest report
	reportedAt     time.Time // time of the newest report
	ackedReplyAt   time.Time // time of the newest reply that the holder has acknowledged
	reportingSince time.Time // first report without a gap of more than one TTL since
	held           []int     // Held of the newest report
	inUse          []int     // Use of the newest report

	reportedHeld Counts // Held of the newest report, in the holder's order
	run          []int  // requests in progress per class
	wait         []int  // requests queued per class
	pending      []sentReply
	recall       int // slots in use that the newest reply recalls
}

// sentReply is a reply that the holder may still apply.
type sentReply struct {
	seq    uint64
	num    int
	sentAt time.Time
	limits []int
}

// currentLimits returns the limits of p once it has applied the newest reply to
// its newest report.
func (p *peer) currentLimits() []int {
	if n := len(p.pending); n > 0 && p.pending[n-1].seq == p.seq {
		return p.pending[n-1].limits
	}
	return p.held
}

// NewOwner returns an owner that stays inactive until a view makes its member the owner of the pool.
func NewOwner(pool string, p Policy) *Owner {
	return &Owner{policy: p.withDefaults(), pool: pool, intervalFactor: 1, peers: map[string]*peer{}}
}

// SetView sets the workers, members and classes. An owner that loses the pool
// discards the state of the holders.
func (o *Owner) SetView(now time.Time, v View) {
	before := o.view
	old := before.Workers
	o.view = v.sorted()
	o.active = o.view.Self != "" && hash.Owner(o.pool, o.view.Members) == o.view.Self
	o.members = o.view.Members
	for m := range o.peers {
		if _, ok := slices.BinarySearch(o.members, m); !ok || !o.active {
			delete(o.peers, m)
		}
	}
	if !o.active {
		return
	}
	for _, m := range o.members {
		p := o.peers[m]
		if p == nil {
			p = &peer{}
			o.peers[m] = p
		}
		o.updateHomeSlots(now, before, p, m)
		p.held = remap(old, o.view.Workers, p.held)
		p.inUse = remap(old, o.view.Workers, p.inUse)
		for i := range p.pending {
			p.pending[i].limits = remap(old, o.view.Workers, p.pending[i].limits)
		}
		p.viewIndex = indicesIn(p.workers, o.view.Workers)
	}
}

// updateHomeSlots sets the home slots of member m. While m may still follow the
// earlier member list, the larger number by either list is reserved for it.
func (o *Owner) updateHomeSlots(now time.Time, before View, p *peer, m string) {
	transition := remap(before.Workers, o.view.Workers, before.HomeSlots(m))
	if now.Before(p.transitionEnd) {
		for w, n := range remap(before.Workers, o.view.Workers, p.transitionHome) {
			transition[w] = max(transition[w], n)
		}
	}
	p.home, p.transitionHome = o.view.HomeSlots(m), transition
	for w, n := range p.home {
		transition[w] = max(transition[w], n)
	}
	if len(before.Members) > 0 && !slices.Equal(before.Members, o.view.Members) {
		p.transitionEnd = now.Add(2 * o.policy.TTL)
	}
}

// homeSlotsAt returns the home slots that p may use at now.
func (p *peer) homeSlotsAt(now time.Time) []int {
	if now.Before(p.transitionEnd) {
		return p.transitionHome
	}
	return p.home
}

// remap reorders xs from the sorted VM list from to the list to. VMs that are not in from get 0.
func remap(from, to []string, xs []int) []int {
	out := make([]int, len(to))
	for i, vm := range to {
		if o, ok := slices.BinarySearch(from, vm); ok && o < len(xs) {
			out[i] = xs[o]
		}
	}
	return out
}

// indicesIn returns the index in the sorted workers of each VM of list, or -1 if it is not there.
func indicesIn(list, workers []string) []int {
	out := make([]int, len(list))
	for i, vm := range list {
		w, ok := slices.BinarySearch(workers, vm)
		if !ok {
			w = -1
		}
		out[i] = w
	}
	return out
}

// SetIntervalFactor sets the factor on the intervals between updates, as computed by a Pacer.
func (o *Owner) SetIntervalFactor(f float64) { o.intervalFactor = f }

// Active reports whether this member owns the pool.
func (o *Owner) Active() bool { return o.active }

// HandleReport records a holder's report and returns the reply. The reply is Stale if the report is rejected, and sets
// Names if the owner lacks the holder's worker list.
func (o *Owner) HandleReport(now time.Time, r Report) Reply {
	reply := Reply{Pool: o.pool, Seq: r.Seq}
	p := o.peers[r.From]
	if !o.active || p == nil || r.Seq <= p.seq {
		reply.Stale = true
		return reply
	}
	if r.Workers != nil {
		p.workers, p.listNum = slices.Clone(r.Workers), r.List
		p.viewIndex = indicesIn(p.workers, o.view.Workers)
	}
	if len(r.Use) == 0 {
		r.Use = r.Held
	}
	if r.List != p.listNum || len(r.Held) != len(p.workers) || len(r.Use) != len(p.workers) {
		reply.Names = true
		return reply
	}
	o.recordReport(now, p, r)
	limits, recall := o.decideLimits(now, p)
	return o.newReply(now, p, 0, limits, recall)
}

// newReply returns reply num to the newest report of p and records it as pending.
func (o *Owner) newReply(now time.Time, p *peer, num int, limits []int, recall int) Reply {
	out := Reply{Pool: o.pool, Seq: p.seq, Num: num, Recall: recall, Limits: make(Counts, len(p.workers))}
	for i, w := range p.viewIndex {
		if w >= 0 {
			out.Limits[i] = limits[w]
		}
	}
	if slices.Equal(out.Limits, p.reportedHeld) {
		out.Limits = nil
	}
	if o.intervalFactor > 1 {
		out.Pace = int(10 * o.intervalFactor)
	}
	run, wait := o.poolLoad(now)
	out.Run, out.Wait = trimZeros(run), trimZeros(wait)
	if len(p.pending) == maxPending {
		p.pending = slices.Delete(p.pending, 0, 1)
	}
	p.pending = append(p.pending, sentReply{p.seq, num, now, limits})
	p.recall = recall
	return out
}

// Update is a reply that the owner sends without a new report.
type Update struct {
	Member string
	Reply  Reply
}

// Updates returns the replies that other holders should get after a report:
// more slots for those with queued requests, and lower limits or recalls for
// those above their target.
func (o *Owner) Updates(now time.Time) []Update {
	// Without a queued request no update is urgent: the next reply carries the change.
	if !o.active || o.policy.NoPush || !o.hasQueuedRequests() {
		return nil
	}
	short := o.hasShortage(now)
	var out []Update
	for _, m := range o.members {
		p := o.peers[m]
		n := len(p.pending)
		if n == 0 || p.pending[n-1].seq != p.seq || now.Sub(p.reportedAt) > o.policy.TTL ||
			now.Sub(p.pending[n-1].sentAt) < scaled(o.policy.Gap, o.intervalFactor) {
			continue
		}
		limits, recall := o.decideLimits(now, p)
		gain := sum(limits) - sum(p.currentLimits())
		if (gain > 0 && sum(p.wait) > 0) || (gain < 0 && short) || recall > p.recall {
			out = append(out, Update{m, o.newReply(now, p, p.pending[n-1].num+1, limits, recall)})
		}
	}
	return out
}

func (o *Owner) hasQueuedRequests() bool {
	for _, m := range o.members {
		if sum(o.peers[m].wait) > 0 {
			return true
		}
	}
	return false
}

// hasShortage reports whether holders with queued requests lack more slots than are free.
func (o *Owner) hasShortage(now time.Time) bool {
	t := o.computeTargets(now)
	missing := 0
	for p, target := range t.target {
		if sum(p.wait) > 0 {
			missing += max(0, target-t.current[p])
		}
	}
	if missing == 0 {
		return false
	}
	for _, f := range o.freeSlots(now, nil) {
		missing -= max(0, f)
	}
	return missing > 0
}

// recordReport stores the report and drops the pending replies that it replaces.
func (o *Owner) recordReport(now time.Time, p *peer, r Report) {
	if p.reportedAt.IsZero() || now.Sub(p.reportedAt) > o.policy.TTL {
		p.reportingSince = now
	}
	p.reportedAt, p.seq = now, r.Seq
	p.run, p.wait, p.reportedHeld = r.Run, r.Wait, r.Held
	clear(p.held)
	clear(p.inUse)
	for i, w := range p.viewIndex {
		if w >= 0 {
			p.held[w], p.inUse[w] = r.Held[i], r.Use[i]
		}
	}
	ack := r.ack()
	for _, s := range p.pending {
		if s.seq == ack && s.num == r.Num && s.sentAt.After(p.ackedReplyAt) {
			p.ackedReplyAt = s.sentAt
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(s sentReply) bool {
		replaced := s.seq < ack || (s.seq == ack && s.num <= r.Num)
		return replaced || now.Sub(s.sentAt) > o.policy.TTL
	})
}

// claimedSlots returns the maximum number of slots of worker w that p may use.
// While leases of an earlier owner may be in force (earlierEnded is false), the
// claim always includes the home slots.
func (o *Owner) claimedSlots(now time.Time, p *peer, w int, earlierEnded bool) int {
	n := 0
	if now.Sub(p.reportedAt) <= o.policy.TTL {
		n = p.held[w]
		for _, s := range p.pending {
			n = max(n, s.limits[w])
		}
	}
	// The holder falls back to its home slots two TTLs after its latest reply. Until one TTL after that reply they may
	// be lent to others, since a lease that starts by then ends before the fallback.
	if !earlierEnded || now.Sub(p.ackedReplyAt) > o.policy.TTL {
		n = max(n, p.homeSlotsAt(now)[w])
	}
	return n
}

// earlierLeasesEnded reports whether no lease of an earlier owner can be in
// force on p's home slots: all members report here, or p has done so for two
// TTLs. An earlier owner that has not read the change yet may lend them until
// one TTL after p's last contact with it, and such a lease lasts another TTL.
func (o *Owner) earlierLeasesEnded(now time.Time, p *peer, all bool) bool {
	return all || (!p.reportingSince.IsZero() && now.Sub(p.reportingSince) > 2*o.policy.TTL)
}

func (o *Owner) allMembersReport(now time.Time) bool {
	for _, m := range o.members {
		if now.Sub(o.peers[m].reportedAt) > o.policy.TTL {
			return false
		}
	}
	return true
}

// freeSlots returns the slots per worker that asker may get in addition to its
// current limits; it is negative where claims exceed the slots. Other claims of
// the asker don't count since its next reply replaces them. With a nil asker it
// returns the unclaimed slots.
func (o *Owner) freeSlots(now time.Time, asker *peer) []int {
	all := o.allMembersReport(now)
	current := make([]int, len(o.view.Workers))
	if asker != nil {
		current = asker.currentLimits()
	}
	out := make([]int, len(o.view.Workers))
	for w := range out {
		out[w] = o.view.Slots - current[w]
		for _, m := range o.members {
			if p := o.peers[m]; p != asker {
				out[w] -= o.claimedSlots(now, p, w, o.earlierLeasesEnded(now, p, all))
			}
		}
	}
	return out
}

// poolLoad returns the requests in progress and queued per class, summed over the holders that report.
func (o *Owner) poolLoad(now time.Time) (run, wait Counts) {
	run, wait = make(Counts, len(o.view.Classes)), make(Counts, len(o.view.Classes))
	for _, m := range o.members {
		p := o.peers[m]
		if now.Sub(p.reportedAt) > o.policy.TTL {
			continue
		}
		for c := range run {
			run[c] += Counts(p.run).at(c)
			wait[c] += Counts(p.wait).at(c)
		}
	}
	return run, wait
}

// decideLimits returns the limits per worker for p, and the number of slots in
// use that p must return as they become free.
func (o *Owner) decideLimits(now time.Time, p *peer) (limits []int, recall int) {
	limits = slices.Clone(p.currentLimits())
	free := o.freeSlots(now, p)
	for w := range limits {
		// If claims exceed the slots, the limit is lowered by the excess, but not below the home slots.
		if free[w] < 0 {
			limits[w] -= min(-free[w], max(0, limits[w]-p.home[w]))
		}
	}
	t := o.computeTargets(now)
	target, current := t.target[p], sum(limits)
	switch {
	case current < target && !o.earlierLeasesEnded(now, p, o.allMembersReport(now)):
		// An earlier owner may still have lent the free home slots of p to others.
	case current < target:
		o.raiseLimits(limits, free, target-current)
	case current > target:
		shortage := t.shortageExcept(p, free)
		if o.policy.NoReserve {
			recall = o.lowerLimits(p, limits, min(current-target, shortage))
		} else {
			recall = min(o.lowerLimits(p, limits, current-target), shortage)
		}
	}
	if o.policy.NoRecall {
		recall = 0
	}
	return limits, recall
}

// raiseLimits adds up to n free slots to limits, starting with the workers that have the most free slots.
func (o *Owner) raiseLimits(limits, free []int, n int) {
	maxPerWorker := o.view.connectionCap()
	for ; n > 0; n-- {
		best := -1
		for w, f := range free {
			if f > 0 && limits[w] < maxPerWorker && (best < 0 || f > free[best]) {
				best = w
			}
		}
		if best < 0 {
			return
		}
		limits[best]++
		free[best]--
	}
}

// lowerLimits removes up to n idle slots from limits, starting with the workers
// that have the most idle slots. It returns the number of slots that it could
// not remove because they are in use.
func (o *Owner) lowerLimits(p *peer, limits []int, n int) int {
	for ; n > 0; n-- {
		best := -1
		for w := range limits {
			idle := limits[w] - p.inUse[w]
			if idle > 0 && (best < 0 || idle > limits[best]-p.inUse[best]) {
				best = w
			}
		}
		if best < 0 {
			return n
		}
		limits[best]--
	}
	return 0
}

package slots

import (
	"slices"
	"time"

	"sassafrasvalve/core/hash"
)

// Owner lends the slots of one pool to the holders. Every entry has one per
// pool; it answers only while its member owns the pool. It keeps nothing that
// the holders do not report again, so a new owner starts empty.
// It is not safe for concurrent use.
//
// Safety: per worker, the sum of all claims is at most Slots whenever the
// owner raises a limit. A claim is the most that a holder may use by what it
// reported, by replies that it may still receive, and by its home slots while
// it may fall back to them.
type Owner struct {
	policy  Policy
	pool    string
	view    View
	active  bool
	peers   map[string]*peer
	stretch float64
	members []string // keys of peers in order, so that decisions do not depend on map order
}

// peer is what the owner knows of a holder. Slices follow the owner's workers or classes.
type peer struct {
	home    []int
	kept    []int     // home slots by the earlier member list as well
	moved   time.Time // until when those count
	workers []string  // the holder's list
	list    int
	place   []int // position in the holder's list to position in the view, -1 if absent
	seq     uint64
	at      time.Time // newest report
	contact time.Time // newest reply that the holder has acknowledged
	joined  time.Time // first report of the present series
	held    []int
	use     []int

	reported Counts // Held of the newest report, in the holder's order
	run      []int
	wait     []int
	sent     []sentReply
	recall   int // slots in use that the newest reply recalls
}

// sentReply is a reply that may still come into force.
type sentReply struct {
	seq    uint64
	num    int
	at     time.Time
	limits []int
}

// current returns the limits that p has once the newest reply to its newest
// report is in force.
func (p *peer) current() []int {
	if n := len(p.sent); n > 0 && p.sent[n-1].seq == p.seq {
		return p.sent[n-1].limits
	}
	return p.held
}

// NewOwner returns an owner that is inactive until a view names it.
func NewOwner(pool string, p Policy) *Owner {
	return &Owner{policy: p.withDefaults(), pool: pool, stretch: 1, peers: map[string]*peer{}}
}

// SetView takes over new lists of workers, members and classes. An owner that
// loses the pool forgets the holders.
func (o *Owner) SetView(now time.Time, v View) {
	before := o.view
	old := before.Workers
	o.view = v.normal()
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
		o.moveHome(now, before, p, m)
		p.held = remap(old, o.view.Workers, p.held)
		p.use = remap(old, o.view.Workers, p.use)
		for i := range p.sent {
			p.sent[i].limits = remap(old, o.view.Workers, p.sent[i].limits)
		}
		p.place = places(p.workers, o.view.Workers)
	}
}

// moveHome takes over the home slots of member m. While m may follow the
// earlier member list, those of both lists are kept for it.
func (o *Owner) moveHome(now time.Time, before View, p *peer, m string) {
	kept := remap(before.Workers, o.view.Workers, before.HomeSlots(m))
	if now.Before(p.moved) {
		for w, n := range remap(before.Workers, o.view.Workers, p.kept) {
			kept[w] = max(kept[w], n)
		}
	}
	p.home, p.kept = o.view.HomeSlots(m), kept
	for w, n := range p.home {
		kept[w] = max(kept[w], n)
	}
	if len(before.Members) > 0 && !slices.Equal(before.Members, o.view.Members) {
		p.moved = now.Add(2 * o.policy.TTL)
	}
}

// homeAt returns the home slots that p may use at now.
func (p *peer) homeAt(now time.Time) []int {
	if now.Before(p.moved) {
		return p.kept
	}
	return p.home
}

func remap(from, to []string, xs []int) []int {
	out := make([]int, len(to))
	for i, vm := range to {
		if o, ok := slices.BinarySearch(from, vm); ok && o < len(xs) {
			out[i] = xs[o]
		}
	}
	return out
}

func places(list, workers []string) []int {
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

// SetIntervalFactor sets the factor on the times between updates, as a Pacer gives it.
func (o *Owner) SetIntervalFactor(f float64) { o.stretch = f }

// Active reports whether this member owns the pool.
func (o *Owner) Active() bool { return o.active }

// HandleReport takes in a holder's report and returns the reply to it.
func (o *Owner) HandleReport(now time.Time, r Report) Reply {
	reply := Reply{Pool: o.pool, Seq: r.Seq}
	p := o.peers[r.From]
	if !o.active || p == nil || r.Seq <= p.seq {
		reply.Stale = true
		return reply
	}
	if r.Workers != nil {
		p.workers, p.list = slices.Clone(r.Workers), r.List
		p.place = places(p.workers, o.view.Workers)
	}
	if len(r.Use) == 0 {
		r.Use = r.Held
	}
	if r.List != p.list || len(r.Held) != len(p.workers) || len(r.Use) != len(p.workers) {
		reply.Names = true
		return reply
	}
	o.take(now, p, r)
	limits, recall := o.decide(now, p)
	return o.reply(now, p, 0, limits, recall)
}

// reply makes the reply of the given number to the newest report of p.
func (o *Owner) reply(now time.Time, p *peer, num int, limits []int, recall int) Reply {
	out := Reply{Pool: o.pool, Seq: p.seq, Num: num, Recall: recall, Limits: make(Counts, len(p.workers))}
	for i, w := range p.place {
		if w >= 0 {
			out.Limits[i] = limits[w]
		}
	}
	if slices.Equal(out.Limits, p.reported) {
		out.Limits = nil
	}
	if o.stretch > 1 {
		out.Pace = int(10 * o.stretch)
	}
	run, wait := o.loads(now)
	out.Run, out.Wait = trim(run), trim(wait)
	if len(p.sent) == maxSent {
		p.sent = slices.Delete(p.sent, 0, 1)
	}
	p.sent = append(p.sent, sentReply{p.seq, num, now, limits})
	p.recall = recall
	return out
}

// Update is a reply that the owner sends without being asked.
type Update struct {
	Member string
	Reply  Reply
}

// Updates returns what other holders should know after a report: slots for
// those that wait, and recalls for those that have more than their part.
func (o *Owner) Updates(now time.Time) []Update {
	// Without a queued request no update is urgent: the next reply carries what has changed.
	if !o.active || o.policy.NoPush || !o.anyWaiting() {
		return nil
	}
	short := o.short(now)
	var out []Update
	for _, m := range o.members {
		p := o.peers[m]
		n := len(p.sent)
		if n == 0 || p.sent[n-1].seq != p.seq || now.Sub(p.at) > o.policy.TTL || now.Sub(p.sent[n-1].at) < scaled(o.policy.Gap, o.stretch) {
			continue
		}
		limits, recall := o.decide(now, p)
		gain := sum(limits) - sum(p.current())
		if (gain > 0 && sum(p.wait) > 0) || (gain < 0 && short) || recall > p.recall {
			out = append(out, Update{m, o.reply(now, p, p.sent[n-1].num+1, limits, recall)})
		}
	}
	return out
}

func (o *Owner) anyWaiting() bool {
	for _, m := range o.members {
		if sum(o.peers[m].wait) > 0 {
			return true
		}
	}
	return false
}

// short reports whether holders with queued requests lack slots that the owner has not at hand.
func (o *Owner) short(now time.Time) bool {
	t := o.targets(now)
	lack := 0
	for p, want := range t.holder {
		if sum(p.wait) > 0 {
			lack += max(0, want-t.have[p])
		}
	}
	if lack == 0 {
		return false
	}
	for _, f := range o.free(now, nil) {
		lack -= max(0, f)
	}
	return lack > 0
}

// take records what the report says.
func (o *Owner) take(now time.Time, p *peer, r Report) {
	if p.at.IsZero() || now.Sub(p.at) > o.policy.TTL {
		p.joined = now
	}
	p.at, p.seq = now, r.Seq
	p.run, p.wait, p.reported = r.Run, r.Wait, r.Held
	clear(p.held)
	clear(p.use)
	for i, w := range p.place {
		if w >= 0 {
			p.held[w], p.use[w] = r.Held[i], r.Use[i]
		}
	}
	ack := r.ack()
	for _, s := range p.sent {
		if s.seq == ack && s.num == r.Num && s.at.After(p.contact) {
			p.contact = s.at
		}
	}
	p.sent = slices.DeleteFunc(p.sent, func(s sentReply) bool {
		replaced := s.seq < ack || (s.seq == ack && s.num <= r.Num)
		return replaced || now.Sub(s.at) > o.policy.TTL
	})
}

// claim returns the most slots of worker w that p may use.
func (o *Owner) claim(now time.Time, p *peer, w int, settled bool) int {
	n := 0
	if now.Sub(p.at) <= o.policy.TTL {
		n = p.held[w]
		for _, s := range p.sent {
			n = max(n, s.limits[w])
		}
	}
	// Home slots are lent only while the loan ends before the holder falls back to them.
	if !settled || now.Sub(p.contact) > o.policy.TTL {
		n = max(n, p.homeAt(now)[w])
	}
	return n
}

// settled reports whether no lease of an earlier owner can be in force on p's
// home slots: all members report here, or p has done so for two TTLs. An
// earlier owner that does not know yet lends them until one TTL after p's last
// contact with it, for another TTL.
func (o *Owner) settled(now time.Time, p *peer, all bool) bool {
	return all || (!p.joined.IsZero() && now.Sub(p.joined) > 2*o.policy.TTL)
}

func (o *Owner) allReport(now time.Time) bool {
	for _, m := range o.members {
		if now.Sub(o.peers[m].at) > o.policy.TTL {
			return false
		}
	}
	return true
}

// free returns the slots per worker that asker may have besides what it holds,
// negative where claims exceed the slots. The asker's next reply replaces its
// other claims. Without an asker it returns what nobody claims.
func (o *Owner) free(now time.Time, asker *peer) []int {
	all := o.allReport(now)
	current := make([]int, len(o.view.Workers))
	if asker != nil {
		current = asker.current()
	}
	out := make([]int, len(o.view.Workers))
	for w := range out {
		out[w] = o.view.Slots - current[w]
		for _, m := range o.members {
			if p := o.peers[m]; p != asker {
				out[w] -= o.claim(now, p, w, o.settled(now, p, all))
			}
		}
	}
	return out
}

// loads returns the requests in progress and queued per class at the holders that report.
func (o *Owner) loads(now time.Time) (run, wait Counts) {
	run, wait = make(Counts, len(o.view.Classes)), make(Counts, len(o.view.Classes))
	for _, m := range o.members {
		p := o.peers[m]
		if now.Sub(p.at) > o.policy.TTL {
			continue
		}
		for c := range run {
			run[c] += Counts(p.run).at(c)
			wait[c] += Counts(p.wait).at(c)
		}
	}
	return run, wait
}

// decide returns the limits per worker for p, which has just reported, and how
// many more slots it is to give back as they become free.
func (o *Owner) decide(now time.Time, p *peer) (limits []int, recall int) {
	limits = slices.Clone(p.current())
	free := o.free(now, p)
	for w := range limits {
		// Claims above the slots are resolved at the cost of what exceeds home slots.
		if free[w] < 0 {
			limits[w] -= min(-free[w], max(0, limits[w]-p.home[w]))
		}
	}
	t := o.targets(now)
	want, have := t.holder[p], sum(limits)
	switch {
	case have < want && !o.settled(now, p, o.allReport(now)):
		// Its free home slots may still be lent by an earlier owner.
	case have < want:
		o.raise(limits, free, want-have)
	case have > want:
		needed := t.needed(p, free)
		if o.policy.NoReserve {
			recall = o.lower(p, limits, min(have-want, needed))
		} else {
			recall = min(o.lower(p, limits, have-want), needed)
		}
	}
	if o.policy.NoRecall {
		recall = 0
	}
	return limits, recall
}

// raise adds up to n free slots to limits, on the workers with the most of them first.
func (o *Owner) raise(limits, free []int, n int) {
	top := o.view.connectionCap()
	for ; n > 0; n-- {
		best := -1
		for w, f := range free {
			if f > 0 && limits[w] < top && (best < 0 || f > free[best]) {
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

// lower takes up to n idle slots off limits, from the workers with the most
// idle ones first, and returns how many of n were not idle.
func (o *Owner) lower(p *peer, limits []int, n int) int {
	for ; n > 0; n-- {
		best := -1
		for w := range limits {
			idle := limits[w] - p.use[w]
			if idle > 0 && (best < 0 || idle > limits[best]-p.use[best]) {
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

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
	members []string // keys of peers in order, so that decisions do not depend on map order
}

// peer is what the owner knows of a holder. Slices follow the owner's workers or classes.
type peer struct {
	home    []int
	workers []string // the holder's list
	list    uint32
	place   []int // position in the holder's list to position in the view, -1 if absent
	seq     uint64
	at      time.Time // newest report
	contact time.Time // newest reply that the holder has acknowledged
	joined  time.Time // first report of the present series
	held    []int
	use     []int
	run     []int
	wait    []int
	sent    []sentReply
}

// sentReply is a reply that may still come into force.
type sentReply struct {
	seq    uint64
	at     time.Time
	limits []int
}

// NewOwner returns an owner that is inactive until a view names it.
func NewOwner(pool string, p Policy) *Owner {
	return &Owner{policy: p.withDefaults(), pool: pool, peers: map[string]*peer{}}
}

// SetView takes over new lists of workers, members and classes. An owner that
// loses the pool forgets the holders.
func (o *Owner) SetView(v View) {
	old := o.view.Workers
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
		p.home = o.view.Home(m)
		p.held = remap(old, o.view.Workers, p.held)
		p.use = remap(old, o.view.Workers, p.use)
		for i := range p.sent {
			p.sent[i].limits = remap(old, o.view.Workers, p.sent[i].limits)
		}
		p.place = places(p.workers, o.view.Workers)
	}
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
	if r.List != p.list || len(r.Held) != len(p.workers) || len(r.Use) != len(p.workers) {
		reply.Names = true
		return reply
	}
	o.take(now, p, r)
	limits, recall := o.decide(now, p)
	reply.Limits = make(Counts, len(p.workers))
	for i, w := range p.place {
		if w >= 0 {
			reply.Limits[i] = limits[w]
		}
	}
	reply.Recall = recall
	reply.Run, reply.Press = o.loads(now)
	if sum(reply.Press) == 0 {
		reply.Press = nil
	}
	if len(p.sent) == maxSent {
		p.sent = slices.Delete(p.sent, 0, 1)
	}
	p.sent = append(p.sent, sentReply{r.Seq, now, limits})
	return reply
}

// take records what the report says.
func (o *Owner) take(now time.Time, p *peer, r Report) {
	if p.at.IsZero() || now.Sub(p.at) > o.policy.TTL {
		p.joined = now
	}
	p.at, p.seq = now, r.Seq
	p.run, p.wait = r.Run, r.Wait
	clear(p.held)
	clear(p.use)
	for i, w := range p.place {
		if w >= 0 {
			p.held[w], p.use[w] = r.Held[i], r.Use[i]
		}
	}
	for _, s := range p.sent {
		if s.seq == r.Ack && s.at.After(p.contact) {
			p.contact = s.at
		}
	}
	p.sent = slices.DeleteFunc(p.sent, func(s sentReply) bool {
		return s.seq <= r.Ack || now.Sub(s.at) > o.policy.TTL
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
		n = max(n, p.home[w])
	}
	return n
}

// settled reports whether no lease of an earlier owner can be in force on p's
// home slots: all members report here, or p does for longer than a lease lasts.
func (o *Owner) settled(now time.Time, p *peer, all bool) bool {
	return all || (!p.joined.IsZero() && now.Sub(p.joined) > o.policy.TTL)
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
// other claims.
func (o *Owner) free(now time.Time, asker *peer) []int {
	all := o.allReport(now)
	out := make([]int, len(o.view.Workers))
	for w := range out {
		out[w] = o.view.Slots - asker.held[w]
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
	limits = slices.Clone(p.held)
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

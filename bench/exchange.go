package bench

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/slots"
)

// queueEngine runs admit.Queue at each entry, over slots.Holder and slots.Owner,
// over home slots alone, or at one central place.
type queueEngine struct {
	w       *world
	nodes   []*node
	members []string
}

// node is one entry.
type node struct {
	w      *world
	e      *queueEngine
	index  int
	id     string
	desks  []*desk
	dead   bool
	pacer  *slots.Pacer
	thaw   time.Duration            // it stands still until then
	busy   map[string]time.Duration // per owner: end of the exchange in progress
	armed  time.Duration            // time of the next pass
	passID int
}

func newQueueEngine(w *world) *queueEngine {
	e := &queueEngine{w: w}
	n := w.fleet.Entries
	if w.policy.Kind == KindCentral {
		n = 1
	}
	for i := range n {
		e.nodes = append(e.nodes, &node{w: w, e: e, index: i, id: w.fleet.member(i), pacer: slots.NewPacer(w.policy.Slots.Budget), busy: map[string]time.Duration{}, armed: -1})
		e.members = append(e.members, w.fleet.member(i))
	}
	for _, nd := range e.nodes {
		for _, p := range w.pools {
			nd.desks = append(nd.desks, nd.desk(p))
		}
	}
	for _, p := range w.pools {
		p.queued = func() int {
			q := 0
			for _, nd := range e.nodes {
				if !nd.dead {
					q += nd.desks[p.index].queue.Len()
				}
			}
			return q
		}
	}
	e.viewChanged()
	for _, nd := range e.nodes {
		nd.tick()
	}
	return e
}

func (n *node) desk(p *pool) *desk {
	now := n.w.clock()
	d := &desk{n: n, p: p, queue: admit.New(now, n.w.fleet.admit(n.w.policy))}
	d.chooser = newChooser(rand.New(rand.NewPCG(n.w.rng.Uint64(), uint64(n.index))))
	if n.w.policy.Kind == KindCentral {
		d.sharing = &allSlots{p, map[string]int{}}
		return d
	}
	name := n.w.fleet.poolName(p.index)
	d.holder = slots.NewHolder(now, name, n.w.policy.Slots)
	d.owner = slots.NewOwner(name, n.w.policy.Slots)
	d.sharing = d.holder
	return d
}

func (e *queueEngine) viewChanged() {
	for _, n := range e.nodes {
		n.do(func() {
			for _, d := range n.desks {
				if d.holder != nil && !n.dead {
					v := e.w.fleet.view(n.index, e.members, d.p.view)
					d.holder.SetView(e.w.clock(), v)
					d.owner.SetView(e.w.clock(), v)
				}
				d.step()
			}
		})
	}
}

func (e *queueEngine) arrive(entry int, r *request) {
	n := e.nodes[entry%len(e.nodes)]
	for n.dead {
		n = e.nodes[(n.index+1)%len(e.nodes)]
	}
	n.do(func() { n.desks[r.pool].offer(r) })
}

// lose ends an entry. It is fenced after a while.
func (e *queueEngine) lose(entry int) {
	if len(e.nodes) == 1 {
		return
	}
	n := e.nodes[entry]
	n.dead = true
	for _, d := range n.desks {
		d.queue.SetSlots(math.MaxInt32)
		for t := d.queue.Next(e.w.clock(), nil); t != nil; t = d.queue.Next(e.w.clock(), nil) {
			e.w.stats.ended(e.w.now, t.Value.(*placed).r, outcomeLost)
			d.queue.Done(e.w.clock(), t, false)
		}
	}
	e.w.at(e.w.now+fenceLag, func() {
		var left []string
		for _, m := range e.members {
			if m != n.id {
				left = append(left, m)
			}
		}
		e.members = left
		e.viewChanged()
	})
}

func (e *queueEngine) freeze(entry int, until time.Duration) {
	if len(e.nodes) > 1 {
		e.nodes[entry].thaw = until
	}
}

// do runs fn at the entry, after it wakes up if it stands still.
func (n *node) do(fn func()) {
	if n.w.now < n.thaw {
		n.w.at(n.thaw, fn)
		return
	}
	fn()
}

// tick examines the queues at least every 100 ms.
func (n *node) tick() {
	n.w.at(n.w.now+100*time.Millisecond, func() {
		n.do(func() {
			if n.dead {
				return
			}
			for _, d := range n.desks {
				d.step()
			}
			n.tick()
		})
	})
}

// arm plans the next exchange.
func (n *node) arm() {
	if n.w.policy.Kind != KindLeases || n.dead {
		return
	}
	next := time.Duration(-1)
	for _, d := range n.desks {
		at := max(d.holder.Due().Sub(epoch), n.busy[d.holder.Owner()], n.w.now)
		if next < 0 || at < next {
			next = at
		}
	}
	if n.armed >= 0 && n.armed <= next {
		return
	}
	n.armed = next
	n.passID++
	id := n.passID
	n.w.at(next, func() {
		n.do(func() {
			if id == n.passID && !n.dead {
				n.armed = -1
				n.pass()
				n.arm()
			}
		})
	})
}

// pass sends the reports that are due, one batch per owner.
func (n *node) pass() {
	now := n.w.clock()
	for _, d := range n.desks {
		owner := d.holder.Owner()
		if d.holder.Due().After(now) || n.w.now < n.busy[owner] {
			continue
		}
		n.exchange(owner)
	}
}

func (n *node) exchange(owner string) {
	now := n.w.clock()
	var reports []slots.Report
	for _, d := range n.desks {
		if d.holder.Owner() == owner && !d.holder.Due().After(now.Add(slots.BatchWindow)) {
			reports = append(reports, d.holder.Report(now, d.demand()))
		}
	}
	to := n.e.node(owner)
	if to == n {
		n.apply(owner, n.answer(reports))
		return
	}
	n.busy[owner] = n.w.now + slots.ExchangeTimeout
	until := n.busy[owner]
	n.send(to, reports, func() {
		replies := to.answer(reports)
		to.send(n, replies, func() {
			if n.busy[owner] == until {
				n.busy[owner] = n.w.now
			}
			n.apply(owner, replies)
		})
	})
}

// send counts the bytes of a message and delivers it after its delay, unless it is lost.
func (n *node) send(to *node, body any, deliver func()) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the message types always encode
	}
	size := len(b) + slots.MessageOverhead
	n.count(size)
	if n.w.rng.Float64() < n.w.scen.Loss {
		return
	}
	n.w.at(n.w.now+n.w.fleet.delay(n.index, to.index), func() {
		to.do(func() {
			if !to.dead {
				to.count(size)
				deliver()
			}
		})
	})
}

// count counts control bytes sent or received.
func (n *node) count(size int) {
	n.w.stats.control(n.w.now, n.index, size)
	n.pacer.Add(n.w.clock(), size)
	if n.w.policy.Slots.Budget < 0 {
		return
	}
	f := n.pacer.IntervalFactor(n.w.clock())
	for _, d := range n.desks {
		d.holder.SetIntervalFactor(f)
		d.owner.SetIntervalFactor(f)
	}
}

func (e *queueEngine) node(id string) *node {
	for _, n := range e.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// answer is the owner's side of an exchange.
func (n *node) answer(reports []slots.Report) []slots.Reply {
	var out []slots.Reply
	updates := map[string][]slots.Reply{}
	for _, r := range reports {
		for _, d := range n.desks {
			if n.w.fleet.poolName(d.p.index) != r.Pool {
				continue
			}
			out = append(out, d.owner.HandleReport(n.w.clock(), r))
			for _, u := range d.owner.Updates(n.w.clock()) {
				updates[u.Member] = append(updates[u.Member], u.Reply)
			}
		}
	}
	for _, to := range n.e.nodes {
		if us := updates[to.id]; len(us) > 0 {
			n.push(to, us)
		}
	}
	return out
}

// push sends updates that nobody asked for.
func (n *node) push(to *node, updates []slots.Reply) {
	deliver := func() { to.apply(n.id, updates) }
	if to == n {
		n.w.at(n.w.now, func() { n.do(deliver) })
		return
	}
	n.send(to, updates, deliver)
}

func (n *node) apply(owner string, replies []slots.Reply) {
	for _, r := range replies {
		for _, d := range n.desks {
			if n.w.fleet.poolName(d.p.index) == r.Pool {
				d.holder.Apply(n.w.clock(), owner, r)
				d.step()
			}
		}
	}
}

func (d *desk) demand() slots.Load {
	var out slots.Load
	for _, l := range d.queue.Loads() {
		out.Run = append(out.Run, l.Running)
		out.Wait = append(out.Wait, l.Waiting)
	}
	return out
}

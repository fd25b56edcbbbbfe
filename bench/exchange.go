package bench

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"sassafrasvalve/core/admit"
	"sassafrasvalve/core/slots"
)

// queueEngine runs an admit.Queue per pool at each entry. Its slots come from slots.Holder and slots.Owner, from home
// slots only, or, with KindCentral, from all slots at a single entry.
type queueEngine struct {
	w       *world
	nodes   []*node
	members []string
}

// node is one entry.
type node struct {
	w             *world
	e             *queueEngine
	index         int
	id            string
	queues        []*poolQueue
	dead          bool
	pacer         *slots.Pacer
	frozenUntil   time.Duration            // end of a freeze
	exchangeUntil map[string]time.Duration // end of the exchange in progress, by owner
	nextPassAt    time.Duration            // time of the next scheduled pass, or -1
	passID        int                      // of the newest scheduled pass; passes with an older ID do nothing
}

func newQueueEngine(w *world) *queueEngine {
	e := &queueEngine{w: w}
	n := w.fleet.Entries
	if w.policy.Kind == KindCentral {
		n = 1
	}
	for i := range n {
		e.nodes = append(e.nodes, &node{w: w, e: e, index: i, id: w.fleet.member(i), pacer: slots.NewPacer(w.policy.Slots.Budget), exchangeUntil: map[string]time.Duration{}, nextPassAt: -1})
		e.members = append(e.members, w.fleet.member(i))
	}
	for _, nd := range e.nodes {
		for _, p := range w.pools {
			nd.queues = append(nd.queues, nd.newPoolQueue(p))
		}
	}
	for _, p := range w.pools {
		p.queued = func() int {
			q := 0
			for _, nd := range e.nodes {
				if !nd.dead {
					q += nd.queues[p.index].queue.Len()
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

func (n *node) newPoolQueue(p *pool) *poolQueue {
	now := n.w.clock()
	q := &poolQueue{n: n, p: p, queue: admit.New(now, n.w.fleet.admit(n.w.policy))}
	q.chooser = newChooser(rand.New(rand.NewPCG(n.w.rng.Uint64(), uint64(n.index))))
	if n.w.policy.Kind == KindCentral {
		q.sharing = &allSlots{p, map[string]int{}}
		return q
	}
	name := n.w.fleet.poolName(p.index)
	q.holder = slots.NewHolder(now, name, n.w.policy.Slots)
	q.owner = slots.NewOwner(name, n.w.policy.Slots)
	q.sharing = q.holder
	return q
}

func (e *queueEngine) viewChanged() {
	for _, n := range e.nodes {
		n.whenAwake(func() {
			for _, q := range n.queues {
				if q.holder != nil && !n.dead {
					v := e.w.fleet.view(n.index, e.members, q.p.routable)
					q.holder.SetView(e.w.clock(), v)
					q.owner.SetView(e.w.clock(), v)
				}
				q.step()
			}
		})
	}
}

func (e *queueEngine) arrive(entry int, r *request) {
	n := e.nodes[entry%len(e.nodes)]
	for n.dead {
		n = e.nodes[(n.index+1)%len(e.nodes)]
	}
	n.whenAwake(func() { n.queues[r.pool].enqueue(r) })
}

// lose stops an entry and its requests. The other entries remove it from the members after fenceLag.
func (e *queueEngine) lose(entry int) {
	if len(e.nodes) == 1 {
		return
	}
	n := e.nodes[entry]
	n.dead = true
	for _, q := range n.queues {
		q.queue.SetSlots(math.MaxInt32)
		for t := q.queue.Next(e.w.clock(), nil); t != nil; t = q.queue.Next(e.w.clock(), nil) {
			e.w.stats.ended(e.w.now, t.Value.(*placedRequest).r, outcomeLost)
			q.queue.Finish(e.w.clock(), t, false)
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
		e.nodes[entry].frozenUntil = until
	}
}

// whenAwake runs fn at the entry at once, or at the end of a freeze.
func (n *node) whenAwake(fn func()) {
	if n.w.now < n.frozenUntil {
		n.w.at(n.frozenUntil, fn)
		return
	}
	fn()
}

// tick runs step on all queues every 100 ms.
func (n *node) tick() {
	n.w.at(n.w.now+100*time.Millisecond, func() {
		n.whenAwake(func() {
			if n.dead {
				return
			}
			for _, q := range n.queues {
				q.step()
			}
			n.tick()
		})
	})
}

// schedulePass schedules the next pass for the time at which the first report is due.
func (n *node) schedulePass() {
	if n.w.policy.Kind != KindLeases || n.dead {
		return
	}
	next := time.Duration(-1)
	for _, q := range n.queues {
		at := max(q.holder.Due().Sub(epoch), n.exchangeUntil[q.holder.Owner()], n.w.now)
		if next < 0 || at < next {
			next = at
		}
	}
	if n.nextPassAt >= 0 && n.nextPassAt <= next {
		return
	}
	n.nextPassAt = next
	n.passID++
	id := n.passID
	n.w.at(next, func() {
		n.whenAwake(func() {
			if id == n.passID && !n.dead {
				n.nextPassAt = -1
				n.sendDueReports()
				n.schedulePass()
			}
		})
	})
}

// sendDueReports sends the reports that are due in one batch per owner.
func (n *node) sendDueReports() {
	now := n.w.clock()
	for _, q := range n.queues {
		owner := q.holder.Owner()
		if q.holder.Due().After(now) || n.w.now < n.exchangeUntil[owner] {
			continue
		}
		n.exchange(owner)
	}
}

// exchange sends the reports of all pools of an owner that are due within slots.BatchWindow, and applies the replies.
func (n *node) exchange(owner string) {
	now := n.w.clock()
	var reports []slots.Report
	for _, q := range n.queues {
		if q.holder.Owner() == owner && !q.holder.Due().After(now.Add(slots.BatchWindow)) {
			reports = append(reports, q.holder.Report(now, q.loadReport()))
		}
	}
	to := n.e.nodeByID(owner)
	if to == n {
		n.applyReplies(owner, n.handleReports(reports))
		return
	}
	n.exchangeUntil[owner] = n.w.now + slots.ExchangeTimeout
	until := n.exchangeUntil[owner]
	n.send(to, reports, func() {
		replies := to.handleReports(reports)
		to.send(n, replies, func() {
			if n.exchangeUntil[owner] == until {
				n.exchangeUntil[owner] = n.w.now
			}
			n.applyReplies(owner, replies)
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
	n.countBytes(size)
	if n.w.rng.Float64() < n.w.scenario.Loss {
		return
	}
	n.w.at(n.w.now+n.w.fleet.delay(n.index, to.index), func() {
		to.whenAwake(func() {
			if !to.dead {
				to.countBytes(size)
				deliver()
			}
		})
	})
}

// countBytes counts control bytes sent or received, and slows the exchanges down if they exceed the budget.
func (n *node) countBytes(size int) {
	n.w.stats.countBytes(n.w.now, n.index, size)
	n.pacer.Add(n.w.clock(), size)
	if n.w.policy.Slots.Budget < 0 {
		return
	}
	f := n.pacer.IntervalFactor(n.w.clock())
	for _, q := range n.queues {
		q.holder.SetIntervalFactor(f)
		q.owner.SetIntervalFactor(f)
	}
}

func (e *queueEngine) nodeByID(id string) *node {
	for _, n := range e.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// handleReports handles reports as the owner of their pools. It returns the replies and sends updates to other entries.
func (n *node) handleReports(reports []slots.Report) []slots.Reply {
	var out []slots.Reply
	updates := map[string][]slots.Reply{}
	for _, r := range reports {
		for _, q := range n.queues {
			if n.w.fleet.poolName(q.p.index) != r.Pool {
				continue
			}
			out = append(out, q.owner.HandleReport(n.w.clock(), r))
			for _, u := range q.owner.Updates(n.w.clock()) {
				updates[u.Member] = append(updates[u.Member], u.Reply)
			}
		}
	}
	for _, to := range n.e.nodes {
		if us := updates[to.id]; len(us) > 0 {
			n.pushUpdates(to, us)
		}
	}
	return out
}

// pushUpdates sends an entry updates of its slots without a report from it.
func (n *node) pushUpdates(to *node, updates []slots.Reply) {
	deliver := func() { to.applyReplies(n.id, updates) }
	if to == n {
		n.w.at(n.w.now, func() { n.whenAwake(deliver) })
		return
	}
	n.send(to, updates, deliver)
}

func (n *node) applyReplies(owner string, replies []slots.Reply) {
	for _, r := range replies {
		for _, q := range n.queues {
			if n.w.fleet.poolName(q.p.index) == r.Pool {
				q.holder.Apply(n.w.clock(), owner, r)
				q.step()
			}
		}
	}
}

func (q *poolQueue) loadReport() slots.Load {
	var out slots.Load
	for _, l := range q.queue.Loads() {
		out.Run = append(out.Run, l.Running)
		out.Wait = append(out.Wait, l.Waiting)
	}
	return out
}

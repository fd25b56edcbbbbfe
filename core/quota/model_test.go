package quota

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sassafrasvalve/core/jobs"
)

// Size of the model. An owner has few VMs, so that a takeover often leaves some that are not polled.
const (
	modelShards = 3
	modelVMs    = 2
	// zombieMs is the time for which a replaced owner or allocator still acts, below silentMs.
	zombieMs = 8000
	// maxSilenceMs is the longest time for which messages of a living owner are lost. After silentMs it would count as nothing.
	maxSilenceMs = 15_000
)

var (
	modelNames    = []string{"a", "b"}
	modelCapacity = jobs.Amount{CPU: 12, MemMB: 40}
)

// modelItem is a running item. VMs refuse the starts of owners of a lower epoch than the one that has polled them.
type modelItem struct {
	account string
	amount  vector
	vm      int // over all shards
}

// modelOwner is a present or replaced owner of a shard.
type modelOwner struct {
	h        *Holder
	shard    int
	epoch    int64
	version  int // of its configuration
	fresh    bool
	polled   [modelVMs]bool
	starts   map[*modelItem]bool // own starts; of a replaced owner all items that it knew
	waiting  map[string]vector   // next item of each account that has some waiting
	stopAt   int64               // time at which it stops to act; 0 for the present owner
	answerAt int64               // time of the last answer
}

// modelAllocator is a present or replaced allocator.
type modelAllocator struct {
	a       *Allocator
	version int
	stopAt  int64
}

// model checks the holders and allocators of a few shards against the items that are running.
type model struct {
	now      int64
	catalogs []*jobs.Catalog
	limits   []map[string]jobs.Amount
	owners   []*modelOwner // the present one of each shard, then replaced ones
	dead     [modelShards]bool
	claims   map[int]int64 // epochs of the present owners
	allocs   []*modelAllocator
	epoch    int64 // highest of any claim
	fences   [modelShards * modelVMs]int64
	running  map[*modelItem]bool
	order    []*modelItem // items in the order of their starts
	reports  []Report
	grants   []Grant
	started  int
}

func newModel() *model {
	m := &model{now: 1, claims: map[int]int64{}, running: map[*modelItem]bool{}}
	m.publish(map[string]jobs.Amount{"a": {CPU: 10}, "b": {CPU: 3, MemMB: 30}})
	m.owners = make([]*modelOwner, modelShards)
	m.replaceAllocator()
	for i := range m.owners {
		m.takeOver(i)
		m.owners[i].polled = [modelVMs]bool{true, true}
	}
	return m
}

func (m *model) publish(limits map[string]jobs.Amount) {
	m.limits = append(m.limits, limits)
	m.catalogs = append(m.catalogs, newCatalog(int64(len(m.limits)), limits))
}

func (m *model) present() *modelAllocator { return m.allocs[len(m.allocs)-1] }

func (m *model) replaceAllocator() {
	version := 0
	if len(m.allocs) > 0 {
		m.present().stopAt, version = m.now+zombieMs, m.present().version
	}
	m.epoch++
	m.allocs = append(m.allocs, &modelAllocator{a: NewAllocator(AllocatorConfig{Epoch: m.epoch}), version: version})
	m.configure()
}

// takeOver gives a shard a new owner, which has polled no VM. The process of the last one may not notice for a while.
func (m *model) takeOver(shard int) {
	o := &modelOwner{shard: shard, fresh: true, starts: map[*modelItem]bool{}, waiting: map[string]vector{"a": {1, 0}, "b": {1, 1}}, answerAt: m.now}
	if old := m.owners[shard]; old != nil {
		if !m.dead[shard] {
			for it := range m.running {
				if vm := it.vm - shard*modelVMs; vm >= 0 && vm < modelVMs && old.polled[vm] {
					old.starts[it] = true
				}
			}
			old.stopAt = m.now + zombieMs
			m.owners = append(m.owners, old)
		}
		o.version = old.version
	}
	m.epoch++
	o.epoch = m.epoch
	o.h = NewHolder(HolderConfig{Shard: shard, Epoch: o.epoch, Allocator: m.present().a.cfg.Epoch})
	m.owners[shard], m.claims[shard], m.dead[shard] = o, o.epoch, false
	m.configure()
}

// configure hands the processes their configurations.
func (m *model) configure() {
	for _, o := range m.owners {
		if o != nil {
			o.h.SetConfig(m.catalogs[o.version], o.fresh)
			free := int64(0)
			for _, polled := range o.polled {
				if !polled {
					free++
				}
			}
			o.h.SetUnknown(toVector(modelCapacity).times(free).amount())
		}
	}
	for _, a := range m.allocs {
		a.a.SetConfig(m.catalogs[a.version], m.claims, true, m.now)
	}
}

// sum returns what an account has running by the items for which include returns true.
func (m *model) sum(account string, include func(*modelItem) bool) (v vector) {
	for it := range m.running {
		if (account == "" || it.account == account) && include(it) {
			v = v.add(it.amount)
		}
	}
	return v
}

// used returns what an owner knows that an account uses in its shard.
func (m *model) used(o *modelOwner, account string) vector {
	return m.sum(account, func(it *modelItem) bool {
		vm := it.vm - o.shard*modelVMs
		return o.starts[it] || o.stopAt == 0 && vm >= 0 && vm < modelVMs && o.polled[vm]
	})
}

func (m *model) uses(o *modelOwner) map[string]Use {
	uses := map[string]Use{}
	for _, name := range modelNames {
		used, next := m.used(o, name), o.waiting[name]
		uses[name] = Use{Used: used.amount(), Want: used.add(next.times(3)).amount(), Item: next.amount()}
	}
	return uses
}

// highest returns the highest limit of an account that is in force in any process.
func (m *model) highest(account string) vector {
	version := m.present().version
	for _, o := range m.owners {
		version = min(version, o.version)
	}
	for _, a := range m.allocs {
		version = min(version, a.version)
	}
	var l vector
	for _, limits := range m.limits[version:] {
		l = l.max(toLimit(limits[account]))
	}
	return l
}

// start starts the next item of an account if the owner may start it and the VM executes the order.
func (m *model) start(t *rapid.T, o *modelOwner, account string, vm int) bool {
	item := o.waiting[account]
	if item == (vector{}) || !o.polled[vm] || !o.h.MayStart(account, m.used(o, account).amount(), item.amount()) {
		return false
	}
	at := o.shard*modelVMs + vm
	full := m.sum("", func(it *modelItem) bool { return it.vm == at })
	if m.fences[at] > o.epoch || !full.add(item).within(toVector(modelCapacity), vector{}) {
		return false
	}
	it := &modelItem{account: account, amount: item, vm: at}
	m.running[it], o.starts[it] = true, true
	m.order = append(m.order, it)
	largest := vector{}
	for other := range m.running {
		if other.account == account {
			largest = largest.max(other.amount)
		}
	}
	limit, sum := m.highest(account), m.sum(account, func(*modelItem) bool { return true })
	if !sum.sub(largest).within(limit, limit) {
		t.Fatalf("account %s has %v running, above its limit of %v and one item of %v", account, sum, limit, largest)
	}
	return true
}

func (m *model) end(it *modelItem) {
	delete(m.running, it)
	m.order = slices.DeleteFunc(m.order, func(o *modelItem) bool { return o == it })
}

// deliver hands a grant to the owner that it answers.
func (m *model) deliver(g Grant) {
	for _, o := range m.owners {
		if o.shard == g.Shard && o.epoch == g.Owner && o.h.Apply(g) {
			o.answerAt = m.now
		}
	}
}

// exchange has an owner report to the present allocator without a loss.
func (m *model) exchange(o *modelOwner) {
	m.deliver(m.present().a.Handle(o.h.Report(m.uses(o), m.now), m.now))
}

// advance passes time: replaced processes end, VMs without an owner end their items, and no owner is cut off for long.
func (m *model) advance(ms int64) {
	m.now += ms
	m.owners = slices.DeleteFunc(m.owners, func(o *modelOwner) bool { return o.stopAt != 0 && m.now >= o.stopAt })
	m.allocs = slices.DeleteFunc(m.allocs, func(a *modelAllocator) bool { return a.stopAt != 0 && m.now >= a.stopAt })
	m.configure()
	for _, o := range m.owners[:modelShards] {
		if m.now < o.answerAt+maxSilenceMs {
			continue
		}
		if !m.dead[o.shard] {
			m.exchange(o)
			continue
		}
		for _, it := range slices.Clone(m.order) {
			if it.vm/modelVMs == o.shard {
				m.end(it)
			}
		}
	}
}

// takeMessage draws a message in flight. It is lost, stays in flight to come again, or is taken.
func takeMessage[M any](t *rapid.T, list *[]M) (msg M, found bool) {
	if len(*list) == 0 {
		return msg, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "message")
	msg = (*list)[i]
	fate := rapid.IntRange(0, 7).Draw(t, "fate")
	if fate != 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	return msg, fate != 1
}

// startAll starts all items that an owner may start.
func (m *model) startAll(t *rapid.T, o *modelOwner) {
	for _, name := range modelNames {
		for vm := 0; vm < modelVMs; vm++ {
			for m.start(t, o, name, vm) {
				m.started++
			}
		}
	}
}

// fault kills or replaces a process, or publishes other limits. Owners and allocators that are replaced act on for a while.
func (m *model) fault(t *rapid.T) {
	shard := rapid.IntRange(0, modelShards-1).Draw(t, "shard")
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0, 1:
		m.takeOver(shard)
	case 2:
		m.dead[shard] = true
	case 3, 4:
		m.replaceAllocator()
	case 5, 6, 7:
		limits := map[string]jobs.Amount{}
		for _, name := range modelNames {
			limits[name] = jobs.Amount{CPU: rapid.Int64Range(1, 20).Draw(t, "cpu"), MemMB: rapid.SampledFrom([]int64{0, 5, 30}).Draw(t, "mem")}
		}
		m.publish(limits)
	case 8, 9:
		if m.dead[shard] {
			m.takeOver(shard)
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	drawOwner := func(t *rapid.T) *modelOwner {
		o := m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(t, "owner")]
		if o.stopAt == 0 && m.dead[o.shard] {
			m.takeOver(o.shard)
		}
		return o
	}
	act := func(t *rapid.T) {
		m.advance(rapid.Int64Range(1, 100).Draw(t, "ms"))
		o := drawOwner(t)
		m.startAll(t, o)
		if o.h.Due(m.now, m.uses(o)) {
			m.reports = append(m.reports, o.h.Report(m.uses(o), m.now))
		}
	}
	handle := func(t *rapid.T) {
		if r, found := takeMessage(t, &m.reports); found {
			a := m.present()
			if rapid.IntRange(0, 3).Draw(t, "misled") == 0 {
				a = rapid.SampledFrom(m.allocs).Draw(t, "allocator")
			}
			m.grants = append(m.grants, a.a.Handle(r, m.now))
		}
	}
	answer := func(t *rapid.T) {
		if g, found := takeMessage(t, &m.grants); found {
			m.deliver(g)
		}
	}
	wait := func(t *rapid.T) {
		o, name := drawOwner(t), rapid.SampledFrom(modelNames).Draw(t, "account")
		o.waiting[name] = vector{} // an idle allowance may move
		if rapid.Bool().Draw(t, "waits") {
			o.waiting[name] = vector{rapid.Int64Range(0, 4).Draw(t, "cpu"), rapid.Int64Range(0, 4).Draw(t, "mem")}
		}
	}
	end := func(t *rapid.T) {
		for range rapid.IntRange(1, 3).Draw(t, "items") {
			if len(m.order) > 0 {
				m.end(rapid.SampledFrom(m.order).Draw(t, "item"))
			}
		}
	}
	configure := func(t *rapid.T) {
		if rapid.IntRange(0, 3).Draw(t, "allocator's") == 0 {
			a := rapid.SampledFrom(m.allocs).Draw(t, "allocator")
			a.version = min(a.version+1, len(m.catalogs)-1)
		} else {
			o := drawOwner(t)
			o.version = min(o.version+1, len(m.catalogs)-1)
			o.fresh = rapid.IntRange(0, 9).Draw(t, "fresh") > 0
		}
		m.configure()
	}
	return map[string]func(*rapid.T){
		// Names that differ in the last letter make an action more frequent.
		"act": act, "act2": act, "act3": act, "act4": act, "handle": handle, "handle2": handle, "answer": answer, "answer2": answer,
		"wait": wait, "wait2": wait, "end": end, "end2": end, "fault": m.fault, "configure": configure, "configure2": configure,
		"round": func(t *rapid.T) {
			m.advance(urgentMs)
			for _, o := range m.owners[:modelShards] {
				if !m.dead[o.shard] {
					m.exchange(o)
					m.startAll(t, o)
				}
			}
		},
		"poll": func(t *rapid.T) {
			o, one := drawOwner(t), rapid.IntRange(0, 2*modelVMs-1).Draw(t, "vm")
			for vm := range o.polled {
				at := o.shard*modelVMs + vm
				if (vm == one || one >= modelVMs) && m.fences[at] <= o.epoch && o.stopAt == 0 {
					m.fences[at], o.polled[vm] = o.epoch, true
				}
			}
			m.configure()
		},
	}
}

// settle has all processes act without faults, and all items start that may. An account under half of its limit then gets an
// allowance for its next item in each shard within 3 s. The VMs may have no room for the item.
func (m *model) settle(t *rapid.T) {
	m.owners, m.allocs = m.owners[:modelShards], m.allocs[len(m.allocs)-1:]
	for range m.catalogs { // each process passes through all versions
		m.present().version = min(m.present().version+1, len(m.catalogs)-1)
		for _, o := range m.owners {
			m.dead[o.shard], o.fresh, o.polled = false, true, [modelVMs]bool{true, true}
			o.version = min(o.version+1, len(m.catalogs)-1)
		}
		m.configure()
	}
	var waits [modelShards]map[string]int64
	for i := range waits {
		waits[i] = map[string]int64{"a": m.now, "b": m.now}
	}
	for end := m.now + 6000; m.now < end; m.advance(10) {
		for i, o := range m.owners {
			m.startAll(t, o)
			if o.h.Due(m.now, m.uses(o)) {
				m.exchange(o)
			}
			for _, name := range modelNames {
				limit, item := toLimit(m.limits[len(m.limits)-1][name]), o.waiting[name]
				use := m.sum(name, func(*modelItem) bool { return true })
				underHalf := use.times(2).add(vector{1, 1, 1}).within(limit, limit)
				if item == (vector{}) || !underHalf || o.h.MayStart(name, m.used(o, name).amount(), item.amount()) {
					waits[i][name] = m.now
				}
				if m.now-waits[i][name] > 3000 {
					t.Fatalf("account %s waits for %v in shard %d, with %v in use of %v, holding %v", name, item, i, use, limit, o.h.Held(name))
				}
			}
		}
	}
}

// TestLimitsHoldUnderFaults guards against an account above its limit after lost, late, doubled and reordered messages, takeovers,
// allocators that act at once, and limits that change at different times in different processes; and against one that waits on.
func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(m.actions())
		m.settle(t)
	})
}

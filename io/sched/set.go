package sched

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasvalve/core/clock"
	"sassafrasvalve/core/slots"
)

// Exchanger sends reports to the owner's entry and returns its replies.
type Exchanger interface {
	Exchange(ctx context.Context, owner string, reports []slots.Report) ([]slots.Reply, error)
}

// Pusher sends an owner's updates to a holder's entry, which hands them to
// Set.HandleUpdates. It does not wait for an answer. An Exchanger that is not
// also a Pusher needs slots.Policy.NoPush.
type Pusher interface {
	Push(ctx context.Context, member string, updates []slots.Reply) error
}

const examinePeriod = 100 * time.Millisecond // queued requests are examined at least this often

// SetConfig is the settings of a Set.
type SetConfig struct {
	Clock     clock.Clock // nil means the system's
	Exchanger Exchanger
	Pools     []*Pool
	Self      func() string // member ID of this entry
	Budget    float64       // control bytes per second; 0 means slots.DefaultBudget
}

// Set runs the exchange of the pools of one entry and batches reports per owner.
type Set struct {
	cfg    SetConfig
	wakeup chan struct{}
	done   sync.WaitGroup

	mu    sync.Mutex
	pools []*Pool
	pacer *slots.Pacer
	links map[string]*link
	out   map[string]*outbox
	told  map[*Pool]bool // pools whose owner took in reports since the last pass
}

// NewSet returns a set that is idle until Run is called.
func NewSet(cfg SetConfig) *Set {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	s := &Set{cfg: cfg, wakeup: make(chan struct{}, 1), pacer: slots.NewPacer(cfg.Budget), links: map[string]*link{}, out: map[string]*outbox{}, told: map[*Pool]bool{}}
	s.SetPools(cfg.Pools)
	return s
}

// SetPools replaces the pools, after a change of configuration.
func (s *Set) SetPools(pools []*Pool) {
	for _, p := range pools {
		p.mu.Lock()
		p.wake = s.wake
		p.mu.Unlock()
	}
	s.mu.Lock()
	s.pools = slices.Clone(pools)
	s.mu.Unlock()
	s.wake()
}

func (s *Set) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Run exchanges reports until ctx ends.
func (s *Set) Run(ctx context.Context) {
	s.loop(ctx)
	s.done.Wait()
}

func (s *Set) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wakeup:
		}
		timer.Reset(s.pass(ctx))
	}
}

// pass sends the reports that are due and returns the time to the next pass.
func (s *Set) pass(ctx context.Context) time.Duration {
	s.mu.Lock()
	pools, told := s.pools, s.told
	s.told = map[*Pool]bool{}
	s.mu.Unlock()
	now := s.cfg.Clock.Now()
	wait := examinePeriod
	s.mu.Lock()
	stretch := s.pacer.IntervalFactor(now)
	s.mu.Unlock()
	for p := range told {
		s.update(ctx, p)
	}
	for _, p := range pools {
		p.setStretch(stretch)
		due, owner := p.tick(now)
		switch {
		case owner == "":
		case due.After(now):
			wait = min(wait, due.Sub(now))
		case owner == s.cfg.Self():
			if r, ok := p.report(now, owner); ok {
				p.HandleReply(owner, p.HandleReport(r))
				s.update(ctx, p)
			}
			s.wake()
		default:
			s.link(ctx, owner).kick()
		}
	}
	return wait
}

// link returns the link to owner and starts it on first use.
func (s *Set) link(ctx context.Context, owner string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[owner]
	if l == nil {
		l = &link{set: s, owner: owner, kicked: make(chan struct{}, 1)}
		s.links[owner] = l
		s.done.Go(func() { l.loop(ctx) })
	}
	return l
}

// count adds a message of n bytes to the control traffic.
func (s *Set) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pacer.Add(s.cfg.Clock.Now(), n+slots.MessageOverhead)
}

// ControlRate returns the control bytes per second that slot sharing sends and
// receives, averaged over the last 20 s or so.
func (s *Set) ControlRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.Rate(s.cfg.Clock.Now())
}

func reportsSize(rs []slots.Report) int {
	n := 0
	for _, r := range rs {
		n += r.Size()
	}
	return n
}

func repliesSize(rs []slots.Reply) int {
	n := 0
	for _, r := range rs {
		n += r.Size()
	}
	return n
}

// update sends what the owner of p has to tell other holders.
func (s *Set) update(ctx context.Context, p *Pool) {
	for _, u := range p.updates() {
		if u.Member == s.cfg.Self() {
			p.HandleReply(u.Member, u.Reply)
			continue
		}
		s.outbox(ctx, u.Member).add(u.Reply)
	}
}

// outbox returns the outbox for member and starts it on first use.
func (s *Set) outbox(ctx context.Context, member string) *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.out[member]
	if b == nil {
		b = &outbox{set: s, member: member, filled: make(chan struct{}, 1)}
		s.out[member] = b
		s.done.Go(func() { b.loop(ctx) })
	}
	return b
}

// HandleUpdates puts the updates in force that owner sent by itself.
func (s *Set) HandleUpdates(owner string, updates []slots.Reply) {
	s.mu.Lock()
	pools := s.pools
	s.mu.Unlock()
	s.count(repliesSize(updates))
	for _, r := range updates {
		for _, p := range pools {
			if p.Name() == r.Pool {
				p.HandleReply(owner, r)
			}
		}
	}
}

// tell makes the loop send the updates that follow from a report to the owner of p.
func (s *Set) tell(p *Pool) {
	s.mu.Lock()
	s.told[p] = true
	s.mu.Unlock()
	s.wake()
}

// HandleReports answers the batch of another entry, in order.
func (s *Set) HandleReports(reports []slots.Report) []slots.Reply {
	s.mu.Lock()
	pools := s.pools
	s.mu.Unlock()
	out := make([]slots.Reply, len(reports))
	for i, r := range reports {
		out[i] = slots.Reply{Pool: r.Pool, Seq: r.Seq, Stale: true}
		for _, p := range pools {
			if p.Name() == r.Pool {
				out[i] = p.HandleReport(r)
				s.tell(p)
			}
		}
	}
	s.count(reportsSize(reports))
	s.count(repliesSize(out))
	return out
}

// link carries the reports for one owner, one batch at a time.
type link struct {
	set    *Set
	owner  string
	kicked chan struct{}
}

func (l *link) kick() {
	select {
	case l.kicked <- struct{}{}:
	default:
	}
}

// idleLink is how long a link without reports lives. Owners change rarely.
const idleLink = time.Minute

func (l *link) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.kicked:
			l.exchange(ctx)
			l.set.wake()
		case <-time.After(idleLink):
			if l.retire() {
				return
			}
		}
	}
}

// retire takes the link out of the set unless it was kicked meanwhile.
func (l *link) retire() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if len(l.kicked) > 0 {
		return false
	}
	delete(l.set.links, l.owner)
	return true
}

// exchange sends what is due soon to the owner and puts its replies in force.
func (l *link) exchange(ctx context.Context) {
	s := l.set
	s.mu.Lock()
	pools := s.pools
	s.mu.Unlock()
	now := s.cfg.Clock.Now()
	var reports []slots.Report
	var from []*Pool
	for _, p := range pools {
		if due, _ := p.tick(now); due.After(now.Add(slots.BatchWindow)) {
			continue
		}
		if r, ok := p.report(now, l.owner); ok {
			reports, from = append(reports, r), append(from, p)
		}
	}
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slots.ExchangeTimeout)
	defer cancel()
	s.count(reportsSize(reports))
	replies, err := s.cfg.Exchanger.Exchange(ctx, l.owner, reports)
	if err != nil {
		return // the next report is due soon; without an answer the leases lapse
	}
	s.count(repliesSize(replies))
	for _, r := range replies {
		for _, p := range from {
			if p.Name() == r.Pool {
				p.HandleReply(l.owner, r)
			}
		}
	}
}

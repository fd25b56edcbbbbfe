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

// Pusher sends an owner's updates to a holder's entry, which passes them to
// Set.HandleUpdates. It does not wait for a reply. If the Exchanger is not also
// a Pusher, slots.Policy.NoPush must be set.
type Pusher interface {
	Push(ctx context.Context, member string, updates []slots.Reply) error
}

// maxExpireInterval is the longest time between two checks for expired requests in the queues.
const maxExpireInterval = 100 * time.Millisecond

// SetConfig holds the settings of a Set.
type SetConfig struct {
	Clock           clock.Clock // nil means the system clock
	Exchanger       Exchanger
	Pools           []*Pool
	Self            func() string // member ID of this entry
	BudgetBytesPerS float64       // control traffic in bytes per second; 0 means slots.DefaultBudget
}

// Set exchanges reports and replies for the pools of one entry and batches the reports per owner.
type Set struct {
	cfg    SetConfig
	wakeup chan struct{}
	loops  sync.WaitGroup

	mu       sync.Mutex
	pools    []*Pool
	pacer    *slots.Pacer
	links    map[string]*link
	outboxes map[string]*outbox
	reported map[*Pool]bool // pools whose owner received reports since the last pass
}

// NewSet returns a set that is idle until Run is called.
func NewSet(cfg SetConfig) *Set {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	s := &Set{
		cfg: cfg, wakeup: make(chan struct{}, 1), pacer: slots.NewPacer(cfg.BudgetBytesPerS),
		links: map[string]*link{}, outboxes: map[string]*outbox{}, reported: map[*Pool]bool{},
	}
	s.SetPools(cfg.Pools)
	return s
}

// SetPools replaces the pools after a change of the configuration.
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

// Run exchanges reports until ctx ends and waits for the goroutines of the links and outboxes.
func (s *Set) Run(ctx context.Context) {
	s.loop(ctx)
	s.loops.Wait()
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

// pass sends the reports and updates that are due and returns the time until the next pass.
func (s *Set) pass(ctx context.Context) time.Duration {
	s.mu.Lock()
	pools, reported := s.pools, s.reported
	s.reported = map[*Pool]bool{}
	s.mu.Unlock()
	now := s.cfg.Clock.Now()
	wait := maxExpireInterval
	s.mu.Lock()
	factor := s.pacer.IntervalFactor(now)
	s.mu.Unlock()
	for p := range reported {
		s.sendUpdates(ctx, p)
	}
	for _, p := range pools {
		p.setIntervalFactor(factor)
		due, owner := p.tick(now)
		switch {
		case owner == "":
		case due.After(now):
			wait = min(wait, due.Sub(now))
		case owner == s.cfg.Self():
			if r, ok := p.report(now, owner); ok {
				p.HandleReply(owner, p.HandleReport(r))
				s.sendUpdates(ctx, p)
			}
			s.wake()
		default:
			s.link(ctx, owner).trigger()
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
		l = &link{set: s, owner: owner, triggered: make(chan struct{}, 1)}
		s.links[owner] = l
		s.loops.Go(func() { l.loop(ctx) })
	}
	return l
}

// countTraffic adds a message of n bytes, plus overhead, to the control traffic.
func (s *Set) countTraffic(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pacer.Add(s.cfg.Clock.Now(), n+slots.MessageOverhead)
}

// ControlBytesPerS returns the bytes per second that slot sharing sends and receives,
// averaged over about the last 20 s.
func (s *Set) ControlBytesPerS() float64 {
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

// sendUpdates sends the updates of the owner of p to the other holders.
func (s *Set) sendUpdates(ctx context.Context, p *Pool) {
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
	b := s.outboxes[member]
	if b == nil {
		b = &outbox{set: s, member: member, queued: make(chan struct{}, 1)}
		s.outboxes[member] = b
		s.loops.Go(func() { b.loop(ctx) })
	}
	return b
}

// HandleUpdates applies updates that owner pushed without a preceding report.
func (s *Set) HandleUpdates(owner string, updates []slots.Reply) {
	s.mu.Lock()
	pools := s.pools
	s.mu.Unlock()
	s.countTraffic(repliesSize(updates))
	for _, r := range updates {
		for _, p := range pools {
			if p.Name() == r.Pool {
				p.HandleReply(owner, r)
			}
		}
	}
}

// markReported makes the loop send the updates that result from a report to the owner of p.
func (s *Set) markReported(p *Pool) {
	s.mu.Lock()
	s.reported[p] = true
	s.mu.Unlock()
	s.wake()
}

// HandleReports returns the replies to a batch of reports from another entry, in
// the same order. A report for an unknown pool gets a stale reply.
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
				s.markReported(p)
			}
		}
	}
	s.countTraffic(reportsSize(reports))
	s.countTraffic(repliesSize(out))
	return out
}

// link sends the reports for one owner, one batch at a time.
type link struct {
	set       *Set
	owner     string
	triggered chan struct{}
}

func (l *link) trigger() {
	select {
	case l.triggered <- struct{}{}:
	default:
	}
}

// idleTimeout is the time after which a link or an outbox without messages is
// removed. It can be long, since owners change rarely.
const idleTimeout = time.Minute

func (l *link) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.triggered:
			l.exchange(ctx)
			l.set.wake()
		case <-time.After(idleTimeout):
			if l.retire() {
				return
			}
		}
	}
}

// retire removes the link from the set and returns true, unless it was triggered in the meantime.
func (l *link) retire() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if len(l.triggered) > 0 {
		return false
	}
	delete(l.set.links, l.owner)
	return true
}

// exchange sends the reports to the owner that are due within slots.BatchWindow and applies the replies.
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
	s.countTraffic(reportsSize(reports))
	replies, err := s.cfg.Exchanger.Exchange(ctx, l.owner, reports)
	if err != nil {
		return // the next report is due soon; the leases lapse if no reply arrives
	}
	s.countTraffic(repliesSize(replies))
	for _, r := range replies {
		for _, p := range from {
			if p.Name() == r.Pool {
				p.HandleReply(l.owner, r)
			}
		}
	}
}

package shard

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"sassafrasvalve/core/jobs"
	"sassafrasvalve/core/pools"
)

// testAllowances holds the CPU that each account may use, by name. An account that is missing has no limit.
type testAllowances map[string]int64

// MayStart implements Allowances.
func (a testAllowances) MayStart(account string, used, item jobs.Amount) bool {
	limit, limited := a[account]
	return !limited || used.CPU+item.CPU <= limit
}

// Room implements Rooms.
func (a testAllowances) Room(account string, used jobs.Amount) (jobs.Amount, bool) {
	limit, limited := a[account]
	return jobs.Amount{CPU: limit - used.CPU, MemMB: NoLimit, GPU: NoLimit}, limited
}

// accountStep is one step of a case of testdata/account.toml. All that it names happens at time At, in the order of the fields.
type accountStep struct {
	At       int64
	Limit    map[string]int64 // CPU that accounts may use from then on
	NoRecord bool             // nothing is stored then
	// Unconfirmed tells that the store does not confirm the ownership, so that starts wait until they are recorded.
	Unconfirmed bool
	Takeover    bool       // a next owner replaces the one before; it knows what is stored
	Machines    []string   // VMs in a list of machines that was requested then; no list if it is nil
	Submit      []struct { // jobs of one step; each item needs 10 MB
		ID, Account                   string
		Count                         int
		CPU                           int64
		Speculative, Gang, Persistent bool
	}
	Cancel []string          // jobs
	Reply  map[string]string // replies to the last orders, by item: see accountReplies
	Silent []string          // VMs that do not answer a poll
	Poll   []struct {
		VM     string
		Born   int64    // start of its lifetime, 1 if 0
		SentAt int64    // At if 0
		Runs   []string // runs that it lists, as item/run
		Ends   []string // ends as done that it lists
	}

	Starts  []string          // starts that the engine sends then, as item/run VM, sorted
	Used    map[string]int64  // CPU by account, of those that use any
	Unknown int64             // CPU of each account
	Waiting map[string]int    // items by account, of those that have any; not checked if it is nil
	AtLimit map[string]int    // likewise
	Explain map[string]string // by job
}

// accountReplies holds the replies to orders that a script names.
var accountReplies = map[string]pools.ReplyKind{
	"done": pools.Done, "none": pools.NoReply, "no capacity": pools.NoCapacity, "spent": pools.StaleRun,
}

// accountCase is one case of testdata/account.toml.
type accountCase struct {
	Name string
	Step []accountStep
}

// accountPlay plays a case.
type accountPlay struct {
	e          *Engine
	allowances testAllowances
	listed     []pools.VM
	table      *jobs.JobTable
	last       map[string]pools.Order // by item
	epoch      int64
}

// TestAccountsAreCountedAndLimited guards against a start that brings an account above its allowance: a run that was not counted, as
// its start had no reply or was executed late, its VM was silent or had restarted, or an earlier owner had started it. It also guards
// against an account at its limit that keeps the work of others waiting.
func TestAccountsAreCountedAndLimited(t *testing.T) {
	data, err := os.ReadFile("testdata/account.toml")
	assert.NilError(t, err)
	var script struct{ Case []accountCase }
	assert.NilError(t, toml.Unmarshal(data, &script))
	for _, c := range script.Case {
		t.Run(c.Name, c.play)
	}
}

func (c *accountCase) play(t *testing.T) {
	const startAt = 100_000 // the leases of owners before the first one are over
	p := &accountPlay{allowances: testAllowances{}, table: jobs.NewJobTable(), last: map[string]pools.Order{}, epoch: 1}
	for _, id := range []string{"a", "b"} {
		p.listed = append(p.listed, pools.VM{ID: id, Service: "s", Addr: id, Machine: "m" + id, CPU: 1000, MemMB: 1000})
	}
	p.e = New(Config{Service: "s", Epoch: 1, StatusRetentionMs: 1000, Allowances: p.allowances}, &jobs.Catalog{}, 0)
	p.e.SetVMs(p.listed, startAt-1)
	for _, v := range p.listed {
		p.e.HandlePollReply(v.ID, pools.PollReply{Kind: pools.Done, ClockMs: startAt, StartedAtMs: 1}, startAt, startAt)
	}
	for i := range c.Step {
		s := &c.Step[i]
		now := startAt + s.At
		p.apply(t, s, now)
		assert.DeepEqual(t, p.turn(t, s, now), s.Starts)
		p.check(t, s, now)
	}
}

// apply lets happen what a step names.
func (p *accountPlay) apply(t *testing.T, s *accountStep, now int64) {
	for account, cpu := range s.Limit {
		p.allowances[account] = cpu
	}
	if s.Takeover {
		p.epoch++
		p.e = New(Config{Service: "s", Epoch: p.epoch, StatusRetentionMs: 1000, Allowances: p.allowances}, &jobs.Catalog{}, now)
		for id, stored := range p.table.Jobs {
			p.e.LoadJob(id, stored, now, now)
		}
		p.e.RequireInitialPolls(now)
		p.e.SetVMs(p.listed, now)
	}
	if s.Machines != nil {
		p.e.SetMachines(machinesOf(s.Machines...), now, now)
	}
	for _, d := range s.Submit {
		step := jobs.Step{
			Count: d.Count, CPU: d.CPU, MemMB: 10, EstimateMs: 60_000, Speculative: d.Speculative, Gang: d.Gang, Persistent: d.Persistent,
		}
		stored := &jobs.StoredJob{Job: &jobs.Job{ID: d.ID, Account: d.Account, AcceptedMs: now, Steps: []jobs.Step{step}}}
		p.table.Jobs[d.ID] = stored
		p.e.Submit(stored, now, now)
	}
	for _, id := range s.Cancel {
		p.e.Cancel(id, now)
	}
	for item, reply := range s.Reply {
		o, ok := p.last[item]
		assert.Assert(t, ok, "no order for %s", item)
		p.e.HandleOrderReply(o, pools.Reply{Kind: accountReplies[reply]}, now)
	}
	for _, id := range s.Silent {
		p.e.HandlePollFailure(id, now)
	}
	for _, l := range s.Poll {
		reply := pools.PollReply{Kind: pools.Done, ClockMs: now, StartedAtMs: max(l.Born, 1)}
		for _, r := range l.Runs {
			item, run := parseRun(r)
			reply.Running = append(reply.Running, pools.RunStatus{Item: item, Run: run, ProgressPercent: int(s.At) % 100})
		}
		for n, r := range l.Ends {
			item, run := parseRun(r)
			reply.Ended = append(reply.Ended, pools.RunEnd{Seq: int64(n + 1), Item: item, Run: run, Kind: pools.EndDone})
		}
		sentAt := now
		if l.SentAt > 0 {
			sentAt = now - s.At + l.SentAt
		}
		p.e.HandlePollReply(l.VM, reply, sentAt, now)
	}
}

// parseRun splits an item and the number of its run.
func parseRun(text string) (item string, run int) {
	item, n, _ := strings.Cut(text, "/")
	for _, d := range n {
		run = run*10 + int(d-'0')
	}
	return item, run
}

// turn lets the engine decide and record, and returns the starts that it sends.
func (p *accountPlay) turn(t *testing.T, s *accountStep, now int64) []string {
	p.e.SetVMs(p.listed, now)
	if !s.Unconfirmed {
		p.e.MarkOwnershipConfirmed(now)
	}
	p.e.MarkStoreReachable(now)
	p.e.Advance(now, now)
	orders := p.e.TakeOrders()
	if !s.NoRecord {
		b, err := p.e.NextBatch()
		assert.NilError(t, err)
		if b != nil {
			for _, r := range b.Records {
				_, err := p.table.Apply(r)
				assert.NilError(t, err)
			}
			orders = append(orders, p.e.HandleBatchStored(b, now)...)
		}
	}
	var starts []string
	for _, o := range orders {
		p.last[o.Item] = o
		if o.Kind == pools.Start {
			starts = append(starts, o.Item+"/"+string(rune('0'+o.Run))+" "+o.VM)
		}
	}
	slices.Sort(starts)
	return starts
}

// check compares what the engine tells with a step.
func (p *accountPlay) check(t *testing.T, s *accountStep, now int64) {
	used, waiting, atLimit := map[string]int64{}, map[string]int{}, map[string]int{}
	for account, u := range p.e.AccountUses(now) {
		if u.Used.CPU != 0 || u.Used.MemMB != 0 || u.Running != 0 {
			used[account] = u.Used.CPU
		}
		if u.Waiting > 0 {
			waiting[account] = u.Waiting
		}
		if u.AtLimit > 0 {
			atLimit[account] = u.AtLimit
		}
		assert.Equal(t, u.Unknown.CPU, s.Unknown, "%d ms: unknown use of %s", s.At, account)
	}
	if s.Used == nil {
		s.Used = map[string]int64{}
	}
	assert.DeepEqual(t, used, s.Used)
	if s.Waiting != nil {
		assert.DeepEqual(t, waiting, s.Waiting)
	}
	if s.AtLimit != nil {
		assert.DeepEqual(t, atLimit, s.AtLimit)
	}
	for id, text := range s.Explain {
		assert.Equal(t, p.e.Explain(id, now), text, "%d ms", s.At)
	}
}

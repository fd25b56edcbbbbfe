package relay

import (
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/platform"
)

// order decodes the order of a call; spec is the job spec that the call refers to.
func (c *Call) order(spec string) pools.Order {
	o := pools.Order{
		VM: c.VM, Item: c.Item, Run: c.Run, Spec: spec, Ref: c.Ref, DeadlineMs: c.LeaseMs, Fence: c.Fence,
		Percent: c.Percent, Token: c.Ticket,
	}
	switch c.Kind {
	case callStop:
		o.Kind = pools.Stop
	case callThrottle:
		o.Kind = pools.Throttle
	default:
		o.Kind = pools.Start
	}
	return o
}

// callOf encodes an order as a call. It returns false for an order that is not for a VM.
func callOf(o *pools.Order) (Call, bool) {
	c := Call{
		VM: o.VM, Item: o.Item, Run: o.Run, Ref: o.Ref, LeaseMs: o.DeadlineMs, Fence: o.Fence, Percent: o.Percent, Ticket: o.Token,
	}
	switch o.Kind {
	case pools.Start:
		c.Kind = callStart
	case pools.Stop:
		c.Kind = callStop
	case pools.Throttle:
		c.Kind = callThrottle
	case pools.Upkeep, pools.Move:
		return c, false
	}
	return c, true
}

// outcomeOf returns the outcome of a call to a VM that ended with err.
func outcomeOf(err error) uint8 {
	switch {
	case err == nil:
		return outcomeAnswered
	case platform.VerdictOf(err) == retry.NotRun:
		return outcomeNotExecuted
	default:
		return outcomeUnknown
	}
}

// pollAnswer encodes the reply to a poll, or its error, as the answer to call n.
func pollAnswer(n int64, reply *pools.PollReply, err error) Answer {
	a := Answer{N: n, Fate: outcomeOf(err), Kind: int(reply.Kind), ClockMs: reply.ClockMs, Born: reply.StartedAtMs}
	for _, r := range reply.Running {
		a.Running = append(a.Running, RunStatus{Item: r.Item, Run: r.Run, Ref: r.Ref, Percent: r.ProgressPercent, Load: r.Load})
	}
	for _, e := range reply.Ended {
		a.Ended = append(a.Ended, RunEnd{Seq: e.Seq, Item: e.Item, Run: e.Run, How: int(e.Kind), Ref: e.Ref})
	}
	return a
}

// pollReply decodes the poll reply of an answer.
func (a *Answer) pollReply() pools.PollReply {
	reply := pools.PollReply{
		Kind: pools.ReplyKind(a.Kind), ClockMs: a.ClockMs, StartedAtMs: a.Born, MoreEnds: len(a.Ended) >= platform.MaxListedEnds,
	}
	for _, r := range a.Running {
		reply.Running = append(reply.Running, pools.RunStatus{Item: r.Item, Run: r.Run, Ref: r.Ref, ProgressPercent: r.Percent, Load: r.Load})
	}
	for _, e := range a.Ended {
		reply.Ended = append(reply.Ended, pools.RunEnd{Seq: e.Seq, Item: e.Item, Run: e.Run, Kind: pools.EndKind(e.How), Ref: e.Ref})
	}
	return reply
}

// err returns nil for an answered call, and a *platform.CallError otherwise.
func (a *Answer) err() error {
	switch a.Fate {
	case outcomeAnswered:
		return nil
	case outcomeNotExecuted:
		return &platform.CallError{Call: "relayed call", Verdict: retry.NotRun, Err: errRelay}
	default:
		return &platform.CallError{Call: "relayed call", Verdict: retry.MayHaveRun, Err: errRelay}
	}
}

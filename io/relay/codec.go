package relay

import (
	"sassafrasvalve/core/pools"
	"sassafrasvalve/core/retry"
	"sassafrasvalve/platform"
)

// order returns the order of a call.
func (c *Call) order(spec string) pools.Order {
	o := pools.Order{
		VM: c.VM, Item: c.Item, Run: c.Run, Spec: spec, Ref: c.Ref, LeaseEndMs: c.LeaseMs, Fence: c.Fence,
		Percent: c.Percent, Token: c.Ticket,
	}
	switch c.Kind {
	case callStop:
		o.Kind = pools.Stop
	case callPace:
		o.Kind = pools.Throttle
	default:
		o.Kind = pools.Start
	}
	return o
}

// callOf returns the call of an order, and false for an order that is not for a VM.
func callOf(o *pools.Order) (Call, bool) {
	c := Call{
		VM: o.VM, Item: o.Item, Run: o.Run, Ref: o.Ref, LeaseMs: o.LeaseEndMs, Fence: o.Fence, Percent: o.Percent, Ticket: o.Token,
	}
	switch o.Kind {
	case pools.Start:
		c.Kind = callStart
	case pools.Stop:
		c.Kind = callStop
	case pools.Throttle:
		c.Kind = callPace
	case pools.Upkeep, pools.Move:
		return c, false
	}
	return c, true
}

// fateOf returns what an error says of a call.
func fateOf(err error) uint8 {
	switch {
	case err == nil:
		return fateAnswered
	case platform.VerdictOf(err) == retry.NotRun:
		return fateUnsent
	default:
		return fateUnknown
	}
}

// answerLook returns the answer that carries a poll.
func answerLook(n int64, l *pools.PollReply, err error) Answer {
	a := Answer{N: n, Fate: fateOf(err), Kind: int(l.Kind), ClockMs: l.ClockMs, Born: l.StartedAtMs}
	for _, r := range l.Running {
		a.Running = append(a.Running, RunStatus{Item: r.Item, Run: r.Run, Ref: r.Ref, Percent: r.Percent, Load: r.Load})
	}
	for _, e := range l.Ended {
		a.Ended = append(a.Ended, RunEnd{Seq: e.Seq, Item: e.Item, Run: e.Run, How: int(e.Kind), Ref: e.Ref})
	}
	return a
}

// look returns the poll that an answer carries.
func (a *Answer) look() pools.PollReply {
	l := pools.PollReply{Kind: pools.ReplyKind(a.Kind), ClockMs: a.ClockMs, StartedAtMs: a.Born}
	for _, r := range a.Running {
		l.Running = append(l.Running, pools.RunStatus{Item: r.Item, Run: r.Run, Ref: r.Ref, Percent: r.Percent, Load: r.Load})
	}
	for _, e := range a.Ended {
		l.Ended = append(l.Ended, pools.RunEnd{Seq: e.Seq, Item: e.Item, Run: e.Run, Kind: pools.EndKind(e.How), Ref: e.Ref})
	}
	return l
}

// err returns the failure that an answer tells, nil for a call that was answered.
func (a *Answer) err() error {
	switch a.Fate {
	case fateAnswered:
		return nil
	case fateUnsent:
		return &platform.CallError{Call: "relayed call", Verdict: retry.NotRun, Err: errRelay}
	default:
		return &platform.CallError{Call: "relayed call", Verdict: retry.MayHaveRun, Err: errRelay}
	}
}

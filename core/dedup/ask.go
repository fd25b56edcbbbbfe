package dedup

import (
	"strconv"
	"time"
)

// Limits of a claim on its way.
const (
	// askFor is how long an unknown answer is asked again, and how long an owner may be unsettled for that. With 1 s, a
	// rolling upgrade on a machine whose processors were busy twice over failed 6 to 21 of 2,100 requests.
	askFor    = 3 * time.Second
	askPause  = 50 * time.Millisecond // between two asks
	mostMoved = 2                     // how often NotOwner is asked again
	mostLost  = 4                     // how often an ask without a reply is repeated, while a leaving owner is still in the view
	askMark   = "#"                   // separates the request ID from the number of the ask
)

// PendingClaim is a claim on its way to a decision.
type PendingClaim struct {
	claim   Claim
	request string // ID without the number of the ask
	tries   int
	moved   int
	lost    int
	gen     int
	to      string
	until   time.Time
}

// StepKind says what is to be done next for a PendingClaim.
type StepKind int

// The kinds of steps.
const (
	StepDecided StepKind = iota // Decision holds
	StepClaim                   // send Claim to To, then call HandleClaimReply or HandleTimeout
	StepHold                    // send Hold to To, then call HandleCopyReply or HandleTimeout
	StepWait                    // call RetryClaim after Pause
)

// Step is what is to be done next for a PendingClaim.
type Step struct {
	Kind     StepKind
	To       string
	Claim    Claim
	Hold     Hold
	Pause    time.Duration
	Decision Decision
}

// StartClaim starts a claim. Executor and Offset are filled in.
func (m *Member) StartClaim(now time.Time, c Claim) (*PendingClaim, Step) {
	a := &PendingClaim{claim: c, request: c.Request, until: now.Add(askFor)}
	return a, m.RetryClaim(now, a)
}

// RetryClaim asks the owner, by the present view.
func (m *Member) RetryClaim(now time.Time, a *PendingClaim) Step {
	if !m.view.live(m.view.Self) {
		return decided(now, Unknown)
	}
	if m.exec.own.full() || len(m.finishes) >= m.exec.own.cfg.MaxClaims {
		return decided(now, Full)
	}
	a.gen, a.to = m.gen, m.view.owner(a.claim.Key)
	a.claim.Executor, a.claim.Offset = m.view.Self, m.view.Offset
	// Each ask has its own ID, so that the release of one is never taken for that of the next.
	a.claim.Request = a.request
	if a.tries > 0 {
		a.claim.Request += askMark + strconv.Itoa(a.tries)
	}
	a.tries++
	if a.to == m.view.Self {
		return m.HandleClaimReply(now, a, m.owner.Claim(now, a.claim))
	}
	return Step{Kind: StepClaim, To: a.to, Claim: a.claim}
}

// HandleClaimReply takes the owner's reply. A grant counts only if no member came or went since the ask: the
// new owner may have been told meanwhile that this member runs nothing under the key.
func (m *Member) HandleClaimReply(now time.Time, a *PendingClaim, r ClaimReply) Step {
	if a.gen != m.gen {
		m.release(now, a)
		return m.pause(now, a, Unknown)
	}
	switch r.Answer {
	case Granted:
		if second := m.view.second(a.claim.Key); a.to == m.view.Self && second != "" {
			return Step{Kind: StepHold, To: second, Hold: Hold{Held: []HeldClaim{a.held()}}}
		}
		return m.begin(now, a)
	case Unknown:
		if time.Duration(r.UnsettledMs)*time.Millisecond > askFor {
			return decided(now, Unknown) // what it waits for is not a matter of moments
		}
		return m.pause(now, a, Unknown)
	case NotOwner:
		if a.moved++; a.moved > mostMoved {
			return decided(now, NotOwner)
		}
		return m.pause(now, a, NotOwner)
	case Busy:
		// The claim in the way may be an earlier ask of this one, whose release is on its way.
		if a.tries > 1 && now.Before(a.until) {
			return Step{Kind: StepWait, Pause: askPause}
		}
	case Done, Conflict, Full:
	}
	return Step{Decision: Decide(now, r)}
}

// HandleCopyReply takes the second holder's reply.
func (m *Member) HandleCopyReply(now time.Time, a *PendingClaim, r HoldReply) Step {
	switch {
	case a.gen != m.gen:
		m.release(now, a)
		return m.pause(now, a, Unknown)
	case !r.Kept:
		m.release(now, a)
		return decided(now, Full)
	}
	return m.begin(now, a)
}

// HandleTimeout ends an ask whose message got no reply. The claim may have been granted, so it is released.
func (m *Member) HandleTimeout(now time.Time, a *PendingClaim) Step {
	m.release(now, a)
	if a.lost++; a.lost <= mostLost && now.Before(a.until) {
		return Step{Kind: StepWait, Pause: askPause}
	}
	return Step{Decision: Unreachable(now)}
}

func (m *Member) begin(now time.Time, a *PendingClaim) Step {
	if !m.exec.Begin(a.held()) {
		m.release(now, a)
		return decided(now, Full)
	}
	return decided(now, Granted)
}

// release tells the owner that nothing was run under the claim.
func (m *Member) release(now time.Time, a *PendingClaim) {
	h := a.held()
	h.State, h.Ended = Released, now
	m.end(now, h)
}

func (m *Member) pause(now time.Time, a *PendingClaim, otherwise Answer) Step {
	if !now.Before(a.until) {
		return decided(now, otherwise)
	}
	return Step{Kind: StepWait, Pause: askPause}
}

func (a *PendingClaim) held() HeldClaim {
	return HeldClaim{Key: a.claim.Key, Fingerprint: a.claim.Fingerprint, Executor: a.claim.Executor, Request: a.claim.Request}
}

func decided(now time.Time, a Answer) Step { return Step{Decision: Decide(now, ClaimReply{Answer: a})} }

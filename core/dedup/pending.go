package dedup

import (
	"strconv"
	"time"
)

// Limits of a pending claim.
const (
	// claimRetryTimeout limits how long a claim with the answer Unknown is retried. If the owner has been unable to
	// answer for longer than that, the claim is not retried at all. With 1 s, a rolling upgrade on a machine whose
	// processors were overloaded twofold failed 6 to 21 of 2,100 requests.
	claimRetryTimeout  = 3 * time.Second
	claimRetryInterval = 50 * time.Millisecond
	maxNotOwnerRetries = 2   // retries after the answer NotOwner
	maxTimeoutRetries  = 4   // retries without a reply, for a leaving owner that is still in the view
	attemptSeparator   = "#" // separates the request ID from the attempt number
)

// PendingClaim is a claim that has no decision yet.
type PendingClaim struct {
	claim         Claim
	request       string // ID without the attempt number
	attempts      int
	notOwnerCount int
	timeoutCount  int
	membershipGen int
	owner         string
	deadline      time.Time
}

// StepKind is the kind of a Step.
type StepKind int

// The kinds of steps.
const (
	StepDecided StepKind = iota // the claim is decided, see Step.Decision
	StepClaim                   // send Claim to To, then call HandleClaimReply or HandleTimeout
	StepHold                    // send Hold to To, then call HandleCopyReply or HandleTimeout
	StepWait                    // call RetryClaim after RetryDelay
)

// Step is the next action that the caller must take for a PendingClaim.
type Step struct {
	Kind       StepKind
	To         string
	Claim      Claim
	Hold       Hold
	RetryDelay time.Duration
	Decision   Decision
}

// StartClaim starts a claim and returns its first step. It sets Executor and Offset of the claim.
func (m *Member) StartClaim(now time.Time, c Claim) (*PendingClaim, Step) {
	p := &PendingClaim{claim: c, request: c.Request, deadline: now.Add(claimRetryTimeout)}
	return p, m.RetryClaim(now, p)
}

// RetryClaim sends the claim to the owner of its key in the current view.
func (m *Member) RetryClaim(now time.Time, p *PendingClaim) Step {
	if !m.view.isLive(m.view.Self) {
		return decided(now, Unknown)
	}
	if m.exec.own.full() || len(m.pendingFinishes) >= m.exec.own.cfg.MaxClaims {
		return decided(now, Full)
	}
	p.membershipGen, p.owner = m.membershipGen, m.view.owner(p.claim.Key)
	p.claim.Executor, p.claim.Offset = m.view.Self, m.view.Offset
	// Each attempt has its own ID, so that the release of one attempt does not release the next.
	p.claim.Request = p.request
	if p.attempts > 0 {
		p.claim.Request += attemptSeparator + strconv.Itoa(p.attempts)
	}
	p.attempts++
	if p.owner == m.view.Self {
		return m.HandleClaimReply(now, p, m.owner.Claim(now, p.claim))
	}
	return Step{Kind: StepClaim, To: p.owner, Claim: p.claim}
}

// HandleClaimReply handles the owner's reply. A grant is released and retried if the membership has changed since
// the claim was sent: this member may have reported to a new owner that it runs nothing under the key.
func (m *Member) HandleClaimReply(now time.Time, p *PendingClaim, r ClaimReply) Step {
	if p.membershipGen != m.membershipGen {
		m.release(now, p)
		return m.retryUntilDeadline(now, p, Unknown)
	}
	switch r.Answer {
	case Granted:
		if second := m.view.secondHolder(p.claim.Key); p.owner == m.view.Self && second != "" {
			return Step{Kind: StepHold, To: second, Hold: Hold{Held: []HeldClaim{p.heldClaim()}}}
		}
		return m.begin(now, p)
	case Unknown:
		if time.Duration(r.UnsettledMs)*time.Millisecond > claimRetryTimeout {
			return decided(now, Unknown) // the owner is not expected to recover within the retry time
		}
		return m.retryUntilDeadline(now, p, Unknown)
	case NotOwner:
		if p.notOwnerCount++; p.notOwnerCount > maxNotOwnerRetries {
			return decided(now, NotOwner)
		}
		return m.retryUntilDeadline(now, p, NotOwner)
	case Busy:
		// The running claim may be an earlier attempt of this one whose release has not arrived yet.
		if p.attempts > 1 && now.Before(p.deadline) {
			return Step{Kind: StepWait, RetryDelay: claimRetryInterval}
		}
	case Done, Conflict, Full:
	}
	return Step{Decision: Decide(now, r)}
}

// HandleCopyReply handles the second holder's reply to the copy of a granted claim.
func (m *Member) HandleCopyReply(now time.Time, p *PendingClaim, r HoldReply) Step {
	switch {
	case p.membershipGen != m.membershipGen:
		m.release(now, p)
		return m.retryUntilDeadline(now, p, Unknown)
	case !r.Kept:
		m.release(now, p)
		return decided(now, Full)
	}
	return m.begin(now, p)
}

// HandleTimeout ends an attempt whose message got no reply. The claim may have been granted, so it is released.
func (m *Member) HandleTimeout(now time.Time, p *PendingClaim) Step {
	m.release(now, p)
	if p.timeoutCount++; p.timeoutCount <= maxTimeoutRetries && now.Before(p.deadline) {
		return Step{Kind: StepWait, RetryDelay: claimRetryInterval}
	}
	return Step{Decision: UnreachableDecision(now)}
}

func (m *Member) begin(now time.Time, p *PendingClaim) Step {
	if !m.exec.Begin(p.heldClaim()) {
		m.release(now, p)
		return decided(now, Full)
	}
	return decided(now, Granted)
}

// release reports to the owner that no request was run under the claim.
func (m *Member) release(now time.Time, p *PendingClaim) {
	h := p.heldClaim()
	h.State, h.Ended = Released, now
	m.reportEnd(now, h)
}

func (m *Member) retryUntilDeadline(now time.Time, p *PendingClaim, otherwise Answer) Step {
	if !now.Before(p.deadline) {
		return decided(now, otherwise)
	}
	return Step{Kind: StepWait, RetryDelay: claimRetryInterval}
}

func (p *PendingClaim) heldClaim() HeldClaim {
	return HeldClaim{Key: p.claim.Key, Fingerprint: p.claim.Fingerprint, Executor: p.claim.Executor, Request: p.claim.Request}
}

func decided(now time.Time, a Answer) Step { return Step{Decision: Decide(now, ClaimReply{Answer: a})} }
